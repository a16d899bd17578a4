package scatterer

import (
	"context"
	"errors"
	"slices"
	"time"

	"plantaincleat/entryd/pkg/assigner"
	"plantaincleat/entryd/pkg/cataloger"
	"plantaincleat/entryd/pkg/httpsender"
	"plantaincleat/tier/gen/peer"
)

// isolated reports whether this daemon reaches no target.
func (s *Scatterer) isolated() bool { return s.ReachDetector != nil && s.ReachDetector.Isolated() }

// doubtful reports whether what this daemon observes of targets may be due to its own links.
func (s *Scatterer) doubtful() bool { return s.ReachDetector != nil && s.ReachDetector.Doubtful() }

// lost returns a channel that is closed while this daemon is isolated.
func (s *Scatterer) lost() <-chan struct{} {
	if s.ReachDetector == nil {
		return nil
	}
	return s.ReachDetector.Lost()
}

// recordSent records that a request is sent to a target.
func (s *Scatterer) recordSent(target *cataloger.Target) {
	if s.ReachDetector != nil {
		s.ReachDetector.RecordSent(target.ID(), target.Estimator().P95())
	}
}

// recordReach records what the end of an attempt tells of the reach of this daemon. sent is
// true if recordSent was called for it.
func (s *Scatterer) recordReach(ctx context.Context, target *cataloger.Target, sent bool, answer *httpsender.Answer, err error) {
	d := s.ReachDetector
	switch {
	case d == nil:
	case !sent:
		if errors.Is(err, httpsender.ErrUnreachable) && ctx.Err() == nil {
			d.RecordUnreachable(target.ID())
		}
	case answer != nil:
		d.RecordHeard(target.ID())
	case ctx.Err() == nil && errors.Is(err, httpsender.ErrIncomplete):
		d.RecordFailed(target.ID())
	default:
		d.RecordDropped(target.ID())
	}
}

// reachesNone reports whether this daemon reaches no target of a pool that could serve.
func (s *Scatterer) reachesNone(p *cataloger.Pool, now time.Time) bool {
	if s.isolated() {
		return true
	}
	found := false
	for _, r := range p.Replicas() {
		if r.Unavailable(now) || r.Vanished() {
			continue
		}
		if !r.Estimator().Suspected() {
			return false
		}
		found = true
	}
	return found
}

// passedOver reports whether an owner of a shard gets no requests for it because it reaches no
// target of it, while another owner is not known to be in the same position. An isolated
// daemon gets none in any case.
func (s *Scatterer) passedOver(d assigner.Daemon, ranked []assigner.Daemon, p *cataloger.Pool, now time.Time) bool {
	if s.Placement.Isolated(d.ID) {
		return true
	}
	return s.ownerReachesNone(d, p, now) && slices.ContainsFunc(ranked, func(other assigner.Daemon) bool {
		return other.ID != d.ID && !s.Placement.Isolated(other.ID) && !s.ownerReachesNone(other, p, now)
	})
}

// ownerReachesNone reports whether an owner, which may be this daemon, reaches no target of a
// shard as far as this daemon knows.
func (s *Scatterer) ownerReachesNone(d assigner.Daemon, p *cataloger.Pool, now time.Time) bool {
	if d.ID == s.ID {
		return s.reachesNone(p, now)
	}
	return s.unreached.contains(now, d.ID, p.Name())
}

// loseReach ends the attempts at targets of an idempotent request when this daemon has become
// isolated, so that their units are sent by other daemons. A request that is not idempotent
// may have been executed, and waits for its answer.
func (j *job) loseReach() {
	if !j.route.GetIdempotent() {
		return
	}
	now := j.Clock.Now()
	for _, a := range j.attempts {
		if _, open := j.open[a.nonce]; !open || a.dest.owner != nil {
			continue
		}
		reason := peer.Reason_REASON_FAILED
		if a.gate.Close() {
			reason, a.notExecuted = peer.Reason_REASON_UNREACHABLE, true
		}
		delete(j.open, a.nonce)
		a.log.Result = "daemon is isolated"
		a.cancelQueue()
		a.cancel()
		j.apply(j.query.FailAttempt(a.nonce, reason, now))
	}
}
