package gatherer

import (
	"context"
	"sync"

	"plantaincleat/tier/gen/peer"
	"plantaincleat/tier/pkg/batcher"
)

// session serves one Gather stream: it runs each sub-plan and batches the
// partials that are ready.
type session struct {
	gatherer *Gatherer
	stream   peer.Peer_GatherServer
	queue    batcher.Queue[*peer.Partial]

	mu   sync.Mutex
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

// run serves the stream until the peer ends it or the gatherer drains.
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
	// Sub-plans that are running still send their partials: the peer may have
	// closed only its sending side.
	s.wg.Wait()
	s.queue.Close()
	writer.Wait()
	return nil
}

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

func (s *session) cancel(nonce uint64) {
	s.mu.Lock()
	cancel := s.jobs[nonce]
	delete(s.jobs, nonce)
	s.mu.Unlock()
	if cancel != nil {
		cancel()
	}
}

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
