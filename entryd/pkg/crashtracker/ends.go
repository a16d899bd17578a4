package crashtracker

import (
	"slices"
	"time"
)

const (
	// massWindow is the time within which targets that end count as ending together.
	massWindow = 500 * time.Millisecond
	// massThreshold is the number of targets that end together without a request from
	// which the request is not taken for the cause of the crash of yet another one.
	massThreshold = 5
	// maxEnds bounds the number of ends that are kept.
	maxEnds = 256
)

// end is the end of a target while it had a request.
type end struct {
	target  string
	subject Subject
	at      time.Time
}

// ends holds the ends of the last massWindow, the oldest first. The zero value is empty.
type ends []end

func (e *ends) add(n end) {
	*e = slices.DeleteFunc(*e, func(o end) bool { return n.at.Sub(o.at) > massWindow })
	if len(*e) == maxEnds {
		*e = slices.Delete(*e, 0, 1)
	}
	*e = append(*e, n)
}

// many reports whether at least massThreshold targets have ended in the last massWindow
// that did not have a request with a fingerprint, of the content alone or with the caller.
func (e *ends) many(now time.Time, fingerprint uint64) bool {
	had := make(map[string]bool)
	for _, o := range *e {
		if now.Sub(o.at) <= massWindow {
			had[o.target] = had[o.target] || o.subject.content == fingerprint || o.subject.caller == fingerprint
		}
	}
	n := 0
	for _, request := range had {
		if !request {
			n++
		}
	}
	return n >= massThreshold
}
