// Package usage reads the resource usage of the process.
package usage

import (
	"runtime"
	"syscall"
	"time"
)

// CPUSeconds returns the processor time of the process in seconds, user and system, or 0 if it
// cannot be read.
func CPUSeconds() float64 {
	var used syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &used) != nil {
		return 0
	}
	return time.Duration(used.Utime.Nano() + used.Stime.Nano()).Seconds()
}

// MemoryBytes returns the bytes of heap and stacks in use after a garbage collection.
func MemoryBytes() float64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc + stats.StackInuse)
}
