package accountant

const (
	// defaultMemory is the memory of a host in bytes, and defaultDescriptors the number of its
	// descriptors, if the settings state none.
	defaultMemory      = 284 << 20
	defaultDescriptors = 4100

	// connectionBytes is what a connection costs without a request, in bytes: its buffers, its stack
	// and its state.
	connectionBytes = 24 << 10
	// connectionPart is the part of the memory that connections may take, as a divisor, and bytesPart
	// that of what is charged.
	connectionPart = 6
	bytesPart      = 8
	// callersPart is the part of the descriptors that callers may take, as a divisor. The daemon
	// needs the others for targets, other daemons, the store and operators.
	callersPart = 2
	// collectorPart is the part of the memory that the garbage collector aims to stay below, as a
	// divisor. The rest holds the program itself and what the collector has not reached yet.
	collectorPart = 2
	// peersPart is the part of the descriptors that other daemons may take, as a divisor, and
	// peerConnectionBytes what a connection of one costs, in bytes.
	peersPart           = 4
	peerConnectionBytes = 32 << 10
	// operatorsPart is the part of the descriptors that the listeners for operators may take, as a
	// divisor, and operatorsBytes what is held for them.
	operatorsPart  = 64
	operatorsBytes = 1 << 20
	// otherDescriptors is the number of descriptors for the store, other daemons, the log and the
	// listeners.
	otherDescriptors = 64
	// smallRequest is the charge in bytes up to which a request is small.
	smallRequest = 32 << 10
)

// Host is what a daemon may use of its host. The zero value is a host of the default size.
type Host struct {
	// Memory is in bytes.
	Memory int64
	// Descriptors is the number of descriptors that may be open at once.
	Descriptors int
}

// memory returns the memory, or the default.
func (h Host) memory() int64 {
	if h.Memory <= 0 {
		return defaultMemory
	}
	return h.Memory
}

// descriptors returns the number of descriptors, or the default.
func (h Host) descriptors() int {
	if h.Descriptors <= 0 {
		return defaultDescriptors
	}
	return h.Descriptors
}

// CollectorLimit returns the soft memory limit of the garbage collector, in bytes.
func (h Host) CollectorLimit() int64 { return h.memory() / collectorPart }

// Callers returns the limits of the listener for callers.
func (h Host) Callers() Limits {
	return Limits{
		Connections: int(min(int64(h.descriptors()/callersPart), h.memory()/connectionPart/connectionBytes)),
		Bytes:       h.memory() / bytesPart,
		Small:       smallRequest,
	}
}

// Peers returns the limits of the listener for other daemons. Nothing is charged there.
func (h Host) Peers() Limits {
	return Limits{
		Connections: int(min(int64(h.descriptors()/peersPart), h.memory()/bytesPart/peerConnectionBytes)),
	}
}

// Operators returns the limits of a listener for operators, readiness or metrics.
func (h Host) Operators() Limits {
	return Limits{
		Connections: h.descriptors() / operatorsPart,
		Bytes:       operatorsBytes,
		Small:       smallRequest,
	}
}

// Targets returns the number of connections to targets from which on a daemon opens only the first to
// each of them. They have the descriptors that the listeners leave.
func (h Host) Targets() int {
	n := h.descriptors()
	return max(n-n/callersPart-n/peersPart-2*(n/operatorsPart)-otherDescriptors, 1)
}
