package admitter

// Stats is a snapshot of an Admitter.
type Stats struct {
	// Limit is the daemon's current limit of requests in flight.
	Limit int
	// InFlight is the number of admitted requests that have not ended.
	InFlight int
	// Queued is the number of requests that wait for admission.
	Queued int
	// Refused counts the refusals since the start of the daemon by kind.
	Refused map[Kind]int64
	// Quotas holds this daemon's quota for each institution by name.
	Quotas map[string]Quota
}

// Quota is one daemon's part of an institution's fleet-wide limits. A zero field
// means that there is no limit.
type Quota struct {
	// Rate is the limit of requests per second.
	Rate float64
	// Concurrency is the limit of requests in flight.
	Concurrency int
}

// Stats returns a snapshot of the counts and limits.
func (a *Admitter) Stats() Stats {
	a.mu.Lock()
	defer a.mu.Unlock()
	s := Stats{
		Limit:    a.limiter.allowed(),
		InFlight: a.limiter.inFlight,
		Queued:   a.queued,
		Refused:  map[Kind]int64{},
		Quotas:   map[string]Quota{},
	}
	for k := KindRate; k <= KindDeadline; k++ {
		s.Refused[k] = a.refused[k]
	}
	for name, inst := range a.institutions {
		s.Quotas[name] = Quota{
			Rate:        inst.bucket.tokens.Rate(),
			Concurrency: inst.quota,
		}
	}
	return s
}
