// Package batcher passes items from many producers to one consumer in batches. A
// batch contains the items that are queued when the consumer asks; the consumer
// never waits for more.
package batcher

import (
	"context"
	"errors"
	"sync"
)

// ErrClosed is returned once a Queue is closed and empty.
var ErrClosed = errors.New("queue is closed")

// Queue is a FIFO queue without a length limit; its users limit how many items they
// put. The zero value is an empty queue. Put, Len and Close are safe for
// concurrent use; only one goroutine may call Drain and Take.
type Queue[T any] struct {
	mu     sync.Mutex
	items  []T
	spare  []T
	ready  chan struct{}
	closed bool
}

// readyChan returns the channel of Ready. The caller holds mu.
func (q *Queue[T]) readyChan() chan struct{} {
	if q.ready == nil {
		q.ready = make(chan struct{}, 1)
	}
	return q.ready
}

// Put appends an item. It returns false if the queue is closed.
func (q *Queue[T]) Put(item T) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.closed {
		return false
	}
	q.items = append(q.items, item)
	select {
	case q.readyChan() <- struct{}{}:
	default:
	}
	return true
}

// Ready returns a channel that receives a value after items were put or the queue
// was closed. One value may stand for several such events.
func (q *Queue[T]) Ready() <-chan struct{} {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.readyChan()
}

// Drain removes and returns all queued items, nil if there are none. The returned
// slice is reused, and is valid until the next call of Drain or Take.
func (q *Queue[T]) Drain() []T {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.items) == 0 {
		return nil
	}
	out := q.items
	clear(q.spare[:cap(q.spare)])
	q.items, q.spare = q.spare[:0], out
	return out
}

// Take waits until items are queued, and removes and returns all of them. It returns
// ErrClosed once the queue is closed and empty, or the error of ctx.
func (q *Queue[T]) Take(ctx context.Context) ([]T, error) {
	ready := q.Ready()
	for {
		if out := q.Drain(); out != nil {
			return out, nil
		}
		if q.isClosed() {
			return nil, ErrClosed
		}
		select {
		case <-ready:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

func (q *Queue[T]) isClosed() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.closed
}

// Len returns the number of queued items.
func (q *Queue[T]) Len() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.items)
}

// Close makes later calls of Put return false. Items already queued can still be
// taken.
func (q *Queue[T]) Close() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.closed = true
	select {
	case q.readyChan() <- struct{}{}:
	default:
	}
}
