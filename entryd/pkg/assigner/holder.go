package assigner

import (
	"sync/atomic"
)

// Holder publishes the placement in force. The zero value holds an empty one.
// It is safe for concurrent use by one writer and any readers.
type Holder struct {
	current atomic.Pointer[versioned]
}

type versioned struct {
	*Placement
	version uint64
}

// Store puts a placement in force.
func (h *Holder) Store(p *Placement) {
	h.current.Store(&versioned{
		Placement: p,
		version:   h.Version() + 1,
	})
}

// Version rises with each placement. It is 0 before the first.
func (h *Holder) Version() uint64 {
	if v := h.current.Load(); v != nil {
		return v.version
	}
	return 0
}

// Load returns the placement in force.
func (h *Holder) Load() *Placement {
	if v := h.current.Load(); v != nil {
		return v.Placement
	}
	return &Placement{}
}

// Gatherers is Placement.Gatherers on the placement in force.
func (h *Holder) Gatherers(dataCentre, group string) []Daemon {
	return h.Load().Gatherers(dataCentre, group)
}

// ConnectionBudget is Placement.Budget on the placement in force.
func (h *Holder) ConnectionBudget(target string) int { return h.Load().ConnectionBudget(target) }
