package estimator

import (
	"math"
	"math/bits"
	"time"
)

const (
	// subBits is the number of mantissa bits of a bucket: eight buckets to an
	// octave, so that a quantile is off by at most one eighth.
	subBits = 3
	// octaves covers latencies of up to 2^26 µs, about 67 s.
	octaves = 26
	buckets = (octaves - subBits + 1) << subBits

	// maxWeight is the weight of a new sample at which all are scaled down.
	maxWeight = 1 << 20
)

// Sketch is a histogram of durations with exponentially decaying weights
// (forward decay: Cormode et al., "Forward Decay", ICDE 2009). A sample loses
// half of its weight in each half-life. It has a fixed size and allocates
// nothing. It is not safe for concurrent use. The zero value decays with
// DefaultHalfLife.
type Sketch struct {
	// HalfLife is the time in which a sample loses half of its weight.
	HalfLife time.Duration

	landmark time.Duration
	total    float64
	weights  [buckets]float32
}

// Add records a duration at a time, given as the offset from any fixed origin.
func (s *Sketch) Add(at, d time.Duration) {
	w := s.weight(at)
	s.weights[bucket(d)] += float32(w)
	s.total += w
}

// weight returns the weight of a sample taken at a time, moving the landmark
// if the weights have grown large.
func (s *Sketch) weight(at time.Duration) float64 {
	half := s.HalfLife
	if half <= 0 {
		half = DefaultHalfLife
	}
	w := math.Exp2(float64(at-s.landmark) / float64(half))
	if w < maxWeight {
		return w
	}
	scale := float32(1 / w)
	s.total = 0
	for i := range s.weights {
		s.weights[i] *= scale
		s.total += float64(s.weights[i])
	}
	s.landmark = at
	return 1
}

// Quantiles fills out with the durations at the ascending quantiles qs, each
// in [0,1]. It reports false, and fills nothing, if there are no samples.
func (s *Sketch) Quantiles(qs []float64, out []time.Duration) bool {
	if s.total <= 0 {
		return false
	}
	sum, next := 0.0, 0
	for i, w := range s.weights {
		if w == 0 {
			continue
		}
		sum += float64(w)
		for next < len(qs) && sum >= qs[next]*s.total*(1-1e-6) {
			out[next] = middle(i)
			next++
		}
		if next == len(qs) {
			return true
		}
	}
	for ; next < len(qs); next++ {
		out[next] = middle(buckets - 1)
	}
	return true
}

// Reset forgets all samples.
func (s *Sketch) Reset() {
	*s = Sketch{
		HalfLife: s.HalfLife,
	}
}

// bucket returns the index for a duration.
func bucket(d time.Duration) int {
	if d < 0 {
		d = 0
	}
	us := uint64(d / time.Microsecond)
	n := bits.Len64(us)
	if n <= subBits+1 {
		return int(us)
	}
	shift := n - subBits - 1
	i := shift<<subBits + int(us>>shift)
	return min(i, buckets-1)
}

// middle returns the duration in the middle of a bucket.
func middle(i int) time.Duration {
	if i < 2<<subBits {
		return time.Duration(i) * time.Microsecond
	}
	shift := i>>subBits - 1
	low := uint64(i-shift<<subBits) << shift
	return time.Duration(low+uint64(1)<<shift/2) * time.Microsecond
}
