package searcher

import (
	"context"
	"strings"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"plantaincleat/tier/gen/target"
)

// Execution is the log entry of one execution of a mutation.
type Execution struct {
	// Key is the caller's request key.
	Key    string `json:"key"`
	Target string `json:"target"`
	// Time is the time of the execution in Unix nanoseconds.
	Time        int64  `json:"time"`
	Incarnation uint64 `json:"incarnation"`
	// Record is the key of the record that the mutation writes.
	Record string `json:"record"`
}

// Mutate executes one mutation. It does not deduplicate: a request that is received
// twice is executed twice and logged twice.
func (s *Searcher) Mutate(ctx context.Context, m *target.Mutation) (*target.Outcome, error) {
	s.counts.recordReceived(s)
	r, detail := s.mutate(ctx, m)
	if r.status == statusCrashed {
		// The target ends and closes the connection without an answer.
		<-ctx.Done()
		return nil, status.FromContextError(ctx.Err()).Err()
	}
	if r.status == target.Status_STATUS_DONE && s.sampler.chance(s.faults.Load().LoseOutcome) {
		return nil, status.Error(codes.Unavailable, "the mutation was executed and its outcome was dropped by the fault lose")
	}
	select {
	case <-s.untilUnfrozen():
	case <-ctx.Done():
		return nil, status.FromContextError(ctx.Err()).Err()
	}
	s.counts.recordStatus(r.status)
	return &target.Outcome{
		Key:         m.GetKey(),
		Target:      s.id,
		Incarnation: s.incarnation,
		Status:      r.status,
		Detail:      detail,
		Load:        s.load(r.service),
	}, nil
}

// mutate waits until a mutation has been executed or refused. It returns the result and
// the detail of the outcome, which is empty unless the mutation succeeded.
func (s *Searcher) mutate(ctx context.Context, m *target.Mutation) (result, string) {
	f := s.faults.Load()
	switch {
	case !f.Drain && s.sampler.chance(f.Shed):
		return result{status: target.Status_STATUS_SHED}, ""
	case !s.holdings.Load().acceptsMutations(m.GetCollection(), m.GetVersion(), m.GetShard()):
		return result{status: target.Status_STATUS_ABSENT}, ""
	}
	results := make(chan result, 1)
	j := &job{
		expires:  s.expiryAfter(m.GetRemaining()),
		duration: s.drawExecutionTime,
	}
	j.done = func(r result) {
		if r.status == target.Status_STATUS_DONE {
			r.status = s.execute(m)
		}
		results <- r
	}
	s.executor.submit(j)
	stop := context.AfterFunc(ctx, func() { s.executor.cancel(j) })
	defer stop()
	r := <-results
	if r.status != target.Status_STATUS_DONE {
		return r, ""
	}
	return r, "accepted " + m.GetRecord().GetKey()
}

// statusCrashed is the status of a mutation that crashed the target.
const statusCrashed = target.Status_STATUS_UNSPECIFIED

// execute logs one execution of a mutation and returns its status.
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
	if s.onExecution != nil {
		s.onExecution(e)
	}
	if s.crashOnTerm(strings.Fields(m.GetRecord().GetText())) {
		return statusCrashed
	}
	if s.sampler.chance(s.faults.Load().Fail) {
		return target.Status_STATUS_FAILED
	}
	return target.Status_STATUS_DONE
}

// Executions returns the log of mutations, in the order of their execution.
func (s *Searcher) Executions() []Execution {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Execution{}, s.executions...)
}
