package gatherer

import (
	"time"

	"plantaincleat/entryd/pkg/quarantiner"
	"plantaincleat/tier/gen/peer"
)

// Quarantine returns what the daemon knows of requests that crash targets.
func (g *Gatherer) Quarantine() *quarantiner.Quarantiner { return g.quarantine }

// mergeSuspicion takes what the root knows of a suspected request.
func (j *job) mergeSuspicion(now time.Time) {
	if n := j.task.GetSuspicion(); n != nil {
		j.gatherer.quarantine.Merge(now, n)
	}
}

// suspicion returns what the root has to know of the request.
func (j *job) suspicion(now time.Time) *peer.Quarantine {
	return j.gatherer.quarantine.Notice(now, j.task.GetFingerprint())
}
