package coordinator

import (
	"errors"
	"time"

	"plantaincleat/entryd/pkg/estimator"
	"plantaincleat/entryd/pkg/multiplexer"
	"plantaincleat/entryd/pkg/router"
	"plantaincleat/tier/gen/peer"
)

// receive handles one event of a sub-plan.
func (s *search) receive(e event) {
	p := s.subplans[e.nonce]
	if p == nil {
		return
	}
	now := s.root.Clock.Now()
	if e.err != nil {
		s.end(e.nonce, p, e.err)
		s.apply(s.query.FailAttempt(e.nonce, peer.Reason_REASON_UNREACHABLE, now))
		return
	}
	covered, lacks, err := s.verify(p, e.partial)
	if err != nil {
		s.root.counts.Mismatched.Add(1)
		s.end(e.nonce, p, err)
		s.apply(s.query.FailAttempt(e.nonce, peer.Reason_REASON_FAILED, now))
		return
	}
	s.attempts = append(s.attempts, e.partial.GetAttempts()...)
	s.crashed = append(s.crashed, e.partial.GetCrashed()...)
	s.learn(e.partial.GetSuspicion(), now)
	s.root.slow.update(p.asked, e.partial.GetSlow(), now)
	p.hear(now)
	for _, u := range p.units {
		s.reported[u] = true
	}
	s.sent += int(e.partial.GetSent()) - int(p.sent)
	p.sent = e.partial.GetSent()
	if e.partial.GetLast() {
		s.end(e.nonce, p, nil)
	}
	s.apply(s.query.Answer(e.nonce, covered, lacks, e.partial.GetLast(), now))
	s.checkDropped(lacks)
}

// hear records the time to the first sign of life of the gatherer.
func (p *subplan) hear(now time.Time) {
	if !p.heard {
		p.heard = true
		p.peer.gauge.Answer(now, p.ticket, estimator.Report{})
	}
}

// targetsOf returns the targets that a sub-plan may ask.
func targetsOf(task *peer.Gather) []string {
	out := make([]string, 0, len(task.GetShards()))
	for _, w := range task.GetShards() {
		out = append(out, w.GetTargets()...)
	}
	return out
}

var errCrossed = errors.New("partial does not match its sub-plan")

// verify checks a partial against its sub-plan and merges its records.
func (s *search) verify(p *subplan, partial *peer.Partial) ([]int, []router.MissingUnit, error) {
	if partial.GetDaemon() != p.path.Daemon.ID {
		return nil, nil, errCrossed
	}
	covered := make([]int, 0, len(partial.GetCovered()))
	for _, id := range partial.GetCovered() {
		u, ok := p.units[id]
		if !ok {
			return nil, nil, errCrossed
		}
		covered = append(covered, u)
	}
	lacks := make([]router.MissingUnit, 0, len(partial.GetMissing()))
	for _, m := range partial.GetMissing() {
		u, ok := p.units[m.GetShard()]
		if !ok {
			return nil, nil, errCrossed
		}
		lacks = append(lacks, router.MissingUnit{
			Unit:   u,
			Reason: m.GetReason(),
		})
	}
	if err := s.merged.Merge(partial.GetSnapshot(), partial.GetCovered(), partial.GetRecords()); err != nil {
		return nil, nil, err
	}
	return covered, lacks, nil
}

// checkDropped ends the try once no replica of some shard has the snapshot.
func (s *search) checkDropped(lacks []router.MissingUnit) {
	for _, l := range lacks {
		if s.query.Closed(l.Unit) && s.query.Reason(l.Unit) == peer.Reason_REASON_DROPPED {
			s.dropped = true
		}
	}
}

// end closes a sub-plan that answered or failed.
func (s *search) end(nonce uint64, p *subplan, err error) {
	now := s.root.Clock.Now()
	delete(s.subplans, nonce)
	s.log[p.order].End = now.Sub(s.start).Microseconds()
	if err != nil {
		s.log[p.order].Error = err.Error()
	}
	p.cancel()
	if !p.local {
		p.peer.link.Forget(nonce)
	}
	switch {
	case p.heard:
	case err == nil:
		p.hear(now)
	case errors.Is(err, multiplexer.ErrStreamLost), errors.Is(err, multiplexer.ErrNotSent):
		p.peer.gauge.Fail(now)
	default:
		p.peer.gauge.Shed(now, estimator.Report{})
	}
}

// withdraw cancels a sub-plan whose answer is not needed any more.
func (s *search) withdraw(nonce uint64) {
	p := s.subplans[nonce]
	if p == nil {
		return
	}
	delete(s.subplans, nonce)
	p.cancel()
	if p.sent == 0 {
		// The gatherer has not reported: each unit was sent at least once.
		s.sent += len(p.units)
	}
	if !p.heard {
		p.peer.gauge.Drop()
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

// abandon withdraws every sub-plan that is still open.
func (s *search) abandon() {
	for nonce := range s.subplans {
		s.withdraw(nonce)
	}
}
