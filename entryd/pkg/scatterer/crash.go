package scatterer

import (
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"google.golang.org/grpc/codes"

	"plantaincleat/entryd/pkg/cataloger"
	"plantaincleat/tier/gen/peer"
	"plantaincleat/tier/pkg/ranker"
)

const (
	// quarantinedCode is the status code with which a daemon refuses a request of another
	// daemon because it crashes targets.
	quarantinedCode = codes.PermissionDenied
	// maxLoggedTrials bounds the attempts in the line of a send of a suspected request.
	maxLoggedTrials = 4
)

// errQuarantined reports that a daemon refused a request because it crashes targets.
var errQuarantined = errors.New("request is quarantined")

// rejectAll returns the reply to a request of another daemon that was sent to no target.
func rejectAll(in *peer.ScatterRequest, reason peer.Reason) *peer.ScatterReply {
	reply := &peer.ScatterReply{
		Last:      true,
		Untouched: true,
	}
	for i := range in.GetShards() {
		reply.Lacks = append(reply.Lacks, &peer.ScatterLack{
			Shard:  uint32(i),
			Reason: reason,
		})
	}
	return reply
}

// quarantined reports whether the request is refused by now. It may have waited since it was
// planned, for a connection or for another target.
func (j *job) quarantined(now time.Time) bool {
	plan := j.crashes.Plan(now, j.plan.Subject())
	return plan.Refused
}

// unitToTry returns the unit to which a suspected request is sent first: that of the
// suspicion's pool, or any if the route no longer has that pool.
func (j *job) unitToTry(pool string) int {
	if u := j.unitOf(pool); u >= 0 {
		return u
	}
	return rand.IntN(len(j.pools))
}

// unitOf returns the unit of a pool, or -1 if the request is not meant for the pool.
func (j *job) unitOf(pool string) int {
	return slices.IndexFunc(j.pools, func(p *cataloger.Pool) bool { return p.Name() == pool })
}

// recordEnded records the ends of targets that an owner reports.
func (j *job) recordEnded(a *attempt, reply *peer.ScatterReply) {
	counts := make(map[int]int)
	for _, index := range reply.GetEnded() {
		if int(index) >= len(a.units) {
			continue
		}
		unit := a.units[index]
		if j.ended[unit] == 0 {
			j.crashes.RecordEnd(j.Clock.Now(), j.pools[unit].Name(), j.plan.Subject())
		}
		counts[unit]++
		j.raiseEnded(unit, counts[unit])
	}
}

// raiseEnded records that n targets of a unit have ended.
func (j *job) raiseEnded(unit, n int) { j.ended[unit] = max(j.ended[unit], n) }

// answeredBy reports whether a target of a pool has answered the request.
func (j *job) answeredBy(pool string) bool {
	u := j.unitOf(pool)
	return u >= 0 && j.answered(u)
}

// answered reports whether a target has answered a unit, which shows that it goes on. An error
// response shows that as well, unless the target only gave up at the deadline.
func (j *job) answered(unit int) bool {
	switch {
	case j.route.Scattered():
		return j.query.Covered(unit)
	case j.single != nil:
		return j.single.Status != http.StatusGatewayTimeout
	case j.failure != nil:
		return j.failure.Status != http.StatusGatewayTimeout && j.failure.Header.Get(j.Signature) != ""
	}
	return false
}

// recordCrashes records whether targets answered the request, and whether one ended while
// it had the request or left its trial unanswered.
func (j *job) recordCrashes() {
	now := j.Clock.Now()
	j.logTrial()
	if j.crashes.RecordAnswer(now, &j.plan, j.answeredBy) {
		slog.Info("suspicion ended: a target has answered the request", "id", j.request.ID, "fingerprint", j.plan.Subject().String())
	}
	pool, n := j.crashedPool()
	msg := "target ended while it had a request"
	var crashes int
	var until time.Time
	switch {
	case n > 0:
		crashes, until = j.crashes.RecordCrashes(now, &j.plan, pool, n)
	case j.unanswered():
		msg = "suspected request is counted as a crash since no target has answered it"
		pool = j.plan.Pool
		crashes, until = j.crashes.RecordUnanswered(now, &j.plan)
	default:
		return
	}
	attrs := []any{"id", j.request.ID, "fingerprint", j.plan.Subject().String(),
		"content", j.plan.Subject().ContentString(), "caller", j.request.Caller, "pool", pool, "ended", n, "crashes", crashes}
	if !until.IsZero() {
		attrs = append(attrs, "until", until)
	}
	slog.Info(msg, attrs...)
}

// logTrial logs a send of a suspected request that no target has answered: how many crashes
// were known, and what became of each attempt at a target. An attempt that is "open" has shown
// nothing.
func (j *job) logTrial() {
	if !j.plan.Suspected {
		return
	}
	var attempts []string
	for _, a := range j.attempts {
		if u := a.units[0]; a.dest.owner == nil && !j.answered(u) {
			attempts = append(attempts, fmt.Sprintf("%s %s from %v took %v %s", a.log.Shard, a.log.Target, a.log.Start.Round(time.Millisecond), a.log.Took.Round(time.Millisecond), a.log.Result))
		}
	}
	if len(attempts) == 0 {
		return
	}
	slog.Info("suspected request was tried without an answer", "id", j.request.ID, "root", j.root,
		"content", j.plan.Subject().ContentString(), "known_crashes", j.plan.Crashes(), "attempts", attempts[:min(len(attempts), maxLoggedTrials)])
}

// crashedPool returns a pool of which targets ended and none answered, and the greatest
// number of these targets in one pool. Requests with different contents get different pools
// as far as possible, so that they do not meet when they are sent again. Those with the same
// content wait for each other at the owner of one pool.
func (j *job) crashedPool() (string, int) {
	var pools []string
	most := 0
	for u, p := range j.pools {
		if j.ended[u] > 0 && !j.answered(u) {
			pools = append(pools, p.Name())
			most = max(most, j.ended[u])
		}
	}
	if most == 0 {
		return "", 0
	}
	return ranker.Rank(pools, j.plan.Subject().ContentString(), func(name string) string { return name })[0], most
}
