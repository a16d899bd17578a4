package searcher

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"
)

// DefaultSlowFactor multiplies the execution time of slow calls.
const DefaultSlowFactor = 10

// LatencyModel is the distribution of execution times: log-normal, with a fraction of
// slow calls, and slower for some time after the start.
type LatencyModel struct {
	// Median execution time. Zero means that requests take no time.
	Median time.Duration
	// Sigma is the standard deviation of the logarithm of the time.
	Sigma float64
	// SlowFraction is the fraction of slow calls in [0,1].
	SlowFraction float64
	// SlowFactor multiplies the time of slow calls. Zero means
	// DefaultSlowFactor.
	SlowFactor float64
	// ColdPeriod is the time after the start during which the target is cold.
	ColdPeriod time.Duration
	// ColdFactor multiplies times while the target is cold. Zero means 1.
	ColdFactor float64
}

// sampler draws execution times and random choices from one seed.
type sampler struct {
	pace LatencyModel

	mu  sync.Mutex
	rng *rand.Rand
}

func newSampler(p LatencyModel, seed uint64) *sampler {
	if p.SlowFactor == 0 {
		p.SlowFactor = DefaultSlowFactor
	}
	if p.ColdFactor == 0 {
		p.ColdFactor = 1
	}
	return &sampler{
		pace: p,
		rng:  rand.New(rand.NewPCG(seed, seed)),
	}
}

// duration draws the execution time of one request. Age is the time since the
// target started.
func (s *sampler) duration(age time.Duration, f *Faults) time.Duration {
	s.mu.Lock()
	normal := s.rng.NormFloat64()
	slow := s.rng.Float64() < max(s.pace.SlowFraction, f.Slow)
	s.mu.Unlock()
	d := float64(s.pace.Median) * math.Exp(s.pace.Sigma*normal)
	if slow {
		d *= s.pace.SlowFactor
	}
	if age < s.pace.ColdPeriod {
		d *= s.pace.ColdFactor
	}
	if f.DelayFactor > 0 {
		d *= f.DelayFactor
	}
	return time.Duration(d)
}

// chance returns true in a fraction of the calls.
func (s *sampler) chance(fraction float64) bool {
	if fraction <= 0 {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rng.Float64() < fraction
}
