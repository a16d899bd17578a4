package searcher

import (
	"context"
	"errors"
	"io"
	"slices"
	"strings"
	"sync"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/protobuf/proto"

	"plantaincleat/tier/gen/target"
	"plantaincleat/tier/pkg/queryhasher"
	"plantaincleat/tier/pkg/synthesizer"
)

// stream is one Exchange with its requests in progress.
type stream struct {
	outbox *outbox

	mu   sync.Mutex
	jobs map[uint64]*job
	// unanswered counts the requests not yet answered.
	unanswered sync.WaitGroup
}

// Exchange answers searches until the caller closes the stream. Requests that
// wait when the connection is lost are cancelled.
func (s *Searcher) Exchange(grpcStream grpc.BidiStreamingServer[target.Calls, target.Answers]) error {
	st := &stream{
		outbox: newOutbox(),
		jobs:   make(map[uint64]*job),
	}
	s.addStream(st)
	defer s.removeStream(st)
	ctx, cancel := context.WithCancel(grpcStream.Context())
	sent := make(chan error, 1)
	go func() { sent <- s.send(ctx, st.outbox, grpcStream) }()
	err := s.receive(st, grpcStream)
	if errors.Is(err, io.EOF) {
		st.unanswered.Wait()
		err = nil
	}
	cancel()
	s.cancelJobs(st)
	return errors.Join(err, <-sent)
}

func (s *Searcher) receive(st *stream, grpcStream grpc.BidiStreamingServer[target.Calls, target.Answers]) error {
	for {
		calls, err := grpcStream.Recv()
		if err != nil {
			return err
		}
		for _, c := range calls.GetCalls() {
			s.handleCall(st, c)
		}
	}
}

// send sends all answers that are ready in one message, until ctx ends.
func (s *Searcher) send(ctx context.Context, o *outbox, grpcStream grpc.BidiStreamingServer[target.Calls, target.Answers]) error {
	for {
		ended := false
		select {
		case <-o.wake:
		case <-ctx.Done():
			ended = true
		}
		if s.Faults().Freeze {
			if ended {
				return nil
			}
			continue
		}
		if ready := o.take(); len(ready) > 0 {
			if err := grpcStream.Send(&target.Answers{Answers: ready}); err != nil {
				return err
			}
		}
		if ended {
			return nil
		}
	}
}

func (s *Searcher) handleCall(st *stream, c *target.Call) {
	switch body := c.GetBody().(type) {
	case *target.Call_Search:
		s.submitSearch(st, c.GetNonce(), body.Search)
	case *target.Call_Cancel:
		st.mu.Lock()
		j := st.jobs[c.GetNonce()]
		st.mu.Unlock()
		if j != nil {
			s.executor.cancel(j)
		}
	}
}

// submitSearch submits one search to the executor.
func (s *Searcher) submitSearch(st *stream, nonce uint64, q *target.Search) {
	s.counts.recordReceived(s)
	st.unanswered.Add(1)
	if status := s.refusal(q); status != target.Status_STATUS_DONE {
		s.putAnswer(st, s.newAnswer(nonce, q, result{status: status}))
		return
	}
	j := &job{
		expires:  s.expiryAfter(q.GetRemaining()),
		duration: s.drawExecutionTime,
	}
	j.done = func(r result) {
		st.removeJob(nonce)
		if r.status == target.Status_STATUS_DONE && s.crashOnTerm(q.GetQuery().GetTerms()) {
			st.unanswered.Done()
			return
		}
		s.putAnswer(st, s.newAnswer(nonce, q, r))
	}
	st.addJob(nonce, j)
	s.executor.submit(j)
}

// refusal returns the status of a search that is refused at arrival, or done.
func (s *Searcher) refusal(q *target.Search) target.Status {
	f := s.faults.Load()
	if !f.Drain && s.sampler.chance(f.Shed) {
		return target.Status_STATUS_SHED
	}
	_, status := s.findReplica(q)
	return status
}

// drawExecutionTime returns the execution time of one request that takes a slot.
func (s *Searcher) drawExecutionTime() time.Duration {
	return s.sampler.duration(s.uptime(), s.faults.Load())
}

// findReplica returns the replica that a search reads.
func (s *Searcher) findReplica(q *target.Search) (*replica, target.Status) {
	f := s.faults.Load()
	e := snapshotKey{
		collection: q.GetCollection(),
		version:    q.GetVersion(),
		snapshot:   q.GetSnapshot(),
	}
	if f.dropsSnapshot(e.snapshot) {
		return nil, target.Status_STATUS_DROPPED
	}
	r, status := s.holdings.Load().find(e, q.GetShard())
	if r != nil && f.SnapshotOverride != "" {
		stamped := r.shard
		stamped.Snapshot = f.SnapshotOverride
		r = newReplica(stamped)
	}
	return r, status
}

// newAnswer builds the answer to a search that has ended.
func (s *Searcher) newAnswer(nonce uint64, q *target.Search, r result) *target.Answer {
	a := &target.Answer{
		Nonce:       nonce,
		Target:      s.id,
		Incarnation: s.incarnation,
		Snapshot:    q.GetSnapshot(),
		Shard:       q.GetShard(),
		Status:      r.status,
		Load:        s.load(r.service),
	}
	if r.status == target.Status_STATUS_DONE {
		s.fillRecords(a, q)
	}
	s.counts.recordStatus(a.GetStatus())
	return a
}

// fillRecords fills in the records, which a fault may take from another shard.
func (s *Searcher) fillRecords(a *target.Answer, q *target.Search) {
	f := s.faults.Load()
	r, status := s.findReplica(q)
	if status == target.Status_STATUS_DONE && s.sampler.chance(f.Fail) {
		status = target.Status_STATUS_FAILED
	}
	a.Status = status
	if status != target.Status_STATUS_DONE {
		return
	}
	a.Snapshot = r.shard.Snapshot
	a.Query = queryhasher.Hash(q.GetQuery())
	if s.sampler.chance(f.WrongShard) {
		e := snapshotKey{
			collection: q.GetCollection(),
			version:    q.GetVersion(),
			snapshot:   q.GetSnapshot(),
		}
		if wrong := s.holdings.Load().otherReplica(e, q.GetShard()); wrong != nil {
			r = wrong
		}
	}
	a.Records = synthesizer.Select(r.records(), q.GetQuery())
}

// putAnswer puts an answer on its stream, subject to the faults in force.
func (s *Searcher) putAnswer(st *stream, a *target.Answer) {
	defer st.unanswered.Done()
	f := s.faults.Load()
	out := st.outbox
	if s.sampler.chance(f.WrongStream) {
		out = s.otherOutbox(st)
	}
	if s.sampler.chance(f.Duplicate) {
		out.put(proto.CloneOf(a))
	}
	switch {
	case s.sampler.chance(f.Late):
		s.clock.AfterFunc(f.lag(), func() { out.put(a) })
	case s.sampler.chance(f.SwapNonces):
		out.holdForSwap(a)
	default:
		out.put(a)
	}
}

// crashOnTerm calls the crash function if a term says so, and reports whether it did.
func (s *Searcher) crashOnTerm(terms []string) bool {
	if s.onCrash == nil || s.faults.Load().IgnoreCrashTerm {
		return false
	}
	if !slices.ContainsFunc(terms, func(t string) bool { return strings.HasPrefix(t, synthesizer.CrashTerm) }) {
		return false
	}
	s.counts.crashes.Add(1)
	s.onCrash()
	return true
}

func (s *Searcher) addStream(st *stream) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.streams = append(s.streams, st)
}

func (s *Searcher) removeStream(st *stream) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.streams = slices.DeleteFunc(s.streams, func(o *stream) bool { return o == st })
}

// otherOutbox returns the outbox of another open stream, or the stream's own
// if there is none.
func (s *Searcher) otherOutbox(st *stream) *outbox {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, other := range s.streams {
		if other != st {
			return other.outbox
		}
	}
	return st.outbox
}

// cancelJobs cancels the waiting requests of a stream that has ended.
func (s *Searcher) cancelJobs(st *stream) {
	st.mu.Lock()
	jobs := make([]*job, 0, len(st.jobs))
	for _, j := range st.jobs {
		jobs = append(jobs, j)
	}
	st.mu.Unlock()
	for _, j := range jobs {
		s.executor.cancel(j)
	}
}

func (st *stream) addJob(nonce uint64, j *job) {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.jobs[nonce] = j
}

func (st *stream) removeJob(nonce uint64) {
	st.mu.Lock()
	defer st.mu.Unlock()
	delete(st.jobs, nonce)
}
