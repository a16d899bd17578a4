package httpresponder

import (
	"fmt"
	"net/http"
	"strconv"
	"time"
)

// Headers in which a target tells of its load and of its warm-up.
const (
	headerLoad   = "Server-Load"
	headerWarmup = "Warmup-Remaining"
)

// A cold target tolerates in any second its rate times coldOverage, plus coldSlack requests.
const (
	coldOverage = 1.5
	coldSlack   = 5
	coldWindow  = time.Second
)

// warmup is the warm-up of a target. The zero value is warm.
type warmup struct {
	// from is when requests begin to count, until the end of the warm-up, and rate the number
	// of requests a second that the target takes until then.
	from, until time.Time
	rate        float64
	// arrivals are the times of the requests of the last second that count.
	arrivals []time.Time
	// most is the greatest number of requests in a second beyond what is tolerated.
	most float64
	// crashes is true if the target crashes when it gets more than it tolerates.
	crashes bool
	// count is the number of requests that it got while it was cold.
	count int
}

// ColdFor makes the target cold for a time, in which it crashes if it gets clearly more than
// a number of requests a second. The requests of a time before, in which daemons hear of it,
// do not count.
func (r *Responder) ColdFor(before, d time.Duration, rate float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	r.warmup = warmup{
		from:    now.Add(before),
		until:   now.Add(before + d),
		rate:    rate,
		most:    -coldOverage*rate - coldSlack,
		crashes: true,
	}
}

// WarmupLeft returns the time for which the target stays cold.
func (r *Responder) WarmupLeft() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return max(time.Until(r.warmup.until), 0)
}

// ColdRequests returns the number of requests that the target got while it was cold, and the
// greatest number of them in a second beyond what it tolerates, which is negative if there
// was none.
func (r *Responder) ColdRequests() (count int, beyond float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.warmup.count, r.warmup.most
}

// overrun records a request and reports whether the target crashes because of it. r.mu is
// held.
func (w *warmup) overrun(now time.Time) bool {
	if now.Before(w.from) || !now.Before(w.until) {
		return false
	}
	w.count++
	w.arrivals = append(w.arrivals, now)
	for !w.arrivals[0].After(now.Add(-coldWindow)) {
		w.arrivals = w.arrivals[1:]
	}
	w.most = max(w.most, float64(len(w.arrivals))-coldOverage*w.rate-coldSlack)
	return w.crashes && w.most > 0
}

// SetLoad sets what the target tells of its load in all its answers, or nothing if f is nil.
func (r *Responder) SetLoad(f func(running, waiting, slots int) string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.load = f
}

// TellLoad is a function for SetLoad that tells the truth. Work takes as long as usual.
func TellLoad(running, waiting, slots int) string {
	return fmt.Sprintf("%d,%d,%d,100", running, waiting, slots)
}

// tellState sets the headers of the target's load and, in answers to probes, of its warm-up.
func (r *Responder) tellState(h http.Header, probe bool) {
	r.mu.Lock()
	load, left := r.load, time.Until(r.warmup.until)
	r.mu.Unlock()
	if load != nil {
		h.Set(headerLoad, load(len(r.slots), int(r.waiting.Load()), cap(r.slots)))
	}
	if probe && left > 0 {
		h.Set(headerWarmup, strconv.FormatInt(left.Milliseconds(), 10))
	}
}
