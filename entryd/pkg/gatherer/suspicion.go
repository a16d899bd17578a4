package gatherer

import (
	"time"

	"plantaincleat/entryd/pkg/quarantiner"
	"plantaincleat/tier/gen/peer"
)

// Quarantine returns the quarantiner of the daemon, which tracks requests that may crash
// targets.
func (g *Gatherer) Quarantine() *quarantiner.Quarantiner { return g.quarantine }

// mergeSuspicion merges the quarantine notice that the root sent with the sub-plan.
func (j *job) mergeSuspicion(now time.Time) {
	if n := j.task.GetSuspicion(); n != nil {
		j.gatherer.quarantine.Merge(now, n)
	}
}

// suspicion returns the quarantine notice of the request for the root, or nil if the
// request is not suspected.
func (j *job) suspicion(now time.Time) *peer.Quarantine {
	return j.gatherer.quarantine.Notice(now, j.task.GetFingerprint())
}
