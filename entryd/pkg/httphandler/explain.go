package httphandler

import (
	"strings"
	"time"

	"plantaincleat/entryd/pkg/coordinator"
	"plantaincleat/tier/gen/peer"
)

// Explanation describes how an answer was obtained. It is served to operators as
// JSON. Elapsed is the execution time in microseconds.
type Explanation struct {
	Request     string                `json:"request"`
	Trace       string                `json:"trace"`
	Daemon      string                `json:"daemon"`
	Institution string                `json:"institution"`
	Class       string                `json:"class"`
	Collection  string                `json:"collection"`
	Version     string                `json:"version"`
	Snapshot    string                `json:"snapshot"`
	Revision    uint64                `json:"revision"`
	Restarts    int                   `json:"restarts"`
	Elapsed     int64                 `json:"elapsed"`
	Fraction    float64               `json:"fraction"`
	Missing     []MissingShard        `json:"missing"`
	Plans       []coordinator.SubPlan `json:"plans"`
	Attempts    []AttemptView         `json:"attempts"`
	Stats       coordinator.Stats     `json:"stats"`
}

// MissingShard is a shard that an answer does not cover, and why.
type MissingShard struct {
	Shard  string `json:"shard"`
	Reason string `json:"reason"`
	// Gatherers are the ids of the daemons that were asked for the shard.
	Gatherers []string `json:"gatherers"`
}

// AttemptView describes one attempt of a sub-request. Times are microseconds since
// the start of its sub-plan.
type AttemptView struct {
	Shard  string `json:"shard"`
	Target string `json:"target"`
	Hedge  bool   `json:"hedge"`
	Status string `json:"status"`
	Start  int64  `json:"start"`
	// Sent is when the attempt was sent to the target, or zero if it was not.
	// Until then it was queued for the target.
	Sent  int64  `json:"sent"`
	End   int64  `json:"end"`
	Error string `json:"error,omitempty"`
}

// recordExplanation counts an answer and stores its explanation, if explanations are
// kept.
func (h *Handler) recordExplanation(a *searchAnswer, q *query, result *coordinator.Result, elapsed time.Duration) {
	h.counts.Answers.Add(1)
	partial := len(result.Missing) > 0
	if partial {
		h.counts.Partial.Add(1)
	}
	if h.Explanations == nil {
		return
	}
	e := &Explanation{
		Request:     a.Request,
		Trace:       a.Trace,
		Daemon:      h.ID,
		Institution: q.institution.GetName(),
		Class:       q.class.GetName(),
		Collection:  q.body.Collection,
		Version:     q.body.Version,
		Snapshot:    a.Snapshot,
		Revision:    a.Revision,
		Restarts:    result.Restarts,
		Elapsed:     elapsed.Microseconds(),
		Fraction:    a.Coverage.Fraction,
		Plans:       result.SubPlans,
		Stats:       result.Stats,
	}
	for _, m := range a.Coverage.Missing {
		e.Missing = append(e.Missing, MissingShard{
			Shard:     m.Shard,
			Reason:    m.Reason,
			Gatherers: gatherersForShard(m.Shard, result.SubPlans),
		})
	}
	for _, at := range result.Attempts {
		e.Attempts = append(e.Attempts, AttemptView{
			Shard:  at.GetShard(),
			Target: at.GetTarget(),
			Hedge:  at.GetHedge(),
			Status: strings.ToLower(strings.TrimPrefix(at.GetStatus().String(), "STATUS_")),
			Start:  at.GetStart(),
			Sent:   at.GetSent(),
			End:    at.GetEnd(),
			Error:  at.GetError(),
		})
	}
	h.Explanations.Add(a.Trace, partial, e)
}

// gatherersForShard returns the ids of the daemons whose sub-plans contain a shard.
func gatherersForShard(shard string, plans []coordinator.SubPlan) []string {
	var out []string
	for _, p := range plans {
		for _, s := range p.Shards {
			if s == shard {
				out = append(out, p.Daemon)
			}
		}
	}
	return out
}

// reasonName returns the name of a reason as callers see it.
func reasonName(r peer.Reason) string {
	return strings.ToLower(strings.TrimPrefix(r.String(), "REASON_"))
}
