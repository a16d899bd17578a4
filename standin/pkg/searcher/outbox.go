package searcher

import (
	"sync"

	"plantaincleat/tier/gen/target"
)

// outbox collects the answers of one stream until the sending goroutine takes them.
type outbox struct {
	// wake holds a value while there may be answers to take.
	wake chan struct{}

	mu      sync.Mutex
	pending []*target.Answer
	// heldForSwap is an answer whose nonce is swapped with that of the next one.
	// It may be nil.
	heldForSwap *target.Answer
}

func newOutbox() *outbox {
	return &outbox{
		wake: make(chan struct{}, 1),
	}
}

// put adds an answer. If one is held for a swap, the two swap nonces and both are added.
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

// holdForSwap holds an answer back until the next one, with which it swaps nonces. If
// one is already held, the two swap nonces and both are added.
func (o *outbox) holdForSwap(a *target.Answer) {
	o.mu.Lock()
	held := o.heldForSwap == nil
	if held {
		o.heldForSwap = a
	}
	o.mu.Unlock()
	if !held {
		o.put(a)
	}
}

// take removes and returns all answers except the one held for a swap.
func (o *outbox) take() []*target.Answer {
	o.mu.Lock()
	defer o.mu.Unlock()
	ready := o.pending
	o.pending = nil
	return ready
}

// notify wakes the sending goroutine. It does not block.
func (o *outbox) notify() {
	select {
	case o.wake <- struct{}{}:
	default:
	}
}
