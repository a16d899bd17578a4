// Package multiplexer sends many concurrent requests over one bidirectional gRPC
// stream to a daemon or a target. It batches queued requests, matches answers to
// requests by nonce and reconnects with exponential backoff.
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
	// ErrNotSent reports that the request was never passed to the transport.
	ErrNotSent = errors.New("request was not sent")
	// ErrStreamLost reports that the stream failed after the request was sent,
	// so that the request may have been executed.
	ErrStreamLost = errors.New("stream was lost after the request was sent")
	// ErrClosed reports that this side closed the link after the request was
	// sent. It is no evidence of a fault of the other side.
	ErrClosed = errors.New("link was closed after the request was sent")
)

const (
	// minBackoff and maxBackoff bound the pause between two connection attempts.
	minBackoff = 50 * time.Millisecond
	maxBackoff = 2 * time.Second
	// maxBatch is the largest number of requests in one message.
	maxBatch = 64
)

// Stream is the client side of a bidirectional gRPC stream that sends messages of
// type B and receives messages of type C.
type Stream[B, C any] interface {
	Send(B) error
	Recv() (C, error)
}

// Codec converts between requests (Q) and answers (A) and the messages (B and C)
// that carry batches of them.
type Codec[Q, A, B, C any] struct {
	// Pack returns one message with the requests.
	Pack func([]Q) B
	// Unpack returns the answers in a message.
	Unpack func(C) []A
	// Nonce returns the nonce of the request that an answer belongs to.
	Nonce func(A) uint64
}

// Opener connects and opens a stream. The stream ends when ctx ends.
type Opener[B, C any] func(ctx context.Context) (Stream[B, C], error)

// Sink receives the answers to one request, or one error after which no answer
// follows. It must not block.
type Sink[A any] func(answer A, err error)

// request is a queued message. Its nonce is 0 if it has no answer.
type request[Q any] struct {
	nonce uint64
	body  Q
}

// pending is a request that waits for answers. sent is true once it was passed to
// the transport.
type pending[A any] struct {
	sink Sink[A]
	sent bool
}

// Link is a multiplexed stream that is opened on first use and reopened after a
// failure. All methods are safe for concurrent use.
type Link[Q, A, B, C any] struct {
	remote string
	codec  Codec[Q, A, B, C]
	open   Opener[B, C]
	clock  clockwork.Clock

	ctx    context.Context
	cancel context.CancelFunc

	mu      sync.Mutex
	queue   *batcher.Queue[request[Q]]
	pending map[uint64]pending[A]
	running bool
	retryAt time.Time
	backoff time.Duration

	lastReceived atomic.Int64
	unmatched    atomic.Int64
	failures     atomic.Int64
	connected    atomic.Bool
}

// New returns a Link. remote names the daemon or target in errors.
func New[Q, A, B, C any](remote string, codec Codec[Q, A, B, C], open Opener[B, C], clock clockwork.Clock) *Link[Q, A, B, C] {
	ctx, cancel := context.WithCancel(context.Background())
	return &Link[Q, A, B, C]{
		remote:  remote,
		codec:   codec,
		open:    open,
		clock:   clock,
		ctx:     ctx,
		cancel:  cancel,
		pending: map[uint64]pending[A]{},
	}
}

// Send queues a request. The sink receives every answer with the nonce until
// Forget is called, or one error. While the link waits for the next connection
// attempt, or after Close, Send calls the sink with ErrNotSent at once.
func (l *Link[Q, A, B, C]) Send(nonce uint64, body Q, sink Sink[A]) {
	l.mu.Lock()
	if !l.running && (l.ctx.Err() != nil || l.clock.Now().Before(l.retryAt)) {
		l.mu.Unlock()
		var none A
		sink(none, eris.Wrapf(ErrNotSent, "send request: link to %s is down", l.remote))
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

// Post queues a message that has no answer, such as a cancellation. The message is
// dropped if the stream is neither open nor being opened.
func (l *Link[Q, A, B, C]) Post(body Q) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.running {
		l.queue.Put(request[Q]{
			body: body,
		})
	}
}

// Connect starts to open the stream if it is not open. It does nothing after Close
// and during the wait that follows a failure.
func (l *Link[Q, A, B, C]) Connect() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ctx.Err() == nil && !l.clock.Now().Before(l.retryAt) {
		l.start()
	}
}

// Forget removes the sink of a nonce. Later answers with it count as unmatched.
func (l *Link[Q, A, B, C]) Forget(nonce uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.pending, nonce)
}

// Close ends the stream and fails the pending requests. The link cannot be used
// afterwards.
func (l *Link[Q, A, B, C]) Close() { l.cancel() }

// Connected reports whether the stream is open at present.
func (l *Link[Q, A, B, C]) Connected() bool { return l.connected.Load() }

// Unmatched returns the number of answers received whose nonce was not pending.
func (l *Link[Q, A, B, C]) Unmatched() int64 { return l.unmatched.Load() }

// Pending returns the number of requests that wait for an answer.
func (l *Link[Q, A, B, C]) Pending() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.pending)
}

// start opens the stream unless it is open or being opened. The caller holds mu.
func (l *Link[Q, A, B, C]) start() {
	if l.running {
		return
	}
	l.running = true
	l.queue = &batcher.Queue[request[Q]]{}
	go l.run(l.queue)
}

// run opens the stream and serves it until it fails.
func (l *Link[Q, A, B, C]) run(queue *batcher.Queue[request[Q]]) {
	ctx, cancel := context.WithCancel(l.ctx)
	defer cancel()
	stream, err := l.open(ctx)
	if err != nil {
		l.fail(eris.Wrapf(err, "open stream to %s", l.remote), true)
		return
	}
	l.connected.Store(true)
	go func() {
		defer cancel()
		l.write(ctx, stream, queue)
	}()
	err = l.read(stream)
	l.connected.Store(false)
	l.fail(eris.Wrapf(err, "receive from %s", l.remote), false)
}

// write sends queued requests, at most maxBatch in a message.
func (l *Link[Q, A, B, C]) write(ctx context.Context, stream Stream[B, C], queue *batcher.Queue[request[Q]]) {
	for {
		batch, err := queue.Take(ctx)
		if err != nil {
			return
		}
		for len(batch) > 0 {
			n := min(len(batch), maxBatch)
			if stream.Send(l.codec.Pack(l.markSent(batch[:n]))) != nil {
				return
			}
			batch = batch[n:]
		}
	}
}

// markSent marks requests as passed to the transport and returns their bodies. It
// must be called before the message is sent.
func (l *Link[Q, A, B, C]) markSent(batch []request[Q]) []Q {
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

// read delivers answers until the stream fails, and returns its error.
func (l *Link[Q, A, B, C]) read(stream Stream[B, C]) error {
	for {
		msg, err := stream.Recv()
		if err != nil {
			return err
		}
		l.lastReceived.Store(l.clock.Now().UnixNano())
		l.resetBackoff()
		for _, a := range l.codec.Unpack(msg) {
			l.deliver(a)
		}
	}
}

// resetBackoff resets the backoff after the other side has answered.
func (l *Link[Q, A, B, C]) resetBackoff() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.backoff = 0
}

// deliver passes an answer to the sink of its request.
func (l *Link[Q, A, B, C]) deliver(a A) {
	l.mu.Lock()
	p, ok := l.pending[l.codec.Nonce(a)]
	l.mu.Unlock()
	if !ok {
		l.unmatched.Add(1)
		return
	}
	p.sink(a, nil)
}

// fail passes the cause to the sinks of all pending requests and sets the earliest
// time of the next connection attempt. There is no wait if the stream was opened
// and the backoff is 0, that is, if it is the first failure or the other side
// has answered since the previous one.
func (l *Link[Q, A, B, C]) fail(cause error, openFailed bool) {
	l.mu.Lock()
	failed := l.pending
	l.pending = map[uint64]pending[A]{}
	l.running = false
	l.queue.Close()
	if openFailed || l.backoff > 0 {
		l.retryAt = l.clock.Now().Add(l.nextBackoff())
	} else {
		l.backoff = minBackoff
	}
	l.mu.Unlock()
	l.failures.Add(1)
	var none A
	for _, p := range failed {
		reason := ErrNotSent
		switch {
		case p.sent && l.ctx.Err() != nil:
			reason = ErrClosed
		case p.sent:
			reason = ErrStreamLost
		}
		p.sink(none, errors.Join(reason, cause))
	}
}

// nextBackoff doubles the backoff within its bounds and returns it. The caller
// holds mu.
func (l *Link[Q, A, B, C]) nextBackoff() time.Duration {
	l.backoff = min(max(2*l.backoff, minBackoff), maxBackoff)
	return l.backoff
}
