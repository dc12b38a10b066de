package usage

import (
	"bytes"
	"os"
	"strconv"
	"syscall"
	"time"

	"github.com/toucanhatch/toucanhatch/pkg/ident"
)

// CPUTime returns the processor time used since the start, in user and system mode.
func CPUTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// ResidentMemory returns the resident memory in bytes, from /proc.
func ResidentMemory() ident.Bytes {
	data, err := os.ReadFile("/proc/self/statm")
	if err != nil {
		return 0
	}
	fields := bytes.Fields(data)
	if len(fields) < 2 {
		return 0
	}
	pages, err := strconv.ParseInt(string(fields[1]), 10, 64)
	if err != nil {
		return 0
	}
	return ident.Bytes(pages * int64(os.Getpagesize()))
}
