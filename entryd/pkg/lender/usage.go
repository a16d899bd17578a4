package lender

import (
	"maps"
	"slices"
	"time"

	"plantaincleat/entryd/pkg/sharer"
)

// usage counts the requests of one institution at this daemon.
type usage struct {
	admitted, over, unanswered uint64
	// heard is when a lender last answered, and logged when a refusal was last logged.
	heard, logged time.Time
}

// usageFor returns the counts of an institution. r.mu is held.
func (r *Runner) usageFor(institution string) *usage {
	u := r.usage[institution]
	if u == nil {
		u = &usage{}
		r.usage[institution] = u
	}
	return u
}

// Usage describes the limit of one institution and its use at this daemon.
type Usage struct {
	Institution string
	Limit       sharer.Limit
	// Revision is that of the configuration with the limit.
	Revision uint64
	// Demand is in requests a second.
	Demand                     float64
	Admitted, Over, Unanswered uint64
	// Held is the number of borrowed tokens in hand.
	Held int
	// Role is that of this daemon, and Tokens what it could lend.
	Role   sharer.Role
	Tokens float64
	// Lender is the daemon that this one asks, or empty if there is none.
	Lender string
}

// Usages lists the institutions that have a limit, sorted by name.
func (r *Runner) Usages() []Usage {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.begin()
	var out []Usage
	for _, name := range slices.Sorted(maps.Keys(r.limits)) {
		if r.limits[name].Rate <= 0 {
			continue
		}
		out = append(out, r.usageOf(now, name))
	}
	return out
}

func (r *Runner) usageOf(now time.Time, name string) Usage {
	out := Usage{
		Institution: name,
		Limit:       r.limits[name],
		Revision:    r.revision,
		Demand:      r.stock.Demand(now, name),
		Held:        r.stock.Held(now, name),
	}
	if order := r.fleet.View().Order(name); len(order) > 0 {
		out.Lender = order[0]
	}
	out.Role, out.Tokens = r.lender.Lends(now, name)
	if u := r.usage[name]; u != nil {
		out.Admitted, out.Over, out.Unanswered = u.admitted, u.over, u.unanswered
	}
	return out
}

// Counts are numbers of requests of all institutions with a limit at this daemon.
type Counts struct {
	Admitted, Over, Unanswered uint64
}

// Counts returns the sums over the institutions of the configuration in force.
func (r *Runner) Counts() Counts {
	r.mu.Lock()
	defer r.mu.Unlock()
	var c Counts
	for _, u := range r.usage {
		c.Admitted += u.admitted
		c.Over += u.over
		c.Unanswered += u.unanswered
	}
	return c
}
