package cataloger

import (
	"sync"

	"plantaincleat/tier/gen/config"
)

// poolPicker spreads requests over shares by weight, as evenly as it can: the
// share that is furthest behind its weight is next (smooth weighted round
// robin). The zero value is ready for use.
type poolPicker struct {
	mu     sync.Mutex
	credit map[string]float64
}

// next returns the place of the share that takes the next request.
func (d *poolPicker) next(shares []*config.Share) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.credit == nil {
		d.credit = make(map[string]float64)
	}
	total, best := 0.0, 0
	for i, s := range shares {
		total += s.GetWeight()
		d.credit[s.GetPool()] += s.GetWeight()
		if d.credit[s.GetPool()] > d.credit[shares[best].GetPool()] {
			best = i
		}
	}
	d.credit[shares[best].GetPool()] -= total
	return best
}
