package gatekeeper

import (
	"sync"
	"time"
)

const (
	// readBytes is what one read costs in processor time, as a number of bytes of framing.
	readBytes = 256
	// freeWork is the number of bytes of framing that is read at once, whatever the content, and
	// contentPart the part of the content that is, as a divisor.
	freeWork    = 16 << 10
	contentPart = 4
	// paceRate is the number of bytes of framing beyond that which are read in a second, on all
	// connections together.
	paceRate = 4 << 20
	// maxPaceWait is the longest time that a read waits for its turn. Requests whose reads would wait
	// for longer are refused at once.
	maxPaceWait = time.Second
)

// pacer divides the processor time for framing among connections. The zero value is ready for use.
type pacer struct {
	mu   sync.Mutex
	next time.Time
}

// reserve reserves the reading of n bytes of framing and returns how long it has to wait. It reports
// false, and reserves nothing, if that is too long.
func (p *pacer) reserve(n int64, now time.Time) (time.Duration, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.next.Before(now) {
		p.next = now
	}
	wait := p.next.Sub(now)
	if wait > maxPaceWait {
		return 0, false
	}
	p.next = p.next.Add(time.Duration(n) * time.Second / paceRate)
	return wait, true
}

// work compares what is read from a connection in a request with the content of the request.
type work struct {
	mu sync.Mutex
	// read is the cost of what was read, content what of it was of use, both in bytes.
	read, content int64
	// charged is the part of read that has waited for its turn.
	charged int64
	slowed  bool
}

// reset begins a new request.
func (w *work) reset() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.read, w.content, w.charged, w.slowed = 0, 0, 0, false
}

// received records one read of n bytes.
func (w *work) received(n int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.read += int64(n) + readBytes
}

// use records n bytes of content.
func (w *work) use(n int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.content += int64(n)
}

// excess returns the work that is out of proportion to the content and has not waited yet, in bytes.
// It reports whether there is such work for the first time in the request.
func (w *work) excess() (n int64, first bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	n = w.read - w.content - w.content/contentPart - freeWork - w.charged
	if n <= 0 {
		return 0, false
	}
	w.charged += n
	first = !w.slowed
	w.slowed = true
	return n, first
}

// await waits until the next read of a connection may begin. It reports false if the request is
// refused.
func (w *work) await(c *conn) bool {
	n, first := w.excess()
	if n == 0 {
		return true
	}
	if first {
		c.keeper.count(func(counts *Counts) { counts.Slowed++ })
	}
	wait, ok := c.keeper.pacer.reserve(n, c.keeper.Clock.Now())
	if !ok {
		return false
	}
	if wait <= 0 {
		return true
	}
	timer := c.keeper.Clock.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.Chan():
		return true
	case <-c.evicted:
		return false
	}
}
