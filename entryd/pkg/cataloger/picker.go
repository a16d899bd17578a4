package cataloger

import (
	"sync"

	"plantaincleat/tier/gen/config"
)

// poolPicker selects pools in proportion to their weights by smooth weighted round
// robin: the pool that is furthest behind its weight is next. The zero value is
// ready for use. It is safe for concurrent use.
type poolPicker struct {
	mu sync.Mutex
	// credit holds, for each pool, the requests that it is owed, times the total weight.
	credit map[string]float64
}

// next returns the index of the share whose pool gets the next request.
func (p *poolPicker) next(shares []*config.Share) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.credit == nil {
		p.credit = make(map[string]float64)
	}
	total, best := 0.0, 0
	for i, s := range shares {
		total += s.GetWeight()
		p.credit[s.GetPool()] += s.GetWeight()
		if p.credit[s.GetPool()] > p.credit[shares[best].GetPool()] {
			best = i
		}
	}
	p.credit[shares[best].GetPool()] -= total
	return best
}
