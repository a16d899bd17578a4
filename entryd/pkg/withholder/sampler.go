package withholder

import (
	"math"
	"sync"
	"time"

	"plantaincleat/tier/pkg/hasher"
)

const (
	// demandPeriod is the time over which a Sampler measures the demand.
	demandPeriod = 2 * time.Second
	// sampledFraction is the fraction of what targets can serve that a Sampler lets through.
	// At the whole of it, some of many pools would have no request left to give at any time.
	sampledFraction = 0.85
)

// Sampler lets through as large a part of the requests as the targets of a pool can serve
// within their limits. It chooses by the id of a request. A request that goes to many pools,
// all with such targets, is thus let through by all of them or by none, as far as they can
// serve the same part; otherwise each would serve other requests and hardly any would be
// answered in full. The zero value is ready for use. It is safe for concurrent use.
type Sampler struct {
	mu sync.Mutex
	// demand is the number of requests a second.
	demand   float64
	measured time.Time
}

// Admit counts a request and reports whether it is among those that can be served at a rate
// of requests a second.
func (s *Sampler) Admit(now time.Time, id string, rate float64) bool {
	return float64(hasher.Strings("sample", id))/math.MaxUint64*s.Count(now) < sampledFraction*rate
}

// Count counts a request and returns the demand in requests a second.
func (s *Sampler) Count(now time.Time) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if d := now.Sub(s.measured); d > 0 {
		s.demand *= math.Exp(-d.Seconds() / demandPeriod.Seconds())
		s.measured = now
	}
	s.demand += 1 / demandPeriod.Seconds()
	return s.demand
}
