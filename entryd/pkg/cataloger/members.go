package cataloger

import (
	"maps"
	"slices"
	"time"

	"plantaincleat/entryd/pkg/assigner"
	"plantaincleat/entryd/pkg/sharer"
)

// memberHold is the time for which a daemon that is not live any more counts among those
// that limits are divided among. It may go on to send, where it is only cut off from this
// one, or be back.
const memberHold = 10 * time.Second

// memberHolder holds the daemons that limits are divided among. The zero value holds none.
type memberHolder struct {
	// seen holds when each daemon was last live. Those that are live have the zero time.
	seen map[string]time.Time
	// current is replaced when the daemons change.
	current *sharer.Members
}

// setLive sets the daemons that are live now.
func (h *memberHolder) setLive(now time.Time, self string, live []assigner.Daemon) {
	if h.seen == nil {
		h.seen = make(map[string]time.Time)
	}
	for id, at := range h.seen {
		if at.IsZero() {
			h.seen[id] = now
		}
	}
	for _, d := range live {
		h.seen[d.ID] = time.Time{}
	}
	h.seen[self] = time.Time{}
	h.build(self)
}

// forget drops the daemons that have not been live for memberHold, and reports whether there
// were any.
func (h *memberHolder) forget(now time.Time) bool {
	before := len(h.seen)
	maps.DeleteFunc(h.seen, func(_ string, at time.Time) bool { return !at.IsZero() && now.Sub(at) >= memberHold })
	if len(h.seen) == before {
		return false
	}
	h.build(h.current.Self)
	return true
}

func (h *memberHolder) build(self string) {
	h.current = &sharer.Members{
		Self: self,
		IDs:  slices.Sorted(maps.Keys(h.seen)),
	}
}
