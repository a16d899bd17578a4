package searcher

import (
	"sync"

	"plantaincleat/tier/gen/target"
)

// outbox collects the answers of one stream until its sender takes them.
type outbox struct {
	wake chan struct{}

	mu      sync.Mutex
	pending []*target.Answer
	// heldForSwap waits to swap its nonce with the next answer.
	heldForSwap *target.Answer
}

func newOutbox() *outbox {
	return &outbox{
		wake: make(chan struct{}, 1),
	}
}

// put adds an answer.
func (o *outbox) put(a *target.Answer) {
	o.mu.Lock()
	if c := o.heldForSwap; c != nil {
		c.Nonce, a.Nonce = a.GetNonce(), c.GetNonce()
		o.pending = append(o.pending, c)
		o.heldForSwap = nil
	}
	o.pending = append(o.pending, a)
	o.mu.Unlock()
	o.notify()
}

// holdForSwap keeps an answer back until the next one, with which it swaps nonces.
func (o *outbox) holdForSwap(a *target.Answer) {
	o.mu.Lock()
	holds := o.heldForSwap == nil
	if holds {
		o.heldForSwap = a
	}
	o.mu.Unlock()
	if !holds {
		o.put(a)
	}
}

// take removes and returns all answers that are ready.
func (o *outbox) take() []*target.Answer {
	o.mu.Lock()
	defer o.mu.Unlock()
	ready := o.pending
	o.pending = nil
	return ready
}

// notify wakes the sender.
func (o *outbox) notify() {
	select {
	case o.wake <- struct{}{}:
	default:
	}
}
