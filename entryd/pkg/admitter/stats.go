package admitter

// Stats is a snapshot of an Admitter.
type Stats struct {
	// Limit is the concurrency in force.
	Limit int
	// Flight is the number of requests that run.
	Flight int
	// Queued is the number of requests that wait.
	Queued int
	// Refused counts refusals since the start by kind.
	Refused map[Kind]int64
	// Shares holds this daemon's part of the terms by institution.
	Shares map[string]Share
}

// Share is one daemon's part of an institution's terms. Zero has no limit.
type Share struct {
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
		Limit:   a.governor.allowed(),
		Flight:  a.governor.flight,
		Queued:  a.queued,
		Refused: map[Kind]int64{},
		Shares:  map[string]Share{},
	}
	for k := KindRate; k <= KindDeadline; k++ {
		s.Refused[k] = a.refused[k]
	}
	for name, t := range a.terms {
		s.Shares[name] = Share{
			Rate:        t.bucket.rate,
			Concurrency: t.share,
		}
	}
	return s
}
