package searcher

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"
)

// DefaultSlowFactor multiplies the execution time of slow calls.
const DefaultSlowFactor = 10

// LatencyModel is the distribution of execution times. It is log-normal. A fraction of the
// calls is slower, and all calls are slower for some time after the start.
type LatencyModel struct {
	// Median is the median execution time. Zero means that requests take no time.
	Median time.Duration
	// Sigma is the standard deviation of the natural logarithm of the execution time.
	Sigma float64
	// SlowFraction is the fraction of slow calls in [0,1].
	SlowFraction float64
	// SlowFactor multiplies the execution time of slow calls. Zero means
	// DefaultSlowFactor.
	SlowFactor float64
	// ColdPeriod is the time after the start during which the target is cold.
	ColdPeriod time.Duration
	// ColdFactor multiplies execution times while the target is cold. Zero means 1.
	ColdFactor float64
}

// sampler draws execution times and random choices from one seed. It is safe for
// concurrent use.
type sampler struct {
	model LatencyModel

	mu  sync.Mutex
	rng *rand.Rand
}

func newSampler(m LatencyModel, seed uint64) *sampler {
	if m.SlowFactor == 0 {
		m.SlowFactor = DefaultSlowFactor
	}
	if m.ColdFactor == 0 {
		m.ColdFactor = 1
	}
	return &sampler{
		model: m,
		rng:   rand.New(rand.NewPCG(seed, seed)),
	}
}

// duration draws the execution time of one request. age is the time since the target
// started.
func (s *sampler) duration(age time.Duration, f *Faults) time.Duration {
	s.mu.Lock()
	normal := s.rng.NormFloat64()
	slow := s.rng.Float64() < max(s.model.SlowFraction, f.Slow)
	s.mu.Unlock()
	d := float64(s.model.Median) * math.Exp(s.model.Sigma*normal)
	if slow {
		d *= s.model.SlowFactor
	}
	if age < s.model.ColdPeriod {
		d *= s.model.ColdFactor
	}
	if f.DelayFactor > 0 {
		d *= f.DelayFactor
	}
	return time.Duration(d)
}

// chance returns true with the given probability.
func (s *sampler) chance(fraction float64) bool {
	if fraction <= 0 {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rng.Float64() < fraction
}
