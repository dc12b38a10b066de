//go:build linux

package netopt

import (
	"math"

	"golang.org/x/sys/unix"
)

// MaxFiles returns the limit on open descriptors of this process, or 0 if it isn't known.
func MaxFiles() int {
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil {
		return 0
	}
	return int(min(limit.Cur, math.MaxInt32))
}
