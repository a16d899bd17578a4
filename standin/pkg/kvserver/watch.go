package kvserver

import (
	"context"
	"errors"
	"io"
	"sync"
	"time"

	"google.golang.org/grpc"

	etcd "plantaincleat/tier/gen/etcdserverpb"
)

type watchStream = grpc.BidiStreamingServer[etcd.WatchRequest, etcd.WatchResponse]

// session is one stream that carries several watches.
type session struct {
	server *Server
	stream watchStream
	// end ends the whole stream.
	end context.CancelCauseFunc

	mu      sync.Mutex
	last    int64
	cancels map[int64]context.CancelFunc
}

// Watch implements the Watch service.
func (s *Server) Watch(stream watchStream) error {
	ctx, end := context.WithCancelCause(stream.Context())
	defer end(nil)
	w := &session{
		server:  s,
		stream:  stream,
		end:     end,
		cancels: map[int64]context.CancelFunc{},
	}
	go w.receive(ctx)
	<-ctx.Done()
	return ended(context.Cause(ctx))
}

// receive handles the requests of the stream.
func (w *session) receive(ctx context.Context) {
	for {
		r, err := w.stream.Recv()
		if err != nil {
			w.end(err)
			return
		}
		if c := r.GetCreateRequest(); c != nil {
			w.create(ctx, c)
		}
		if c := r.GetCancelRequest(); c != nil {
			w.cancel(c.WatchId)
		}
	}
}

func (w *session) create(ctx context.Context, r *etcd.WatchCreateRequest) {
	w.server.counters.opened.Add(1)
	if err := w.server.enter(ctx, false); err != nil {
		w.end(err)
		return
	}
	ctx, cancel := context.WithCancel(ctx)
	w.mu.Lock()
	w.last++
	id := w.last
	w.cancels[id] = cancel
	w.mu.Unlock()
	revision := w.server.store.current()
	if r.StartRevision == 0 {
		r.StartRevision = revision + 1
	}
	w.send(&etcd.WatchResponse{
		Header:  &etcd.ResponseHeader{Revision: revision},
		WatchId: id,
		Created: true,
	})
	w.server.counters.watches.Add(1)
	go func() {
		defer w.server.counters.watches.Add(-1)
		w.deliver(ctx, id, r)
	}()
}

func (w *session) cancel(id int64) {
	w.mu.Lock()
	cancel := w.cancels[id]
	delete(w.cancels, id)
	w.mu.Unlock()
	if cancel == nil {
		return
	}
	cancel()
	w.send(&etcd.WatchResponse{
		WatchId:  id,
		Canceled: true,
	})
}

// deliver sends the events of one watch until ctx ends.
func (w *session) deliver(ctx context.Context, id int64, r *etcd.WatchCreateRequest) {
	next := r.StartRevision
	for ctx.Err() == nil {
		f, switched := w.server.switches.get()
		if f.out(caller(ctx)) {
			w.end(errNoLeader)
			return
		}
		events, revision, compacted, changed := w.server.store.since(r.Key, r.RangeEnd, next)
		if compacted > 0 {
			w.send(&etcd.WatchResponse{
				WatchId:         id,
				Canceled:        true,
				CompactRevision: compacted,
				CancelReason:    errCompacted.Error(),
			})
			return
		}
		if len(events) > 0 && !f.MuteWatches {
			if w.server.wait(ctx, time.Duration(f.Delay)) != nil {
				return
			}
			w.send(&etcd.WatchResponse{
				Header:  &etcd.ResponseHeader{Revision: revision},
				WatchId: id,
				Events:  events,
			})
		}
		if !f.MuteWatches {
			next = max(next, revision+1)
		}
		select {
		case <-ctx.Done():
		case <-changed:
		case <-switched:
		}
	}
}

// send writes one response. A failure ends the stream.
func (w *session) send(r *etcd.WatchResponse) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if err := w.stream.Send(r); err != nil {
		w.end(err)
	}
}

// ended turns the regular end of a stream into no error.
func ended(err error) error {
	if errors.Is(err, io.EOF) || errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}
