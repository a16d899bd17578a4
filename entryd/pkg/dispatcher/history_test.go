package dispatcher

import (
	"context"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/jonboulle/clockwork"

	"plantaincleat/entryd/pkg/claimer"
	"plantaincleat/tier/gen/peer"
	"plantaincleat/tier/gen/target"
	"plantaincleat/tier/pkg/storer"
)

// dice draws from one seed for many goroutines.
type dice struct {
	mu sync.Mutex
	r  *rand.Rand
}

func newDice(seed, stream uint64) *dice {
	return &dice{r: rand.New(rand.NewPCG(seed, stream))}
}

func (d *dice) n(n int) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.r.IntN(n)
}

func (d *dice) sleep(limit time.Duration) { time.Sleep(time.Duration(d.n(int(limit)))) }

// faultyStore loses answers, delays writes and has outages and pauses.
type faultyStore struct {
	*storer.Memory
	dice     *dice
	fenceOff bool
	landing  *sync.WaitGroup
}

func (f *faultyStore) Read(ctx context.Context, prefix string) (storer.Page, error) {
	f.dice.sleep(5 * time.Millisecond)
	if f.dice.n(10) == 0 {
		return storer.Page{}, storer.ErrUnavailable
	}
	return f.Memory.Read(ctx, prefix)
}

func (f *faultyStore) Get(ctx context.Context, key string) (storer.Item, bool, error) {
	f.dice.sleep(5 * time.Millisecond)
	if f.dice.n(20) == 0 {
		return storer.Item{}, false, storer.ErrUnavailable
	}
	return f.Memory.Get(ctx, key)
}

func (f *faultyStore) Commit(ctx context.Context, txn storer.Txn) (storer.Result, error) {
	f.dice.sleep(5 * time.Millisecond)
	if f.fenceOff {
		txn.Conditions = nil
	}
	switch f.dice.n(20) {
	case 0, 1:
		return storer.Result{}, storer.ErrUnavailable
	case 2, 3:
		_, _ = f.Memory.Commit(ctx, txn)
		return storer.Result{}, storer.ErrUnknownOutcome
	case 4, 5:
		f.landing.Go(func() {
			f.dice.sleep(2 * time.Second)
			_, _ = f.Memory.Commit(context.Background(), txn)
		})
		return storer.Result{}, storer.ErrUnknownOutcome
	case 6:
		// The keeper is paused before its write.
		f.dice.sleep(time.Second)
	}
	return f.Memory.Commit(ctx, txn)
}

// faultyClaims asks either keeper; requests and answers may be lost or late.
type faultyClaims struct {
	keepers  []*claimer.BucketWriter
	dice     *dice
	closeOff bool
}

func (f *faultyClaims) Claim(ctx context.Context, c *peer.Claim) *peer.ClaimResult {
	if f.closeOff && c.GetKind() == peer.ClaimKind_CLAIM_KIND_TAKE {
		c.Attempt = math.MaxUint32
	}
	key, _ := claimer.ParseKey(c.GetKey())
	in := &peer.ClaimRequest{
		Bucket: key.Bucket(),
		Claims: []*peer.Claim{c},
	}
	lost := &peer.ClaimResult{Verdict: peer.Verdict_VERDICT_UNKNOWN}
	fault := f.dice.n(10)
	if fault == 0 {
		return lost
	}
	if fault == 1 {
		f.dice.sleep(time.Second)
	}
	reply, err := f.keepers[f.dice.n(len(f.keepers))].Claim(ctx, in)
	if fault == 2 || err != nil {
		return lost
	}
	return reply.GetResults()[0]
}

// recordingTarget counts its runs per key.
type recordingTarget struct {
	dice *dice
	mu   sync.Mutex
	runs map[string][]string
}

func (r *recordingTarget) Mutate(_ context.Context, m *target.Mutation) (*target.Outcome, error) {
	r.dice.sleep(20 * time.Millisecond)
	fault := r.dice.n(10)
	out := &target.Outcome{
		Key:    m.GetKey(),
		Status: target.Status_STATUS_DONE,
		Detail: m.GetTrace(),
	}
	switch fault {
	case 0, 1:
		out.Status = target.Status_STATUS_SHED
		return out, nil
	case 2:
		return nil, ErrNotSent
	case 3:
		return nil, errors.New("connection lost")
	case 4:
		// Runs after the caller's deadline.
		r.dice.sleep(2 * time.Second)
	}
	r.mu.Lock()
	r.runs[m.GetKey()] = append(r.runs[m.GetKey()], m.GetTrace())
	r.mu.Unlock()
	if fault == 5 {
		return nil, errors.New("connection lost")
	}
	return out, nil
}

// sendInput is the input of one operation in a history.
type sendInput struct {
	key    string
	number uint32
	id     string
}

// keyState is the specified state of one key.
type keyState struct {
	by     string
	number uint32
	closed uint32
}

// keySpec is the sequential specification: a key is run at most once, by an
// attempt above all that were answered "not run".
func keySpec() porcupine.Model {
	model := porcupine.NondeterministicModel{
		Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
			byKey := make(map[string][]porcupine.Operation)
			for _, o := range history {
				key := o.Input.(sendInput).key
				byKey[key] = append(byKey[key], o)
			}
			var parts [][]porcupine.Operation
			for _, p := range byKey {
				parts = append(parts, p)
			}
			return parts
		},
		Init: func() []any { return []any{keyState{}} },
		Step: func(state, input, output any) []any {
			s, in, out := state.(keyState), input.(sendInput), output.(Result)
			ran := s
			ran.by, ran.number = in.id, in.number
			free := s.by == "" && in.number >= s.closed
			switch out.Kind {
			case KindDone:
				if s.by != "" && out.Outcome.GetDetail() == s.by {
					return []any{s}
				}
				if free && out.Outcome.GetDetail() == in.id {
					return []any{ran}
				}
				return nil
			case KindNotExecuted:
				if s.by != "" && s.number <= in.number {
					return nil
				}
				s.closed = max(s.closed, in.number+1)
				return []any{s}
			case KindUnknown:
				if free {
					return []any{s, ran}
				}
			}
			return []any{s}
		},
	}
	return model.ToModel()
}

// history is a run of many callers over two keepers and two dispatchers.
type history struct {
	mu    sync.Mutex
	ops   []porcupine.Operation
	runs  map[string][]string
	kinds map[Kind]int
	stamp atomic.Int64
}

const (
	historyCallers = 6
	historySends   = 30
	historyKeys    = 8
)

func record(seed uint64, off mechanisms) *history {
	h := &history{kinds: make(map[Kind]int)}
	clock := clockwork.NewRealClock()
	memory := &storer.Memory{}
	var landing sync.WaitGroup
	var keepers []*claimer.BucketWriter
	for i := range uint64(2) {
		store := &faultyStore{
			Memory:   memory,
			dice:     newDice(seed, i),
			fenceOff: off.fenceOff,
			landing:  &landing,
		}
		keepers = append(keepers, claimer.New(store, clock, claimer.Config{Interval: 10 * time.Millisecond}))
	}
	site := &recordingTarget{
		dice: newDice(seed, 2),
		runs: make(map[string][]string),
	}
	claims := &faultyClaims{
		keepers:  keepers,
		dice:     newDice(seed, 3),
		closeOff: off.closeOff,
	}
	dispatchers := []*Dispatcher{New(claims, site, clock), New(claims, site, clock)}
	var callers sync.WaitGroup
	sends := make([]atomic.Uint32, historyKeys)
	start := clock.Now()
	for i := range historyCallers {
		callers.Go(func() { h.call(newDice(seed, uint64(10+i)), dispatchers, sends, start, i) })
	}
	callers.Wait()
	for _, d := range dispatchers {
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		d.Drain(ctx)
		cancel()
	}
	landing.Wait()
	for _, k := range keepers {
		k.Close()
	}
	h.runs = site.runs
	return h
}

// call is one caller that sends keys, new ones and again.
func (h *history) call(d *dice, dispatchers []*Dispatcher, sends []atomic.Uint32, start time.Time, caller int) {
	for range historySends {
		at := d.n(historyKeys)
		in := sendInput{
			key: newKey(start, uint64(at)),
		}
		count := sends[at].Add(1)
		if at%2 == 0 {
			in.number = count
		}
		in.id = fmt.Sprint(in.key, "#", count)
		req := Request{
			Key:      in.key,
			Attempt:  in.number,
			Deadline: time.Now().Add(time.Duration(100+d.n(500)) * time.Millisecond),
			Mutation: &target.Mutation{Trace: in.id},
		}
		op := porcupine.Operation{
			ClientId: caller,
			Input:    in,
			Call:     h.stamp.Add(1),
		}
		result := dispatchers[d.n(len(dispatchers))].Do(context.Background(), req)
		op.Output = result
		op.Return = h.stamp.Add(1)
		if result.Kind == KindUnknown {
			// It may take effect at any later time.
			op.Return = math.MaxInt64
		}
		h.mu.Lock()
		h.ops = append(h.ops, op)
		h.kinds[result.Kind]++
		h.mu.Unlock()
		d.sleep(300 * time.Millisecond)
	}
}

// violation returns what is wrong with a history, or "".
func (h *history) violation() string {
	for key, runs := range h.runs {
		if len(runs) > 1 {
			return fmt.Sprintf("key %s was run by %v", key, runs)
		}
	}
	for _, op := range h.ops {
		in, result := op.Input.(sendInput), op.Output.(Result)
		if result.Kind == KindNotExecuted && len(h.runs[in.key]) > 0 && h.runs[in.key][0] == in.id {
			return fmt.Sprintf("%s was answered not run and was run", in.id)
		}
		if result.Kind == KindDone && (len(h.runs[in.key]) == 0 || h.runs[in.key][0] != result.Outcome.GetDetail()) {
			return fmt.Sprintf("%s was answered with an outcome that is not the run's", in.id)
		}
	}
	if porcupine.CheckOperationsTimeout(keySpec(), h.ops, time.Minute) != porcupine.Ok {
		return "history is not linearizable"
	}
	return ""
}

func TestHistoryHolds(t *testing.T) {
	total := make(map[Kind]int)
	for seed := range uint64(40) {
		synctest.Test(t, func(t *testing.T) {
			h := record(seed, mechanisms{})
			if v := h.violation(); v != "" {
				t.Errorf("seed %d: %s", seed, v)
			}
			for k, n := range h.kinds {
				total[k] += n
			}
		})
	}
	for _, k := range []Kind{KindDone, KindNotExecuted, KindUnknown} {
		if total[k] == 0 {
			t.Errorf("no attempt ended as %v: %v", k, total)
		}
	}
	t.Logf("answers by kind: %v", total)
}

func TestHistoryShowsMissingMechanisms(t *testing.T) {
	tests := []struct {
		name string
		off  mechanisms
	}{
		{
			name: "fence",
			off:  mechanisms{fenceOff: true},
		},
		{
			name: "closing of earlier attempts",
			off:  mechanisms{closeOff: true},
		},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			found := ""
			for seed := uint64(0); seed < 100 && found == ""; seed++ {
				synctest.Test(t, func(*testing.T) {
					if v := record(seed, tc.off).violation(); v != "" {
						found = fmt.Sprintf("seed %d: %s", seed, v)
					}
				})
			}
			if found == "" {
				t.Fatal("no violation was found without the mechanism")
			}
			t.Log(found)
		})
	}
}
