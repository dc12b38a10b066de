package usage

import (
	"bytes"
	"os"
	"strconv"
	"syscall"
	"time"

	"github.com/toucanhatch/toucanhatch/pkg/ident"
)

// CPUTime returns the processor time that the process has used since its start, in user and system mode.
func CPUTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// ResidentMemory returns the resident memory of the process, from /proc/self/statm.
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
