package assigner

import (
	"sync/atomic"
)

// Holder publishes the current placement. The zero value holds an empty placement.
// It is safe for concurrent use by one writer and any number of readers.
type Holder struct {
	current atomic.Pointer[versionedPlacement]
}

type versionedPlacement struct {
	*Placement
	version uint64
}

// Store replaces the current placement and increments its version.
func (h *Holder) Store(p *Placement) {
	h.current.Store(&versionedPlacement{
		Placement: p,
		version:   h.Version() + 1,
	})
}

// Version returns the number of placements stored so far.
func (h *Holder) Version() uint64 {
	if v := h.current.Load(); v != nil {
		return v.version
	}
	return 0
}

// Load returns the current placement. It is empty before the first Store.
func (h *Holder) Load() *Placement {
	if v := h.current.Load(); v != nil {
		return v.Placement
	}
	return &Placement{}
}

// Gatherers calls Placement.Gatherers on the current placement.
func (h *Holder) Gatherers(dataCentre, group string) []Daemon {
	return h.Load().Gatherers(dataCentre, group)
}

// ConnectionBudget calls Placement.ConnectionBudget on the current placement.
func (h *Holder) ConnectionBudget(target string) int { return h.Load().ConnectionBudget(target) }
