package settings

const (
	// Clients may take clientDescriptorShare of the descriptors and clientMemoryShare of the memory.
	// The rest is for connections to servers, the store and other daemons, for metrics, and for
	// requests in flight.
	clientDescriptorShare = 0.5
	clientMemoryShare     = 0.25
	// clientConnectionBytes is the memory of an open connection of a client: its read and write
	// buffers and the stack of its goroutine.
	clientConnectionBytes = 48 << 10
	// minClientConnections is the limit on the smallest VMs.
	minClientConnections = 64
)

// MaxClientConnections returns how many connections clients may have open at once; 0 if neither the
// descriptors nor the memory are known.
func (s Settings) MaxClientConnections() int {
	byDescriptors := int(clientDescriptorShare * float64(s.MaxDescriptors))
	byMemory := int(clientMemoryShare * float64(s.MemoryBytes) / clientConnectionBytes)
	switch {
	case byDescriptors == 0 && byMemory == 0:
		return 0
	case byDescriptors == 0:
		return max(minClientConnections, byMemory)
	case byMemory == 0:
		return max(minClientConnections, byDescriptors)
	default:
		return max(minClientConnections, min(byDescriptors, byMemory))
	}
}

// WithDescriptorLimit returns the settings with at most the given number of descriptors.
func (s Settings) WithDescriptorLimit(limit uint64) Settings {
	if s.MaxDescriptors == 0 || limit < uint64(s.MaxDescriptors) {
		s.MaxDescriptors = int(min(limit, maxDescriptors))
	}
	return s
}

// maxDescriptors bounds the limit where the system has none.
const maxDescriptors = 1 << 20
