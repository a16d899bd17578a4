// Package multiplexer multiplexes many requests over one bidirectional gRPC
// stream to a peer or a target. It batches what is ready, matches answers to
// requests by nonce and reconnects with a backoff.
package multiplexer

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rotisserie/eris"

	"plantaincleat/tier/pkg/batcher"
)

// Errors that a Sink receives.
var (
	// ErrNotSent reports that the request was never handed to the transport.
	ErrNotSent = errors.New("request was not sent")
	// ErrStreamLost reports that the stream failed after the request was sent.
	ErrStreamLost = errors.New("stream was lost after the request was sent")
	// ErrClosed reports that the link was closed here after the request was
	// sent, which says nothing about the peer.
	ErrClosed = errors.New("link was closed after the request was sent")
)

const (
	// minBackoff and maxBackoff bound the pause between connection attempts.
	minBackoff = 50 * time.Millisecond
	maxBackoff = 2 * time.Second
	// maxBatch is the largest number of requests in one message.
	maxBatch = 64
)

// Stream is the client side of a bidirectional gRPC stream.
type Stream[B, C any] interface {
	Send(B) error
	Recv() (C, error)
}

// Codec converts between items and the batches that travel.
type Codec[Q, A, B, C any] struct {
	// Pack makes one message of some requests.
	Pack func([]Q) B
	// Unpack returns the answers in a message.
	Unpack func(C) []A
	// Nonce returns the nonce that an answer echoes.
	Nonce func(A) uint64
}

// Opener connects and opens a stream that ends with ctx.
type Opener[B, C any] func(ctx context.Context) (Stream[B, C], error)

// Sink receives the answers to one request, or the error that ends it. It
// must not block.
type Sink[A any] func(answer A, err error)

type request[Q any] struct {
	nonce uint64
	body  Q
}

type pending[A any] struct {
	sink Sink[A]
	sent bool
}

// Link is one multiplexed stream, opened on first use. All methods are safe
// for concurrent use.
type Link[Q, A, B, C any] struct {
	peer  string
	codec Codec[Q, A, B, C]
	open  Opener[B, C]
	clock clockwork.Clock

	ctx    context.Context
	cancel context.CancelFunc

	mu      sync.Mutex
	queue   *batcher.Queue[request[Q]]
	pending map[uint64]pending[A]
	running bool
	retryAt time.Time
	backoff time.Duration

	received atomic.Int64
	unknown  atomic.Int64
	lost     atomic.Int64
	up       atomic.Bool
}

// New returns a link to a peer, which errors name.
func New[Q, A, B, C any](peer string, codec Codec[Q, A, B, C], open Opener[B, C], clock clockwork.Clock) *Link[Q, A, B, C] {
	ctx, cancel := context.WithCancel(context.Background())
	return &Link[Q, A, B, C]{
		peer:    peer,
		codec:   codec,
		open:    open,
		clock:   clock,
		ctx:     ctx,
		cancel:  cancel,
		pending: map[uint64]pending[A]{},
	}
}

// Send queues a request. The sink receives every answer with its nonce until
// Forget is called, or one error.
func (l *Link[Q, A, B, C]) Send(nonce uint64, body Q, sink Sink[A]) {
	l.mu.Lock()
	if !l.running && (l.ctx.Err() != nil || l.clock.Now().Before(l.retryAt)) {
		l.mu.Unlock()
		var none A
		sink(none, eris.Wrapf(ErrNotSent, "send: peer %s is down", l.peer))
		return
	}
	l.pending[nonce] = pending[A]{
		sink: sink,
	}
	l.start()
	queue := l.queue
	l.mu.Unlock()
	queue.Put(request[Q]{
		nonce: nonce,
		body:  body,
	})
}

// Post queues a message that has no answer, such as a cancellation. It is
// dropped if the link is down.
func (l *Link[Q, A, B, C]) Post(body Q) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.running {
		l.queue.Put(request[Q]{
			body: body,
		})
	}
}

// Warm opens the stream if it is not open.
func (l *Link[Q, A, B, C]) Warm() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ctx.Err() == nil && !l.clock.Now().Before(l.retryAt) {
		l.start()
	}
}

// Forget ends the interest in a nonce. Later answers count as unknown.
func (l *Link[Q, A, B, C]) Forget(nonce uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.pending, nonce)
}

// Close ends the stream and fails what is pending.
func (l *Link[Q, A, B, C]) Close() { l.cancel() }

// Connected reports whether the stream is open.
func (l *Link[Q, A, B, C]) Connected() bool { return l.up.Load() }

// Unknown returns the number of answers whose nonce was not pending.
func (l *Link[Q, A, B, C]) Unknown() int64 { return l.unknown.Load() }

// Pending returns the number of requests that wait for an answer.
func (l *Link[Q, A, B, C]) Pending() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.pending)
}

// start runs the stream unless it runs already. l.mu is held.
func (l *Link[Q, A, B, C]) start() {
	if l.running {
		return
	}
	l.running = true
	l.queue = &batcher.Queue[request[Q]]{}
	go l.run(l.queue)
}

func (l *Link[Q, A, B, C]) run(queue *batcher.Queue[request[Q]]) {
	ctx, cancel := context.WithCancel(l.ctx)
	defer cancel()
	stream, err := l.open(ctx)
	if err != nil {
		l.stop(eris.Wrapf(err, "open: peer %s", l.peer), true)
		return
	}
	l.up.Store(true)
	go func() {
		defer cancel()
		l.write(ctx, stream, queue)
	}()
	err = l.read(stream)
	l.up.Store(false)
	l.stop(eris.Wrapf(err, "receive: peer %s", l.peer), false)
}

func (l *Link[Q, A, B, C]) write(ctx context.Context, stream Stream[B, C], queue *batcher.Queue[request[Q]]) {
	for {
		batch, err := queue.Take(ctx)
		if err != nil {
			return
		}
		for len(batch) > 0 {
			n := min(len(batch), maxBatch)
			if stream.Send(l.codec.Pack(l.mark(batch[:n]))) != nil {
				return
			}
			batch = batch[n:]
		}
	}
}

// mark records that requests are being handed to the transport and returns
// their bodies.
func (l *Link[Q, A, B, C]) mark(batch []request[Q]) []Q {
	bodies := make([]Q, 0, len(batch))
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, r := range batch {
		if p, ok := l.pending[r.nonce]; ok {
			p.sent = true
			l.pending[r.nonce] = p
		}
		bodies = append(bodies, r.body)
	}
	return bodies
}

func (l *Link[Q, A, B, C]) read(stream Stream[B, C]) error {
	for {
		msg, err := stream.Recv()
		if err != nil {
			return err
		}
		l.received.Store(l.clock.Now().UnixNano())
		l.relieve()
		for _, a := range l.codec.Unpack(msg) {
			l.deliver(a)
		}
	}
}

// relieve resets the backoff once the peer has answered.
func (l *Link[Q, A, B, C]) relieve() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.backoff = 0
}

func (l *Link[Q, A, B, C]) deliver(a A) {
	l.mu.Lock()
	p, ok := l.pending[l.codec.Nonce(a)]
	l.mu.Unlock()
	if !ok {
		l.unknown.Add(1)
		return
	}
	p.sink(a, nil)
}

// stop fails everything pending and sets the earliest time of the next
// attempt to connect.
func (l *Link[Q, A, B, C]) stop(cause error, refused bool) {
	l.mu.Lock()
	failed := l.pending
	l.pending = map[uint64]pending[A]{}
	l.running = false
	l.queue.Close()
	if refused || l.backoff > 0 {
		l.retryAt = l.clock.Now().Add(l.pause())
	} else {
		l.backoff = minBackoff
	}
	l.mu.Unlock()
	l.lost.Add(1)
	var none A
	for _, p := range failed {
		kind := ErrNotSent
		switch {
		case p.sent && l.ctx.Err() != nil:
			kind = ErrClosed
		case p.sent:
			kind = ErrStreamLost
		}
		p.sink(none, errors.Join(kind, cause))
	}
}

// pause doubles the backoff and returns it. l.mu is held.
func (l *Link[Q, A, B, C]) pause() time.Duration {
	l.backoff = min(max(2*l.backoff, minBackoff), maxBackoff)
	return l.backoff
}
