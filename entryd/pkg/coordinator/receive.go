package coordinator

import (
	"errors"
	"time"

	"plantaincleat/entryd/pkg/estimator"
	"plantaincleat/entryd/pkg/multiplexer"
	"plantaincleat/entryd/pkg/router"
	"plantaincleat/tier/gen/peer"
)

// receive handles one event of a sub-plan. Events of sub-plans that are no longer open
// are ignored.
func (s *search) receive(e event) {
	p := s.open[e.nonce]
	if p == nil {
		return
	}
	now := s.root.Clock.Now()
	if e.err != nil {
		s.endSubPlan(e.nonce, p, e.err)
		s.apply(s.query.FailAttempt(e.nonce, peer.Reason_REASON_UNREACHABLE, now))
		return
	}
	covered, missing, err := s.verify(p, e.partial)
	if err != nil {
		s.root.counts.Mismatched.Add(1)
		s.endSubPlan(e.nonce, p, err)
		s.apply(s.query.FailAttempt(e.nonce, peer.Reason_REASON_FAILED, now))
		return
	}
	s.attempts = append(s.attempts, e.partial.GetAttempts()...)
	s.crashed = append(s.crashed, e.partial.GetCrashed()...)
	s.mergeSuspicion(e.partial.GetSuspicion(), now)
	s.root.slow.update(p.targets, e.partial.GetSlow(), now)
	p.recordResponse(now)
	for _, u := range p.units {
		s.responded[u] = true
	}
	s.sent += int(e.partial.GetSent()) - int(p.reportedSent)
	p.reportedSent = e.partial.GetSent()
	if e.partial.GetLast() {
		s.endSubPlan(e.nonce, p, nil)
	}
	s.apply(s.query.Answer(e.nonce, covered, missing, e.partial.GetLast(), now))
	s.checkDropped(missing)
}

// recordResponse records the time until the first response of the gatherer.
func (p *openSubPlan) recordResponse(now time.Time) {
	if !p.responded {
		p.responded = true
		p.peer.estimator.Answer(now, p.ticket, estimator.Report{})
	}
}

// targetsOf returns the ids of the targets that a sub-plan may send requests to.
func targetsOf(task *peer.Gather) []string {
	out := make([]string, 0, len(task.GetShards()))
	for _, w := range task.GetShards() {
		out = append(out, w.GetTargets()...)
	}
	return out
}

var errMismatched = errors.New("partial is from another daemon or names a shard that is not in its sub-plan")

// verify checks a partial against its sub-plan and merges its records. It returns the
// units that the partial covers and those that it reports as missing.
func (s *search) verify(p *openSubPlan, partial *peer.Partial) ([]int, []router.MissingUnit, error) {
	if partial.GetDaemon() != p.path.Daemon.ID {
		return nil, nil, errMismatched
	}
	covered := make([]int, 0, len(partial.GetCovered()))
	for _, id := range partial.GetCovered() {
		u, ok := p.units[id]
		if !ok {
			return nil, nil, errMismatched
		}
		covered = append(covered, u)
	}
	missing := make([]router.MissingUnit, 0, len(partial.GetMissing()))
	for _, m := range partial.GetMissing() {
		u, ok := p.units[m.GetShard()]
		if !ok {
			return nil, nil, errMismatched
		}
		missing = append(missing, router.MissingUnit{
			Unit:   u,
			Reason: m.GetReason(),
		})
	}
	if err := s.merged.Merge(partial.GetSnapshot(), partial.GetCovered(), partial.GetRecords()); err != nil {
		return nil, nil, err
	}
	return covered, missing, nil
}

// checkDropped ends the search once no replica of some shard has the snapshot.
func (s *search) checkDropped(missing []router.MissingUnit) {
	for _, m := range missing {
		if s.query.Closed(m.Unit) && s.query.Reason(m.Unit) == peer.Reason_REASON_DROPPED {
			s.snapshotDropped = true
		}
	}
}

// endSubPlan removes a sub-plan that has ended, and records its end. err is nil if it
// ended with its last partial.
func (s *search) endSubPlan(nonce uint64, p *openSubPlan, err error) {
	now := s.root.Clock.Now()
	delete(s.open, nonce)
	s.subPlans[p.logIndex].End = now.Sub(s.start).Microseconds()
	if err != nil {
		s.subPlans[p.logIndex].Error = err.Error()
	}
	p.cancel()
	if !p.local {
		p.peer.link.Forget(nonce)
	}
	switch {
	case p.responded:
	case err == nil:
		p.recordResponse(now)
	case errors.Is(err, multiplexer.ErrStreamLost), errors.Is(err, multiplexer.ErrNotSent):
		p.peer.estimator.Fail(now)
	default:
		p.peer.estimator.Shed(now, estimator.Report{})
	}
}

// cancelSubPlan removes and cancels a sub-plan whose answer is no longer needed.
func (s *search) cancelSubPlan(nonce uint64) {
	p := s.open[nonce]
	if p == nil {
		return
	}
	delete(s.open, nonce)
	p.cancel()
	if p.reportedSent == 0 {
		// The gatherer has not reported: each unit was sent at least once.
		s.sent += len(p.units)
	}
	if !p.responded {
		p.peer.estimator.Drop()
	}
	if p.local {
		return
	}
	p.peer.link.Forget(nonce)
	p.peer.link.Post(&peer.Task{
		Nonce: nonce,
		Body: &peer.Task_Cancel{
			Cancel: true,
		},
	})
}

// cancelAll cancels every open sub-plan.
func (s *search) cancelAll() {
	for nonce := range s.open {
		s.cancelSubPlan(nonce)
	}
}
