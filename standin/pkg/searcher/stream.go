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
	// open counts the requests not yet answered.
	open sync.WaitGroup
}

// Exchange answers searches until the caller closes the stream. Requests that
// wait when the connection is lost are cancelled.
func (s *Searcher) Exchange(grpcStream grpc.BidiStreamingServer[target.Calls, target.Answers]) error {
	st := &stream{
		outbox: newOutbox(),
		jobs:   make(map[uint64]*job),
	}
	s.attach(st)
	defer s.detach(st)
	ctx, cancel := context.WithCancel(grpcStream.Context())
	sent := make(chan error, 1)
	go func() { sent <- s.send(ctx, st.outbox, grpcStream) }()
	err := s.receive(st, grpcStream)
	if errors.Is(err, io.EOF) {
		st.open.Wait()
		err = nil
	}
	cancel()
	s.abandon(st)
	return errors.Join(err, <-sent)
}

func (s *Searcher) receive(st *stream, grpcStream grpc.BidiStreamingServer[target.Calls, target.Answers]) error {
	for {
		calls, err := grpcStream.Recv()
		if err != nil {
			return err
		}
		for _, c := range calls.GetCalls() {
			s.take(st, c)
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

func (s *Searcher) take(st *stream, c *target.Call) {
	switch body := c.GetBody().(type) {
	case *target.Call_Search:
		s.search(st, c.GetNonce(), body.Search)
	case *target.Call_Cancel:
		st.mu.Lock()
		j := st.jobs[c.GetNonce()]
		st.mu.Unlock()
		if j != nil {
			s.executor.cancel(j)
		}
	}
}

// search submits one search to the executor.
func (s *Searcher) search(st *stream, nonce uint64, q *target.Search) {
	s.counts.received(s)
	st.open.Add(1)
	if status := s.refusal(q); status != target.Status_STATUS_DONE {
		s.reply(st, s.answer(nonce, q, end{status: status}))
		return
	}
	j := &job{
		expires:  s.expiry(q.GetRemaining()),
		duration: s.draw,
	}
	j.done = func(e end) {
		st.forget(nonce)
		if e.status == target.Status_STATUS_DONE && s.crashes(q.GetQuery().GetTerms()) {
			st.open.Done()
			return
		}
		s.reply(st, s.answer(nonce, q, e))
	}
	st.remember(nonce, j)
	s.executor.submit(j)
}

// refusal returns the status of a search that is refused at arrival, or done.
func (s *Searcher) refusal(q *target.Search) target.Status {
	f := s.faults.Load()
	if !f.Drain && s.sampler.chance(f.Shed) {
		return target.Status_STATUS_SHED
	}
	_, status := s.find(q)
	return status
}

// draw returns the execution time of one request that takes a slot.
func (s *Searcher) draw() time.Duration {
	return s.sampler.duration(s.age(), s.faults.Load())
}

// find returns the replica that a search reads.
func (s *Searcher) find(q *target.Search) (*replica, target.Status) {
	f := s.faults.Load()
	e := edition{
		collection: q.GetCollection(),
		version:    q.GetVersion(),
		snapshot:   q.GetSnapshot(),
	}
	if f.dropped(e.snapshot) {
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

// answer builds the answer to a search that has ended.
func (s *Searcher) answer(nonce uint64, q *target.Search, e end) *target.Answer {
	a := &target.Answer{
		Nonce:       nonce,
		Target:      s.id,
		Incarnation: s.incarnation,
		Snapshot:    q.GetSnapshot(),
		Shard:       q.GetShard(),
		Status:      e.status,
		Load:        s.load(e.service),
	}
	if e.status == target.Status_STATUS_DONE {
		s.read(a, q)
	}
	s.counts.ended(a.GetStatus())
	return a
}

// read fills in the records, which a fault may take from another shard.
func (s *Searcher) read(a *target.Answer, q *target.Search) {
	f := s.faults.Load()
	r, status := s.find(q)
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
		e := edition{
			collection: q.GetCollection(),
			version:    q.GetVersion(),
			snapshot:   q.GetSnapshot(),
		}
		if other := s.holdings.Load().other(e, q.GetShard()); other != nil {
			r = other
		}
	}
	a.Records = synthesizer.Select(r.records(), q.GetQuery())
}

// reply puts an answer on its stream, subject to the faults in force.
func (s *Searcher) reply(st *stream, a *target.Answer) {
	defer st.open.Done()
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
		out.hold(a)
	default:
		out.put(a)
	}
}

// crashes calls the crash function if a term says so, and reports whether it did.
func (s *Searcher) crashes(terms []string) bool {
	if s.crash == nil || s.faults.Load().IgnoreCrashTerm {
		return false
	}
	if !slices.ContainsFunc(terms, func(t string) bool { return strings.HasPrefix(t, synthesizer.CrashTerm) }) {
		return false
	}
	s.counts.crashes.Add(1)
	s.crash()
	return true
}

func (s *Searcher) attach(st *stream) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.streams = append(s.streams, st)
}

func (s *Searcher) detach(st *stream) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.streams = slices.DeleteFunc(s.streams, func(o *stream) bool { return o == st })
}

// otherOutbox returns the outbox of another open stream, or the stream's own
// if there is none.
func (s *Searcher) otherOutbox(st *stream) *outbox {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, o := range s.streams {
		if o != st {
			return o.outbox
		}
	}
	return st.outbox
}

// abandon cancels the waiting requests of a stream that has ended.
func (s *Searcher) abandon(st *stream) {
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

func (st *stream) remember(nonce uint64, j *job) {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.jobs[nonce] = j
}

func (st *stream) forget(nonce uint64) {
	st.mu.Lock()
	defer st.mu.Unlock()
	delete(st.jobs, nonce)
}
