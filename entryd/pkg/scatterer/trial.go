package scatterer

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"time"

	"github.com/jonboulle/clockwork"

	"plantaincleat/entryd/pkg/assigner"
	"plantaincleat/entryd/pkg/cataloger"
	"plantaincleat/entryd/pkg/crashtracker"
	"plantaincleat/entryd/pkg/httpsender"
	"plantaincleat/tier/gen/peer"
	"plantaincleat/tier/pkg/ranker"
)

const (
	// turnTimeout bounds the time that a suspected request waits for another one.
	turnTimeout = 250 * time.Millisecond
	// arbiterDelay is the time after its start, or after a freeze, from which a daemon carries
	// out trials. Within it, the daemon that has carried them out meanwhile hears that it is
	// there.
	arbiterDelay = 1500 * time.Millisecond
)

// trialPlan tells how to serve a request in view of the suspicions. A trial is the send of a
// suspected request to one target, which shows whether it crashes that as well.
type trialPlan struct {
	crashtracker.Plan
	// arbiter is the daemon that carries out the trial, or nil if it is this one.
	arbiter *owner
	// endTurn lets the next suspected request go on.
	endTurn func()
}

// planSend returns how to serve a request, or the refusal of a request that crashes
// targets. One daemon carries out the trials: those of equal requests one after the other, so
// that each begins with what the one before has shown, and those in one pool one after the
// other, so that the end of a target is not blamed on two requests.
func (s *Scatterer) planSend(ctx context.Context, r *Request, route *cataloger.Route, subject crashtracker.Subject) (trialPlan, *Result) {
	now := s.Clock.Now()
	p := trialPlan{
		Plan:    s.crashes.Plan(now, subject),
		endTurn: func() {},
	}
	if p.Suspected && !p.Refused {
		if p.arbiter = s.arbiterOf(route); p.arbiter != nil {
			return p, s.refuseWithoutArbiter(p.arbiter, route, now)
		}
		if !s.mayArbitrate(now) {
			return p, refuse(route, peer.Reason_REASON_SHED, minRetry)
		}
		if p.endTurn = s.takeTurn(ctx, subject, p.Pool, min(turnTimeout, r.longestRetry(now))); p.endTurn == nil {
			return p, refuse(route, peer.Reason_REASON_SHED, minRetry)
		}
		// The request that was served meanwhile may have been an equal one.
		now = s.Clock.Now()
		p.Plan = s.crashes.Plan(now, subject)
	}
	if p.Refused {
		p.endTurn()
		return p, refuse(route, peer.Reason_REASON_QUARANTINED, p.Until.Sub(now))
	}
	return p, nil
}

// arbiterOf returns the daemon that carries out the trials of all suspected requests for the
// pools of a route, or nil if it is this one. The daemons that know the same fleet agree on it.
// An isolated daemon stays arbiter, and refuses: daemons learn of an isolation at different
// times, in which two of them would carry out trials. One that leaves the fleet is none, as the
// others know.
func (s *Scatterer) arbiterOf(route *cataloger.Route) *owner {
	if s.Placement == nil {
		return nil
	}
	daemons := slices.DeleteFunc(slices.Clone(s.Placement.Peers()), func(d assigner.Daemon) bool {
		return s.partitionedFrom(d.DataCentre)
	})
	if !s.leaving() || len(daemons) == 0 {
		daemons = append(daemons, assigner.Daemon{
			ID: s.ID,
		})
	}
	ranked := ranker.Rank(daemons, arbiterKey(route), daemonID)
	if ranked[0].ID == s.ID {
		return nil
	}
	return s.owners.get(ranked[0])
}

// leaving reports whether this daemon leaves the fleet.
func (s *Scatterer) leaving() bool { return s.Membership != nil && s.Membership.Leaving() }

// mayArbitrate reports whether this daemon, which takes itself for the arbiter, may carry out
// trials. Right after a start or a freeze, another daemon may carry them out in its place.
func (s *Scatterer) mayArbitrate(now time.Time) bool {
	return s.Membership == nil || now.Sub(s.Membership.Since()) >= arbiterDelay
}

// mayArbitrateForOthers reports whether this daemon may carry out the trial of a request that
// another daemon has received. One that leaves may not: those that know have another arbiter.
func (s *Scatterer) mayArbitrateForOthers(now time.Time) bool {
	return !s.leaving() && s.mayArbitrate(now)
}

// arbiterKey returns the key by which daemons are ranked as arbiter: the first pool by name, so
// that routes over the same shards have the same arbiter.
func arbiterKey(route *cataloger.Route) string {
	first := ""
	for _, p := range route.Pools() {
		if first == "" || p.Name() < first {
			first = p.Name()
		}
	}
	return "arbiter " + first
}

// refuseWithoutArbiter returns a refusal if the arbiter does not acknowledge requests of this
// daemon. No other daemon takes its place until the fleet knows that it is gone: the trials would
// overlap.
func (s *Scatterer) refuseWithoutArbiter(arbiter *owner, route *cataloger.Route, now time.Time) *Result {
	if !arbiter.unresponsive() {
		return nil
	}
	if arbiter.probeDue(now) {
		go s.probeOwner(arbiter)
	}
	return refuse(route, peer.Reason_REASON_SHED, minRetry)
}

// takeTurn waits until no equal request, and no other suspected request for the same pool, is
// served by this daemon. It returns the function that lets the next one go on, or nil once the
// limit has passed.
func (s *Scatterer) takeTurn(ctx context.Context, subject crashtracker.Subject, pool string, limit time.Duration) func() {
	ctx, cancel := clockwork.WithTimeout(ctx, s.Clock, limit)
	defer cancel()
	endContent := s.contentTurns.Take(ctx, subject.ContentString())
	if endContent == nil {
		return nil
	}
	endPool := s.turns.Take(ctx, pool)
	if endPool == nil {
		endContent()
		return nil
	}
	return func() {
		endPool()
		endContent()
	}
}

// inTrial reports whether what this daemon sends next is the trial of a suspected request.
func (j *job) inTrial() bool {
	return j.tries && (j.query.OnlyFirstSent() || len(j.pools) == 1)
}

// awaitOutcome waits until a trial that is at a target has shown whether it crashes that, for
// lingerTime at most, or until EndRequests is called. Nothing is sent any more.
func (j *job) awaitOutcome() {
	if !j.tries {
		return
	}
	j.closed = true
	j.awaitEvents(lingerTime, j.atTarget)
}

// atTarget reports whether a trial of this daemon is open at a target and unanswered. It withdraws
// what was not sent yet.
func (j *job) atTarget() bool {
	sent := false
	for _, a := range j.open {
		if a.trial && a.dest.owner == nil && !j.answered(a.units[0]) {
			sent = !a.gate.Close() || sent
		}
	}
	return sent
}

// unanswered reports whether the trial of this daemon may have been executed by a target and has
// shown nothing: it is open, or it ended with the deadline. A connection that failed shows nothing
// either, but is not held against the request, since no target may have been behind it.
func (j *job) unanswered() bool {
	for _, a := range j.attempts {
		if !a.trial || a.dest.owner != nil || j.answered(a.units[0]) {
			continue
		}
		if _, open := j.open[a.nonce]; a.expired || open && !a.gate.Close() {
			return true
		}
	}
	return false
}

// expired reports whether the last event of an attempt at a target shows only that the deadline
// has passed.
func (j *job) expired(e event) bool {
	if e.err != nil {
		return !notExecuted(e.err) && !errors.Is(e.err, httpsender.ErrEnded) && !j.Clock.Now().Before(j.request.Deadline)
	}
	return e.answer.Status == http.StatusGatewayTimeout
}

// chooseForTrial returns the arbiter or, if that is this daemon, a replica.
func (s *selector) chooseForTrial(unit int, tried []destination, now time.Time) (destination, bool) {
	if s.job.arbiter == nil {
		return s.chooseReplica(unit, tried, now)
	}
	dest := destination{owner: s.job.arbiter}
	return dest, !slices.Contains(tried, dest)
}
