package dispatcher

import (
	"context"
	"fmt"
	"slices"
	"time"

	"plantaincleat/entryd/pkg/claimer"
	"plantaincleat/tier/gen/peer"
	"plantaincleat/tier/gen/target"
	"plantaincleat/tier/pkg/storer"
)

// mechanisms selects mechanisms of the protocol to disable. The tests check that
// each one is needed for at most one execution.
type mechanisms struct {
	fenceOff      bool // appends have no conditions and may overwrite
	releaseOff    bool // an attempt that released its key still dispatches on a late grant
	closeOff      bool // a release does not close the key for earlier attempts
	numberingOff  bool // all attempts act as if they had number 1
	truncationOff bool // appends have no condition on the base
}

// simAttempt is one attempt, with the answers that the network may still deliver
// and the state of its request at the target.
type simAttempt struct {
	attempt  *Attempt
	key      string
	number   uint32
	id       string
	followUp peer.ClaimKind
	answers  []*peer.ClaimResult
	inflight bool
	refused  bool
	executed bool
	result   *Result
}

// sentClaim is a claim that a writer has not answered yet. attempt is an index in
// simulation.attempts.
type sentClaim struct {
	attempt int
	kind    peer.ClaimKind
}

// simWriter is a bucket writer with its pending store call and unanswered claims.
type simWriter struct {
	bucket     *claimer.Bucket
	call       claimer.Call
	unanswered map[uint64]sentClaim
	nextID     uint64
}

// simulation runs attempts, a target and two writers of one bucket. The function
// draw makes all choices and so determines the run.
type simulation struct {
	off        mechanisms
	draw       func(n int) int
	now        time.Time
	keys       []string
	paused     int
	store      *storer.Memory
	writers    [2]*simWriter
	attempts   []*simAttempt
	sends      map[string]uint32
	violations []string
}

func newSimulation(off mechanisms, draw func(n int) int) *simulation {
	s := &simulation{
		off:    off,
		draw:   draw,
		now:    time.UnixMilli(1_800_000_000_000),
		store:  &storer.Memory{},
		sends:  make(map[string]uint32),
		paused: -1,
	}
	for i := range s.writers {
		s.restartWriter(i)
	}
	return s
}

// restartWriter replaces a writer by a new one without state.
func (s *simulation) restartWriter(i int) {
	s.writers[i] = &simWriter{
		bucket: claimer.NewBucket(simulatedBucket, claimer.Config{
			Interval:     time.Millisecond,
			RetryDelay:   time.Millisecond,
			WaitLimit:    50 * time.Millisecond,
			Retention:    func() time.Duration { return 200 * time.Millisecond },
			MaxClockSkew: 10 * time.Millisecond,
			WriterID:     fmt.Sprint(i, len(s.attempts)),
		}),
		unanswered: make(map[uint64]sentClaim),
	}
}

// step advances the time by up to 2 ms and performs one chosen event.
func (s *simulation) step() {
	s.now = s.now.Add(time.Duration(s.draw(3)) * time.Millisecond)
	i := s.draw(len(s.writers))
	if i == s.paused {
		i = 1 - i
	}
	switch s.draw(12) {
	case 0:
		s.startAttempt()
	case 1, 2:
		s.sendClaim(i)
	case 3, 4, 5:
		s.applyStep(s.writers[i], s.writers[i].bucket.Tick(s.now))
	case 6, 7:
		s.runCall(s.writers[i])
	case 8:
		s.deliverAnswer()
	case 9:
		s.stepTarget()
	case 10:
		s.injectFault(i)
	case 11:
		if s.draw(4) == 0 {
			_, t := s.pick(func(t *simAttempt) bool { return t.result == nil })
			s.applyEvent(t, func(a *Attempt) Action { return a.HandleDeadline() })
		}
	}
}

// injectFault restarts or pauses a writer, advances the time or applies delayed
// writes.
func (s *simulation) injectFault(i int) {
	switch s.draw(8) {
	case 0:
		s.restartWriter(i)
	case 1:
		s.now = s.now.Add(120 * time.Millisecond)
	case 2:
		s.paused = s.draw(3) - 1
	default:
		s.store.ApplyDelayed()
	}
}

// startAttempt starts an attempt with a new or a used key. Every other key is sent
// without numbers.
func (s *simulation) startAttempt() {
	if len(s.attempts) >= maxSimulatedAttempts {
		return
	}
	if len(s.keys) == 0 || s.draw(3) == 0 {
		if key := keyIn(simulatedBucket, s.now); !slices.Contains(s.keys, key) {
			s.keys = append(s.keys, key)
		}
	}
	at := s.draw(len(s.keys))
	key := s.keys[at]
	s.sends[key]++
	number := s.sends[key]
	if at%2 == 0 {
		number = 0
	}
	claimed := number
	if s.off.numberingOff {
		claimed = 1
	}
	s.attempts = append(s.attempts, &simAttempt{
		attempt: NewAttempt(claimed, s.now.Add(100*time.Millisecond)),
		key:     key,
		number:  number,
		id:      fmt.Sprint("d", len(s.attempts)),
	})
}

// pick draws an attempt that matches wants, or in one of eight cases any attempt.
// It returns nil if there is none.
func (s *simulation) pick(wants func(t *simAttempt) bool) (int, *simAttempt) {
	var at []int
	unfiltered := s.draw(8) == 0
	for i, t := range s.attempts {
		if unfiltered || wants(t) {
			at = append(at, i)
		}
	}
	if len(at) == 0 {
		return 0, nil
	}
	i := at[s.draw(len(at))]
	return i, s.attempts[i]
}

// sendClaim sends a claim of an attempt to a writer. The claim may be a repetition.
func (s *simulation) sendClaim(i int) {
	at, t := s.pick(func(t *simAttempt) bool { return t.attempt.phase != phaseSent && t.attempt.phase != phaseEnded })
	if t == nil {
		return
	}
	kind := peer.ClaimKind_CLAIM_KIND_TAKE
	if t.followUp != 0 && s.draw(3) > 0 {
		kind = t.followUp
	}
	w := s.writers[i]
	w.nextID++
	w.unanswered[w.nextID] = sentClaim{
		attempt: at,
		kind:    kind,
	}
	c := &peer.Claim{
		Key:        t.key,
		Dispatcher: t.id,
		Kind:       kind,
		Attempt:    t.number,
	}
	if kind == peer.ClaimKind_CLAIM_KIND_TAKE && s.off.closeOff {
		c.Attempt = 1000
	}
	if kind == peer.ClaimKind_CLAIM_KIND_RECORD {
		c.Outcome = t.attempt.Outcome()
	}
	s.applyStep(w, w.bucket.Add(s.now, w.nextID, c))
}

// applyStep stores the call of a writer and passes on the answers. Answers to a take
// wait for deliverAnswer; answers to a release are delivered at once.
func (s *simulation) applyStep(w *simWriter, step claimer.Step) {
	if step.Call.Kind != claimer.CallNone {
		w.call = step.Call
	}
	for _, a := range step.Answers {
		sent := w.unanswered[a.ID]
		t := s.attempts[sent.attempt]
		if sent.kind == peer.ClaimKind_CLAIM_KIND_TAKE {
			t.answers = append(t.answers, &peer.ClaimResult{
				Key:     t.key,
				Verdict: a.Verdict,
				Outcome: a.Outcome,
			})
			continue
		}
		if sent.kind == peer.ClaimKind_CLAIM_KIND_RELEASE && a.Verdict != peer.Verdict_VERDICT_UNAVAILABLE &&
			a.Verdict != peer.Verdict_VERDICT_UNKNOWN {
			s.applyEvent(t, func(at *Attempt) Action {
				return at.HandleRelease(&peer.ClaimResult{
					Verdict: a.Verdict,
					Outcome: a.Outcome,
				})
			})
		}
	}
}

// runCall makes the pending store call of a writer, at random with a fault.
func (s *simulation) runCall(w *simWriter) {
	c := w.call
	w.call = claimer.Call{}
	ctx := context.Background()
	fault := s.draw(8)
	s.store.SetUnavailable(fault == 0)
	defer s.store.SetUnavailable(false)
	prefix := fmt.Sprintf("plantaincleat/claims/%d/", simulatedBucket)
	switch c.Kind {
	case claimer.CallLoad:
		page, err := s.store.Read(ctx, prefix)
		s.applyStep(w, w.bucket.HandleLoad(s.now, page, err))
	case claimer.CallTail:
		t, err := s.readTail(prefix, c.From)
		s.applyStep(w, w.bucket.HandleTail(s.now, t, err))
	case claimer.CallCommit:
		switch fault {
		case 1, 2:
			s.store.LoseAnswers(1)
		case 3:
			s.store.DelayWrites(1)
		}
		if s.off.fenceOff {
			c.Txn.Conditions = nil
		}
		if s.off.truncationOff {
			c.Txn.Conditions = c.Txn.Conditions[1:]
		}
		r, err := s.store.Commit(ctx, c.Txn)
		s.applyStep(w, w.bucket.HandleCommit(s.now, r, err))
	}
}

// readTail reads the entries from a sequence on, and then the base.
func (s *simulation) readTail(prefix string, from uint64) (claimer.Tail, error) {
	var t claimer.Tail
	for !t.Complete {
		item, found, err := s.store.Get(context.Background(), fmt.Sprintf("%s%020d", prefix, from))
		if err != nil {
			return t, err
		}
		if found {
			t.Entries = append(t.Entries, item)
		}
		t.Complete = !found
		from++
	}
	base, _, err := s.store.Get(context.Background(), prefix+"base")
	t.BaseRevision = base.ModRevision
	return t, err
}

// deliverAnswer delivers the oldest answer to a take to an attempt.
func (s *simulation) deliverAnswer() {
	_, t := s.pick(func(t *simAttempt) bool { return len(t.answers) > 0 })
	if t == nil || len(t.answers) == 0 {
		return
	}
	r := t.answers[0]
	t.answers = t.answers[1:]
	if s.off.releaseOff && r.GetVerdict() == peer.Verdict_VERDICT_GRANTED && t.followUp != 0 && !t.executed {
		t.inflight = true
	}
	s.applyEvent(t, func(a *Attempt) Action { return a.HandleClaim(s.now, r) })
}

// stepTarget lets the target execute or refuse one request, or delivers its answer.
func (s *simulation) stepTarget() {
	_, t := s.pick(func(t *simAttempt) bool { return t.attempt.phase == phaseSent })
	switch {
	case t == nil:
	case t.inflight && s.draw(3) == 0:
		t.inflight = false
		t.refused = true
	case t.inflight:
		t.inflight = false
		t.executed = true
		s.checkInvariants(t)
	case t.refused || t.executed:
		out := &target.Outcome{
			Key:    t.key,
			Status: target.Status_STATUS_DONE,
			Detail: t.id,
		}
		if t.refused {
			out.Status = target.Status_STATUS_SHED
		}
		s.applyEvent(t, func(a *Attempt) Action { return a.HandleOutcome(t.key, out, nil) })
	}
}

// applyEvent passes an event to an attempt and carries out the resulting action.
func (s *simulation) applyEvent(t *simAttempt, event func(a *Attempt) Action) {
	if t == nil {
		return
	}
	act := event(t.attempt)
	if act.FollowUp != 0 {
		t.followUp = act.FollowUp
	}
	if act.Dispatch {
		t.inflight = true
	}
	if act.Reply != nil {
		t.result = act.Reply
		s.checkInvariants(t)
	}
}

// checkInvariants records violations of the protocol for the key of an attempt
// that was executed or answered.
func (s *simulation) checkInvariants(changed *simAttempt) {
	executions := 0
	var outcome string
	for _, t := range s.attempts {
		if t.key == changed.key && t.executed {
			executions++
			outcome = t.id
		}
	}
	if executions > 1 {
		s.violations = append(s.violations, "a request key was executed more than once")
	}
	for _, t := range s.attempts {
		if t.key != changed.key || t.result == nil {
			continue
		}
		switch t.result.Kind {
		case KindNotExecuted:
			for _, e := range s.attempts {
				if e.key == t.key && e.executed && e.number <= t.number {
					s.violations = append(s.violations,
						fmt.Sprintf("attempt %s number %d was answered not executed, but attempt %s number %d was executed", t.id, t.number, e.id, e.number))
				}
			}
		case KindDone:
			if t.result.Outcome.GetDetail() != outcome {
				s.violations = append(s.violations, "outcome answered to attempt "+t.id+" is not that of the execution")
			}
		}
	}
}

const (
	simulationSteps      = 600
	simulatedBucket      = 3
	maxSimulatedAttempts = 10
)
