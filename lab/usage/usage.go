// Package usage reads what the process has used of the machine.
package usage

import (
	"runtime"
	"syscall"
	"time"
)

// ProcessorTime returns the process's time in seconds, user and system.
func ProcessorTime() float64 {
	var used syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &used) != nil {
		return 0
	}
	return time.Duration(used.Utime.Nano() + used.Stime.Nano()).Seconds()
}

// Memory returns the live heap and the stacks after a collection, in bytes.
func Memory() float64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc + stats.StackInuse)
}
