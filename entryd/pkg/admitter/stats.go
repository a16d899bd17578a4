package admitter

// Stats is a snapshot of an Admitter.
type Stats struct {
	// Limit is the concurrency in force.
	Limit int
	// InFlight is the number of requests that run.
	InFlight int
	// Queued is the number of requests that wait.
	Queued int
	// Refused counts refusals since the start by kind.
	Refused map[Kind]int64
	// Quotas holds this daemon's part of the terms by institution.
	Quotas map[string]Quota
}

// Quota is one daemon's part of an institution's terms. Zero has no limit.
type Quota struct {
	// Rate is in requests per second.
	Rate float64
	// Concurrency is in requests in flight.
	Concurrency int
}

// Stats returns a snapshot.
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
	for name, t := range a.institutions {
		s.Quotas[name] = Quota{
			Rate:        t.bucket.rate,
			Concurrency: t.quota,
		}
	}
	return s
}
