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

// stream is the state of one Exchange call.
type stream struct {
	outbox *outbox

	mu sync.Mutex
	// jobs are the requests that wait or are being executed, by nonce.
	jobs map[uint64]*job
	// unanswered counts the requests without an answer.
	unanswered sync.WaitGroup
}

// Exchange answers searches until the caller closes the stream and all of them are
// answered. If the connection is lost, it cancels the searches that wait.
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

// send sends the answers of an outbox until ctx ends. Answers that are ready at the same
// time go into one message. While the fault Freeze is set, it sends nothing.
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

// submitSearch submits one search to the executor, or answers it at once if it is
// refused.
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

// refusal returns the status of a search that is refused at arrival, STATUS_DONE if it is
// not refused.
func (s *Searcher) refusal(q *target.Search) target.Status {
	f := s.faults.Load()
	if !f.Drain && s.sampler.chance(f.Shed) {
		return target.Status_STATUS_SHED
	}
	_, status := s.findReplica(q)
	return status
}

// drawExecutionTime draws the execution time of one request under the faults in force.
func (s *Searcher) drawExecutionTime() time.Duration {
	return s.sampler.duration(s.uptime(), s.faults.Load())
}

// findReplica returns the replica that a search reads under the faults in force. The
// status is STATUS_DONE if there is one.
func (s *Searcher) findReplica(q *target.Search) (*replica, target.Status) {
	f := s.faults.Load()
	key := snapshotKey{
		collection: q.GetCollection(),
		version:    q.GetVersion(),
		snapshot:   q.GetSnapshot(),
	}
	if f.dropsSnapshot(key.snapshot) {
		return nil, target.Status_STATUS_DROPPED
	}
	r, status := s.holdings.Load().find(key, q.GetShard())
	if r != nil && f.SnapshotOverride != "" {
		overridden := r.shard
		overridden.Snapshot = f.SnapshotOverride
		r = newReplica(overridden)
	}
	return r, status
}

// newAnswer returns the answer to a search and counts its status.
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

// fillRecords sets the status, the records and the fields that describe them. With the
// fault WrongShard, the records may come from another shard.
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
		key := snapshotKey{
			collection: q.GetCollection(),
			version:    q.GetVersion(),
			snapshot:   q.GetSnapshot(),
		}
		if wrong := s.holdings.Load().otherReplica(key, q.GetShard()); wrong != nil {
			r = wrong
		}
	}
	a.Records = synthesizer.Select(r.records(), q.GetQuery())
}

// putAnswer adds an answer to the outbox of its stream. The faults in force may change the
// stream, duplicate or delay the answer, or swap its nonce.
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

// crashOnTerm calls onCrash if one of the terms begins with the crash term. It reports
// whether it did.
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

// otherOutbox returns the outbox of another open stream, or that of st if there is
// none.
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

// cancelJobs cancels the requests of a stream that wait for a slot.
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
