package httphandler

import (
	"plantaincleat/entryd/pkg/admitter"
	"plantaincleat/entryd/pkg/coordinator"
	"plantaincleat/tier/gen/peer"
)

// searchResult returns what the end of a search means for admission control.
func searchResult(result *coordinator.Result, err error) admitter.Result {
	if err != nil {
		return admitter.Result{}
	}
	out := admitter.Result{
		Outcome:   admitter.Completed,
		QueueTime: result.QueueTime,
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

// overloaded reports whether a shard is missing for lack of capacity: its request was
// shed, or it was late and one of its attempts was never sent. A late attempt that was
// sent reached a slow or unresponsive target, and admitting fewer searches would not
// help.
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
