package gatherer

import (
	"context"
	"sync"

	"plantaincleat/tier/gen/peer"
	"plantaincleat/tier/pkg/batcher"
)

// session serves one Gather stream. It runs each sub-plan in a goroutine and sends the
// partials that are ready in batches.
type session struct {
	gatherer *Gatherer
	stream   peer.Peer_GatherServer
	queue    batcher.Queue[*peer.Partial]

	mu sync.Mutex
	// jobs maps the nonces of running sub-plans to their cancel functions.
	jobs map[uint64]context.CancelFunc
	wg   sync.WaitGroup
}

func newSession(g *Gatherer, stream peer.Peer_GatherServer) *session {
	return &session{
		gatherer: g,
		stream:   stream,
		jobs:     map[uint64]context.CancelFunc{},
	}
}

// run serves the stream until the peer ends it or the gatherer is drained.
func (s *session) run() error {
	ctx, cancel := context.WithCancel(s.stream.Context())
	defer cancel()
	var writer sync.WaitGroup
	writer.Go(func() { s.write(ctx) })
	read := make(chan struct{})
	go func() {
		defer close(read)
		s.read(ctx)
	}()
	select {
	case <-read:
	case <-s.gatherer.drained:
	}
	// Running sub-plans still send their partials, because the peer may have closed only
	// its sending side.
	s.wg.Wait()
	s.queue.Close()
	writer.Wait()
	return nil
}

// read starts and cancels sub-plans as the peer requests, until the stream ends.
func (s *session) read(ctx context.Context) {
	for {
		msg, err := s.stream.Recv()
		if err != nil {
			return
		}
		for _, t := range msg.GetTasks() {
			if t.GetCancel() {
				s.cancel(t.GetNonce())
				continue
			}
			s.start(ctx, t)
		}
	}
}

// start runs a sub-plan in a new goroutine.
func (s *session) start(ctx context.Context, t *peer.Task) {
	ctx, cancel := context.WithCancel(ctx)
	s.mu.Lock()
	s.jobs[t.GetNonce()] = cancel
	s.mu.Unlock()
	s.wg.Go(func() {
		s.gatherer.Run(ctx, t.GetNonce(), t.GetGather(), func(p *peer.Partial) { s.queue.Put(p) })
		s.cancel(t.GetNonce())
	})
}

// cancel cancels a sub-plan if it is still running.
func (s *session) cancel(nonce uint64) {
	s.mu.Lock()
	cancel := s.jobs[nonce]
	delete(s.jobs, nonce)
	s.mu.Unlock()
	if cancel != nil {
		cancel()
	}
}

// write sends batches of partials until the queue is closed, ctx ends or the stream fails.
func (s *session) write(ctx context.Context) {
	for {
		batch, err := s.queue.Take(ctx)
		if err != nil {
			return
		}
		msg := &peer.Partials{
			Partials: append([]*peer.Partial(nil), batch...),
		}
		if s.stream.Send(msg) != nil {
			return
		}
	}
}
