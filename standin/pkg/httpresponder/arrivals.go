package httpresponder

import (
	"slices"
	"time"
)

// Arrival is a request that has arrived at a target.
type Arrival struct {
	// Request is the id of the request.
	Request string
	// Path is the path with the query.
	Path string
	// Institution is the name of the institution that the sender states.
	Institution string
	// KeyPassed is true if the sender has passed the caller's key on.
	KeyPassed bool
	// From is the IP address of the sender.
	From string
	At   time.Time
	// Leaving is true if the target announced in its answer that it is leaving.
	Leaving bool
	// Pause is the pause that the target asked for, or zero.
	Pause time.Duration
	// Limit is the limit that the target named in its answer, in requests a second of all
	// senders, or zero.
	Limit float64
}

// Arrivals returns the number of requests that have arrived.
func (r *Responder) Arrivals() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.arrivals)
}

// ListArrivals returns the requests that have arrived, in their order.
func (r *Responder) ListArrivals() []Arrival {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.arrivals)
}

// ListArrivalsFrom returns the requests of one sender that have arrived, in their order.
func (r *Responder) ListArrivalsFrom(address string) []Arrival {
	return slices.DeleteFunc(r.ListArrivals(), func(a Arrival) bool { return a.From != address })
}
