package tcp

import (
	"math"

	"golang.org/x/sys/unix"
)

// DescriptorLimit returns how many descriptors the process may open.
func DescriptorLimit() uint64 {
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil {
		return math.MaxUint64
	}
	return limit.Cur
}
