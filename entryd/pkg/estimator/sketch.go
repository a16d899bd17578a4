package estimator

import (
	"math"
	"math/bits"
	"time"
)

const (
	// subBits is the number of mantissa bits of a bucket. Three bits give eight buckets
	// per octave, which limits the error of a quantile to one eighth.
	subBits = 3
	// octaves is the number of octaves. Latencies of up to 2^26 µs, about 67 s, are
	// covered.
	octaves = 26
	buckets = (octaves - subBits + 1) << subBits

	// maxWeight is the weight of a new sample at which all weights are scaled down.
	maxWeight = 1 << 20
)

// Sketch is a histogram of durations with exponentially decaying weights (forward
// decay: Cormode et al., "Forward Decay", ICDE 2009). It has a fixed size and does
// not allocate. The zero value uses DefaultHalfLife. It is not safe for concurrent
// use.
type Sketch struct {
	// HalfLife is the time in which a sample loses half of its weight.
	HalfLife time.Duration

	// landmark is the time at which a new sample has weight one.
	landmark time.Duration
	total    float64
	weights  [buckets]float32
}

// Add records a duration d at a time at, which is an offset from any fixed origin.
func (s *Sketch) Add(at, d time.Duration) {
	w := s.weight(at)
	s.weights[bucket(d)] += float32(w)
	s.total += w
}

// weight returns the weight of a sample taken at a time. If the weight has grown to
// maxWeight, it scales all weights down and moves the landmark.
func (s *Sketch) weight(at time.Duration) float64 {
	halfLife := s.HalfLife
	if halfLife <= 0 {
		halfLife = DefaultHalfLife
	}
	w := math.Exp2(float64(at-s.landmark) / float64(halfLife))
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

// Quantiles fills out with the durations at the quantiles qs, which must be in [0,1]
// and in ascending order. If there are no samples, it returns false and leaves out
// unchanged.
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

// Reset removes all samples.
func (s *Sketch) Reset() {
	*s = Sketch{
		HalfLife: s.HalfLife,
	}
}

// bucket returns the index of the bucket for a duration.
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

// middle returns the duration in the middle of the bucket with an index.
func middle(i int) time.Duration {
	if i < 2<<subBits {
		return time.Duration(i) * time.Microsecond
	}
	shift := i>>subBits - 1
	low := uint64(i-shift<<subBits) << shift
	return time.Duration(low+uint64(1)<<shift/2) * time.Microsecond
}
