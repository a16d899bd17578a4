package httphandler

import (
	"strings"
	"time"

	"plantaincleat/entryd/pkg/coordinator"
	"plantaincleat/tier/gen/peer"
)

// Explanation tells how an answer came about. It is served to operators as
// JSON.
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
	// Gatherers are the daemons that were asked for the shard.
	Gatherers []string `json:"gatherers"`
}

// AttemptView is one sub-request. Times are microseconds after the start of
// its sub-plan.
type AttemptView struct {
	Shard  string `json:"shard"`
	Target string `json:"target"`
	Hedge  bool   `json:"hedge"`
	Status string `json:"status"`
	Start  int64  `json:"start"`
	// Sent is when the request left for the target, zero if it did not. Until
	// then it waited for a place.
	Sent  int64  `json:"sent"`
	End   int64  `json:"end"`
	Error string `json:"error,omitempty"`
}

// record keeps the explanation of an answer and counts it.
func (h *Handler) record(a *searchAnswer, q *query, result *coordinator.Result, elapsed time.Duration) {
	h.counts.Answers.Add(1)
	partial := len(result.Missing) > 0
	if partial {
		h.counts.Partial.Add(1)
	}
	if h.Recorder == nil {
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
			Gatherers: gatherersOf(m.Shard, result.SubPlans),
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
	h.Recorder.Record(a.Trace, partial, e)
}

func gatherersOf(shard string, plans []coordinator.SubPlan) []string {
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

func reasonName(r peer.Reason) string {
	return strings.ToLower(strings.TrimPrefix(r.String(), "REASON_"))
}
