package httphandler

import (
	"plantaincleat/entryd/pkg/admitter"
	"plantaincleat/entryd/pkg/coordinator"
	"plantaincleat/tier/gen/peer"
)

// load tells what the end of a query says about the load.
func load(result *coordinator.Result, err error) admitter.Result {
	if err != nil {
		return admitter.Result{}
	}
	out := admitter.Result{
		Outcome: admitter.Completed,
		Waited:  result.QueueTime,
	}
	if len(result.Missing) > 0 {
		out.Outcome = admitter.Failed
	}
	for _, m := range result.Missing {
		if overloaded(m, result.Attempts) {
			out.Outcome = admitter.Overloaded
		}
	}
	return out
}

// overloaded reports whether a shard is missing for want of capacity: it was
// shed, or it was late and one of its attempts never left for a target. A late
// attempt that did leave met a slow or silent target, which fewer queries would
// not mend.
func overloaded(m *peer.Missing, attempts []*peer.Attempt) bool {
	switch m.GetReason() {
	case peer.Reason_REASON_SHED:
		return true
	case peer.Reason_REASON_LATE:
		for _, a := range attempts {
			if a.GetShard() == m.GetShard() && a.GetSent() == 0 {
				return true
			}
		}
	}
	return false
}
