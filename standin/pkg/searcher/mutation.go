package searcher

import (
	"context"
	"strings"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"plantaincleat/tier/gen/target"
)

// Execution is one run of a mutation.
type Execution struct {
	// Key is the caller's request key.
	Key    string `json:"key"`
	Target string `json:"target"`
	// Time is in Unix nanoseconds.
	Time        int64  `json:"time"`
	Incarnation uint64 `json:"incarnation"`
	// Record is the key of the record.
	Record string `json:"record"`
}

// Mutate runs one mutation. It does not look for earlier runs of the same
// key: a doubled request runs twice and is logged twice.
func (s *Searcher) Mutate(ctx context.Context, m *target.Mutation) (*target.Outcome, error) {
	s.counts.received(s)
	e, j := s.mutate(ctx, m)
	if e.status == target.Status_STATUS_DONE && s.sampler.chance(s.faults.Load().LoseOutcome) {
		return nil, status.Error(codes.Unavailable, "the outcome was lost after the execution")
	}
	select {
	case <-s.thaw():
	case <-ctx.Done():
		return nil, status.FromContextError(ctx.Err()).Err()
	}
	s.counts.ended(e.status)
	return &target.Outcome{
		Key:         m.GetKey(),
		Target:      s.id,
		Incarnation: s.incarnation,
		Status:      e.status,
		Detail:      j,
		Load:        s.load(e.service),
	}, nil
}

// mutate runs a mutation to its end and returns the detail of its outcome.
func (s *Searcher) mutate(ctx context.Context, m *target.Mutation) (end, string) {
	f := s.faults.Load()
	switch {
	case !f.Drain && s.sampler.chance(f.Shed):
		return end{status: target.Status_STATUS_SHED}, ""
	case !s.holdings.Load().takes(m.GetCollection(), m.GetVersion(), m.GetShard()):
		return end{status: target.Status_STATUS_ABSENT}, ""
	}
	ends := make(chan end, 1)
	j := &job{
		expires:  s.expiry(m.GetRemaining()),
		duration: s.draw,
	}
	j.done = func(e end) {
		if e.status == target.Status_STATUS_DONE {
			e.status = s.execute(m)
		}
		ends <- e
	}
	s.executor.submit(j)
	stop := context.AfterFunc(ctx, func() { s.executor.cancel(j) })
	defer stop()
	e := <-ends
	if e.status != target.Status_STATUS_DONE {
		return e, ""
	}
	return e, "accepted " + m.GetRecord().GetKey()
}

// execute logs one run of a mutation.
func (s *Searcher) execute(m *target.Mutation) target.Status {
	e := Execution{
		Key:         m.GetKey(),
		Target:      s.id,
		Time:        s.clock.Now().UnixNano(),
		Incarnation: s.incarnation,
		Record:      m.GetRecord().GetKey(),
	}
	s.counts.mutations.Add(1)
	s.mu.Lock()
	s.executions = append(s.executions, e)
	s.mu.Unlock()
	if s.journal != nil {
		s.journal(e)
	}
	if s.crashes(strings.Fields(m.GetRecord().GetText())) || s.sampler.chance(s.faults.Load().Fail) {
		return target.Status_STATUS_FAILED
	}
	return target.Status_STATUS_DONE
}

// Executions returns the log of mutations in the order of their runs.
func (s *Searcher) Executions() []Execution {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Execution{}, s.executions...)
}
