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

// sharedRand is a seeded random generator that is safe for concurrent use.
type sharedRand struct {
	mu sync.Mutex
	r  *rand.Rand
}

func newSharedRand(seed, stream uint64) *sharedRand {
	return &sharedRand{r: rand.New(rand.NewPCG(seed, stream))}
}

func (s *sharedRand) intN(n int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.r.IntN(n)
}

// sleep sleeps for a random time below the limit.
func (s *sharedRand) sleep(limit time.Duration) { time.Sleep(time.Duration(s.intN(int(limit)))) }

// faultyStore wraps the in-memory store. At random it fails calls, loses answers,
// delays writes and pauses before a write.
type faultyStore struct {
	*storer.Memory
	rnd           *sharedRand
	fenceOff      bool
	delayedWrites *sync.WaitGroup
}

func (f *faultyStore) Read(ctx context.Context, prefix string) (storer.Page, error) {
	f.rnd.sleep(5 * time.Millisecond)
	if f.rnd.intN(10) == 0 {
		return storer.Page{}, storer.ErrUnavailable
	}
	return f.Memory.Read(ctx, prefix)
}

func (f *faultyStore) Get(ctx context.Context, key string) (storer.Item, bool, error) {
	f.rnd.sleep(5 * time.Millisecond)
	if f.rnd.intN(20) == 0 {
		return storer.Item{}, false, storer.ErrUnavailable
	}
	return f.Memory.Get(ctx, key)
}

func (f *faultyStore) Commit(ctx context.Context, txn storer.Txn) (storer.Result, error) {
	f.rnd.sleep(5 * time.Millisecond)
	if f.fenceOff {
		txn.Conditions = nil
	}
	switch f.rnd.intN(20) {
	case 0, 1:
		return storer.Result{}, storer.ErrUnavailable
	case 2, 3:
		_, _ = f.Memory.Commit(ctx, txn)
		return storer.Result{}, storer.ErrUnknownOutcome
	case 4, 5:
		f.delayedWrites.Go(func() {
			f.rnd.sleep(2 * time.Second)
			_, _ = f.Memory.Commit(context.Background(), txn)
		})
		return storer.Result{}, storer.ErrUnknownOutcome
	case 6:
		// Simulates a writer that is paused before its write.
		f.rnd.sleep(time.Second)
	}
	return f.Memory.Commit(ctx, txn)
}

// faultyClaims sends each claim to a random bucket writer. Requests and answers
// may be lost or delayed.
type faultyClaims struct {
	writers  []*claimer.BucketWriter
	rnd      *sharedRand
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
	fault := f.rnd.intN(10)
	if fault == 0 {
		return lost
	}
	if fault == 1 {
		f.rnd.sleep(time.Second)
	}
	reply, err := f.writers[f.rnd.intN(len(f.writers))].Claim(ctx, in)
	if fault == 2 || err != nil {
		return lost
	}
	return reply.GetResults()[0]
}

// recordingTarget records the executions of each key, and fails at random.
type recordingTarget struct {
	rnd        *sharedRand
	mu         sync.Mutex
	executions map[string][]string
}

func (r *recordingTarget) Mutate(_ context.Context, m *target.Mutation) (*target.Outcome, error) {
	r.rnd.sleep(20 * time.Millisecond)
	fault := r.rnd.intN(10)
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
		// The execution starts after the caller's deadline.
		r.rnd.sleep(2 * time.Second)
	}
	r.mu.Lock()
	r.executions[m.GetKey()] = append(r.executions[m.GetKey()], m.GetTrace())
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

// keyState is the state of one key in the sequential specification: the ID and
// number of the executed attempt, and one above the highest number that was
// answered "not executed".
type keyState struct {
	executedBy  string
	number      uint32
	closedBelow uint32
}

// keySpec returns the sequential specification of a key: it is executed at most
// once, by an attempt with a higher number than all attempts that were answered
// "not executed" before.
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
			executed := s
			executed.executedBy, executed.number = in.id, in.number
			free := s.executedBy == "" && in.number >= s.closedBelow
			switch out.Kind {
			case KindDone:
				if s.executedBy != "" && out.Outcome.GetDetail() == s.executedBy {
					return []any{s}
				}
				if free && out.Outcome.GetDetail() == in.id {
					return []any{executed}
				}
				return nil
			case KindNotExecuted:
				if s.executedBy != "" && s.number <= in.number {
					return nil
				}
				s.closedBelow = max(s.closedBelow, in.number+1)
				return []any{s}
			case KindUnknown:
				if free {
					return []any{s, executed}
				}
			}
			return []any{s}
		},
	}
	return model.ToModel()
}

// history holds the operations of concurrent callers on two dispatchers with two
// bucket writers, and the executions at the target.
type history struct {
	mu          sync.Mutex
	ops         []porcupine.Operation
	executions  map[string][]string
	kinds       map[Kind]int
	logicalTime atomic.Int64
}

const (
	historyCallers = 6
	historySends   = 30
	historyKeys    = 8
)

// runHistory runs the callers with the faults that the seed determines and returns
// their history.
func runHistory(seed uint64, off mechanisms) *history {
	h := &history{kinds: make(map[Kind]int)}
	clock := clockwork.NewRealClock()
	memory := &storer.Memory{}
	var delayedWrites sync.WaitGroup
	var writers []*claimer.BucketWriter
	for i := range uint64(2) {
		store := &faultyStore{
			Memory:        memory,
			rnd:           newSharedRand(seed, i),
			fenceOff:      off.fenceOff,
			delayedWrites: &delayedWrites,
		}
		writers = append(writers, claimer.New(store, clock, claimer.Config{Interval: 10 * time.Millisecond}))
	}
	mutator := &recordingTarget{
		rnd:        newSharedRand(seed, 2),
		executions: make(map[string][]string),
	}
	claims := &faultyClaims{
		writers:  writers,
		rnd:      newSharedRand(seed, 3),
		closeOff: off.closeOff,
	}
	dispatchers := []*Dispatcher{New(claims, mutator, clock), New(claims, mutator, clock)}
	var callers sync.WaitGroup
	sends := make([]atomic.Uint32, historyKeys)
	start := clock.Now()
	for i := range historyCallers {
		callers.Go(func() { h.runCaller(newSharedRand(seed, uint64(10+i)), dispatchers, sends, start, i) })
	}
	callers.Wait()
	for _, d := range dispatchers {
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		d.Drain(ctx)
		cancel()
	}
	delayedWrites.Wait()
	for _, w := range writers {
		w.Close()
	}
	h.executions = mutator.executions
	return h
}

// runCaller sends requests with random keys, so that many requests reuse a key. It
// records each operation.
func (h *history) runCaller(rnd *sharedRand, dispatchers []*Dispatcher, sends []atomic.Uint32, start time.Time, caller int) {
	for range historySends {
		at := rnd.intN(historyKeys)
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
			Deadline: time.Now().Add(time.Duration(100+rnd.intN(500)) * time.Millisecond),
			Mutation: &target.Mutation{Trace: in.id},
		}
		op := porcupine.Operation{
			ClientId: caller,
			Input:    in,
			Call:     h.logicalTime.Add(1),
		}
		result := dispatchers[rnd.intN(len(dispatchers))].Do(context.Background(), req)
		op.Output = result
		op.Return = h.logicalTime.Add(1)
		if result.Kind == KindUnknown {
			// The request may be executed at any later time.
			op.Return = math.MaxInt64
		}
		h.mu.Lock()
		h.ops = append(h.ops, op)
		h.kinds[result.Kind]++
		h.mu.Unlock()
		rnd.sleep(300 * time.Millisecond)
	}
}

// violation describes the first violation found in a history, or returns "".
func (h *history) violation() string {
	for key, executions := range h.executions {
		if len(executions) > 1 {
			return fmt.Sprintf("key %s was executed more than once, by attempts %v", key, executions)
		}
	}
	for _, op := range h.ops {
		in, result := op.Input.(sendInput), op.Output.(Result)
		if result.Kind == KindNotExecuted && len(h.executions[in.key]) > 0 && h.executions[in.key][0] == in.id {
			return fmt.Sprintf("attempt %s was answered not executed but was executed", in.id)
		}
		if result.Kind == KindDone && (len(h.executions[in.key]) == 0 || h.executions[in.key][0] != result.Outcome.GetDetail()) {
			return fmt.Sprintf("attempt %s was answered with an outcome that is not that of the execution", in.id)
		}
	}
	if porcupine.CheckOperationsTimeout(keySpec(), h.ops, time.Minute) != porcupine.Ok {
		return "history is not linearizable"
	}
	return ""
}

// TestHistoryIsLinearizable checks histories of concurrent callers under faults
// against the sequential specification keySpec.
func TestHistoryIsLinearizable(t *testing.T) {
	total := make(map[Kind]int)
	for seed := range uint64(40) {
		synctest.Test(t, func(t *testing.T) {
			h := runHistory(seed, mechanisms{})
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
			t.Errorf("no attempt ended as %v; attempts by kind: %v", k, total)
		}
	}
	t.Logf("attempts by kind: %v", total)
}

// TestHistoryDetectsDisabledMechanism checks that the histories show a violation if
// a mechanism of the protocol is disabled.
func TestHistoryDetectsDisabledMechanism(t *testing.T) {
	tests := []struct {
		name string
		off  mechanisms
	}{
		{
			name: "conditions of the append",
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
					if v := runHistory(seed, tc.off).violation(); v != "" {
						found = fmt.Sprintf("seed %d: %s", seed, v)
					}
				})
			}
			if found == "" {
				t.Fatal("no violation found in 100 seeds with the mechanism disabled")
			}
			t.Log(found)
		})
	}
}
