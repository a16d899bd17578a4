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
	// minDemandTime is the least time over which the demand is measured after it has begun.
	minDemandTime = 100 * time.Millisecond
	// idleDemand is the time without a request after which the demand begins anew.
	idleDemand = 3 * demandPeriod
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
	// requests is the number of requests after the first, which count less with their age.
	requests float64
	measured time.Time
	// began is when the first request came.
	began time.Time
}

// Admit counts a request and reports whether it is among those that can be served at a rate
// of requests a second.
func (s *Sampler) Admit(now time.Time, id string, rate float64) bool {
	return float64(hasher.Strings("sample", id))/math.MaxUint64*s.Count(now) < sampledFraction*rate
}

// Count counts a request and returns the demand in requests a second. It refers to the time
// since the first request, or since requests have come again.
func (s *Sampler) Count(now time.Time) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	d := now.Sub(s.measured)
	if s.began.IsZero() || d >= idleDemand {
		s.began, s.measured, s.requests = now, now, 0
		return 0
	}
	if d > 0 {
		s.requests *= math.Exp(-d.Seconds() / demandPeriod.Seconds())
		s.measured = now
	}
	s.requests++
	age := max(now.Sub(s.began), minDemandTime)
	return s.requests / (demandPeriod.Seconds() * (1 - math.Exp(-age.Seconds()/demandPeriod.Seconds())))
}
