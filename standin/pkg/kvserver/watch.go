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

// watchSession is one gRPC stream, which carries several watches.
type watchSession struct {
	server *Server
	stream watchStream
	// endStream ends the stream and all its watches. Its argument is the error that
	// Watch returns.
	endStream context.CancelCauseFunc

	mu          sync.Mutex
	lastWatchID int64
	// cancels holds the cancel functions of the open watches, by watch id.
	cancels map[int64]context.CancelFunc
}

// Watch implements the Watch service.
func (s *Server) Watch(stream watchStream) error {
	ctx, end := context.WithCancelCause(stream.Context())
	defer end(nil)
	w := &watchSession{
		server:    s,
		stream:    stream,
		endStream: end,
		cancels:   map[int64]context.CancelFunc{},
	}
	go w.receive(ctx)
	<-ctx.Done()
	return streamError(context.Cause(ctx))
}

// receive handles the requests of the stream until it ends.
func (w *watchSession) receive(ctx context.Context) {
	for {
		r, err := w.stream.Recv()
		if err != nil {
			w.endStream(err)
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

func (w *watchSession) create(ctx context.Context, r *etcd.WatchCreateRequest) {
	w.server.counters.watchesCreated.Add(1)
	if err := w.server.admitCall(ctx, false); err != nil {
		w.endStream(err)
		return
	}
	ctx, cancel := context.WithCancel(ctx)
	w.mu.Lock()
	w.lastWatchID++
	id := w.lastWatchID
	w.cancels[id] = cancel
	w.mu.Unlock()
	revision := w.server.store.currentRevision()
	if r.StartRevision == 0 {
		r.StartRevision = revision + 1
	}
	w.send(&etcd.WatchResponse{
		Header:  &etcd.ResponseHeader{Revision: revision},
		WatchId: id,
		Created: true,
	})
	w.server.counters.openWatches.Add(1)
	go func() {
		defer w.server.counters.openWatches.Add(-1)
		w.deliver(ctx, id, r)
	}()
}

func (w *watchSession) cancel(id int64) {
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

// deliver sends the events of one watch until ctx ends, an outage begins or events that it
// needs have been compacted.
func (w *watchSession) deliver(ctx context.Context, id int64, r *etcd.WatchCreateRequest) {
	next := r.StartRevision
	for ctx.Err() == nil {
		f, faultsChanged := w.server.faults.get()
		if f.refuses(callerIP(ctx)) {
			w.endStream(errNoLeader)
			return
		}
		events, revision, compacted, changed := w.server.store.eventsSince(r.Key, r.RangeEnd, next)
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
		case <-faultsChanged:
		}
	}
}

// send writes one response. A failure ends the stream.
func (w *watchSession) send(r *etcd.WatchResponse) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if err := w.stream.Send(r); err != nil {
		w.endStream(err)
	}
}

// streamError returns err, or nil if err is the regular end of a stream.
func streamError(err error) error {
	if errors.Is(err, io.EOF) || errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}
