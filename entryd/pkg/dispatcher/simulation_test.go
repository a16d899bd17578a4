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

// mechanisms switches off what at-most-once rests on.
type mechanisms struct {
	fenceOff      bool // appends overwrite
	releaseOff    bool // a dispatcher that gave up dispatches on a late grant
	closeOff      bool // a release closes no earlier attempt
	numberingOff  bool // all attempts claim to be the first
	truncationOff bool // the base is not guarded
}

// try is one attempt under way with what the network may still deliver.
type try struct {
	attempt  *Attempt
	key      string
	number   uint32
	id       string
	follow   peer.ClaimKind
	answers  []*peer.ClaimResult
	inflight bool
	refused  bool
	executed bool
	result   *Result
}

// sent is a claim that a keeper has not answered.
type sent struct {
	try  int
	kind peer.ClaimKind
}

// node is a keeper with the call that it has under way.
type node struct {
	bucket *claimer.Bucket
	call   claimer.Call
	waits  map[uint64]sent
	nextID uint64
}

// simulation runs two keepers of one bucket, attempts and a target by choices.
type simulation struct {
	off    mechanisms
	draw   func(n int) int
	now    time.Time
	keys   []string
	paused int
	store  *storer.Memory
	nodes  [2]*node
	tries  []*try
	sends  map[string]uint32
	errors []string
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
	for i := range s.nodes {
		s.restart(i)
	}
	return s
}

func (s *simulation) restart(i int) {
	s.nodes[i] = &node{
		bucket: claimer.NewBucket(simulatedBucket, claimer.Config{
			Interval:  time.Millisecond,
			Pause:     time.Millisecond,
			Patience:  50 * time.Millisecond,
			Retention: func() time.Duration { return 200 * time.Millisecond },
			Skew:      10 * time.Millisecond,
			WriterID:  fmt.Sprint(i, len(s.tries)),
		}),
		waits: make(map[uint64]sent),
	}
}

// step takes one choice.
func (s *simulation) step() {
	s.now = s.now.Add(time.Duration(s.draw(3)) * time.Millisecond)
	i := s.draw(len(s.nodes))
	if i == s.paused {
		i = 1 - i
	}
	switch s.draw(12) {
	case 0:
		s.invoke()
	case 1, 2:
		s.offer(i)
	case 3, 4, 5:
		s.accept(s.nodes[i], s.nodes[i].bucket.Tick(s.now))
	case 6, 7:
		s.perform(s.nodes[i])
	case 8:
		s.receive()
	case 9:
		s.target()
	case 10:
		s.disturb(i)
	case 11:
		if s.draw(4) == 0 {
			_, t := s.pick(func(t *try) bool { return t.result == nil })
			s.apply(t, func(a *Attempt) Action { return a.TimedOut() })
		}
	}
}

// disturb lets something rare happen.
func (s *simulation) disturb(i int) {
	switch s.draw(8) {
	case 0:
		s.restart(i)
	case 1:
		s.now = s.now.Add(120 * time.Millisecond)
	case 2:
		s.paused = s.draw(3) - 1
	default:
		s.store.ApplyDelayed()
	}
}

func (s *simulation) invoke() {
	if len(s.tries) >= simulatedTries {
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
	s.tries = append(s.tries, &try{
		attempt: NewAttempt(claimed, s.now.Add(100*time.Millisecond)),
		key:     key,
		number:  number,
		id:      fmt.Sprint("d", len(s.tries)),
	})
}

// pick draws an attempt that wants something, or rarely any attempt.
func (s *simulation) pick(wants func(t *try) bool) (int, *try) {
	var at []int
	any := s.draw(8) == 0
	for i, t := range s.tries {
		if any || wants(t) {
			at = append(at, i)
		}
	}
	if len(at) == 0 {
		return 0, nil
	}
	i := at[s.draw(len(at))]
	return i, s.tries[i]
}

// offer sends a claim of an attempt to a keeper, first or again.
func (s *simulation) offer(i int) {
	at, t := s.pick(func(t *try) bool { return t.attempt.stage != stageSent && t.attempt.stage != stageEnded })
	if t == nil {
		return
	}
	kind := peer.ClaimKind_CLAIM_KIND_TAKE
	if t.follow != 0 && s.draw(3) > 0 {
		kind = t.follow
	}
	n := s.nodes[i]
	n.nextID++
	n.waits[n.nextID] = sent{
		try:  at,
		kind: kind,
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
	s.accept(n, n.bucket.Add(s.now, n.nextID, c))
}

// accept keeps the call of a keeper and its answers, which may be lost.
func (s *simulation) accept(n *node, step claimer.Step) {
	if step.Call.Kind != claimer.CallNone {
		n.call = step.Call
	}
	for _, a := range step.Answers {
		w := n.waits[a.ID]
		t := s.tries[w.try]
		if w.kind == peer.ClaimKind_CLAIM_KIND_TAKE {
			t.answers = append(t.answers, &peer.ClaimResult{
				Key:     t.key,
				Verdict: a.Verdict,
				Outcome: a.Outcome,
			})
			continue
		}
		if w.kind == peer.ClaimKind_CLAIM_KIND_RELEASE && a.Verdict != peer.Verdict_VERDICT_UNAVAILABLE &&
			a.Verdict != peer.Verdict_VERDICT_UNKNOWN {
			s.apply(t, func(at *Attempt) Action {
				return at.Released(&peer.ClaimResult{
					Verdict: a.Verdict,
					Outcome: a.Outcome,
				})
			})
		}
	}
}

// perform carries out the call of a keeper, with a fault or without.
func (s *simulation) perform(n *node) {
	c := n.call
	n.call = claimer.Call{}
	ctx := context.Background()
	fault := s.draw(8)
	s.store.SetUnavailable(fault == 0)
	defer s.store.SetUnavailable(false)
	prefix := fmt.Sprintf("plantaincleat/claims/%d/", simulatedBucket)
	switch c.Kind {
	case claimer.CallLoad:
		page, err := s.store.Read(ctx, prefix)
		s.accept(n, n.bucket.Loaded(s.now, page, err))
	case claimer.CallTail:
		t, err := s.tail(prefix, c.From)
		s.accept(n, n.bucket.Tailed(s.now, t, err))
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
		s.accept(n, n.bucket.Committed(s.now, r, err))
	}
}

func (s *simulation) tail(prefix string, from uint64) (claimer.Tail, error) {
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
	t.Modified = base.ModRevision
	return t, err
}

// receive delivers one answer to an attempt.
func (s *simulation) receive() {
	_, t := s.pick(func(t *try) bool { return len(t.answers) > 0 })
	if t == nil || len(t.answers) == 0 {
		return
	}
	r := t.answers[0]
	t.answers = t.answers[1:]
	if s.off.releaseOff && r.GetVerdict() == peer.Verdict_VERDICT_GRANTED && t.follow != 0 && !t.executed {
		t.inflight = true
	}
	s.apply(t, func(a *Attempt) Action { return a.Claimed(s.now, r) })
}

// target executes or refuses one request, or its answer arrives.
func (s *simulation) target() {
	_, t := s.pick(func(t *try) bool { return t.attempt.stage == stageSent })
	switch {
	case t == nil:
	case t.inflight && s.draw(3) == 0:
		t.inflight = false
		t.refused = true
	case t.inflight:
		t.inflight = false
		t.executed = true
		s.check(t)
	case t.refused || t.executed:
		out := &target.Outcome{
			Key:    t.key,
			Status: target.Status_STATUS_DONE,
			Detail: t.id,
		}
		if t.refused {
			out.Status = target.Status_STATUS_SHED
		}
		s.apply(t, func(a *Attempt) Action { return a.Answered(t.key, out, nil) })
	}
}

// apply carries out the action that follows from an event.
func (s *simulation) apply(t *try, event func(a *Attempt) Action) {
	if t == nil {
		return
	}
	act := event(t.attempt)
	if act.Follow != 0 {
		t.follow = act.Follow
	}
	if act.Dispatch {
		t.inflight = true
	}
	if act.Reply != nil {
		t.result = act.Reply
		s.check(t)
	}
}

// check notes what must not hold after an execution or answer of an attempt.
func (s *simulation) check(changed *try) {
	runs := 0
	var outcome string
	for _, t := range s.tries {
		if t.key == changed.key && t.executed {
			runs++
			outcome = t.id
		}
	}
	if runs > 1 {
		s.errors = append(s.errors, "key was run twice")
	}
	for _, t := range s.tries {
		if t.key != changed.key || t.result == nil {
			continue
		}
		switch t.result.Kind {
		case KindNotExecuted:
			for _, e := range s.tries {
				if e.key == t.key && e.executed && e.number <= t.number {
					s.errors = append(s.errors,
						fmt.Sprintf("attempt %s number %d was answered not run, %s number %d was run", t.id, t.number, e.id, e.number))
				}
			}
		case KindDone:
			if t.result.Outcome.GetDetail() != outcome {
				s.errors = append(s.errors, "outcome of "+t.id+" is not that of the run")
			}
		}
	}
}

const (
	simulationSteps = 600
	simulatedBucket = 3
	simulatedTries  = 10
)
