package valuer

import (
	"sync"
	"time"
)

const (
	// maxReturns is the greatest number of refused requests that are remembered. In excess of
	// it, the earliest ones are forgotten.
	maxReturns = 4096
	// returnLife is the time after its Retry-After for which a refused request is remembered.
	returnLife = time.Second
)

// Returns remembers the requests that were refused, by a key that is the same when the caller
// sends the request again, so that none is turned away twice for one that came later. The
// zero value is ready for use. It is safe for concurrent use.
type Returns[K comparable] struct {
	mu sync.Mutex
	// from holds, for each request, the time from which it may return.
	from map[K]time.Time
	// order holds the refusals in their order. Some have returned or were refused again.
	order []refused[K]
}

// refused is a request that was refused and the time from which it may return.
type refused[K comparable] struct {
	key  K
	from time.Time
}

// Record records that a request was refused and may return after a time.
func (r *Returns[K]) Record(now time.Time, key K, after time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.from == nil {
		r.from = make(map[K]time.Time)
	}
	from := now.Add(after)
	r.from[key] = from
	r.order = append(r.order, refused[K]{
		key:  key,
		from: from,
	})
	for len(r.order) > maxReturns {
		oldest := r.order[0]
		if r.from[oldest.key].Equal(oldest.from) {
			delete(r.from, oldest.key)
		}
		r.order = r.order[1:]
	}
}

// Take reports whether a request returns that was refused before, and forgets it. One that
// returns earlier than it was told to is like any other.
func (r *Returns[K]) Take(now time.Time, key K) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	from, ok := r.from[key]
	if !ok || now.Before(from) {
		return false
	}
	delete(r.from, key)
	return now.Before(from.Add(returnLife))
}

// RetryAfter returns the time after which a refused request should return. Callers are spread
// over as long again as the wait until there is room, those of the most urgent kind over the
// first half, if there are several kinds. The time is at least shortest and, if that allows
// some spread, at most longest. random is a random number in [0,1).
func RetryAfter(wait, shortest, longest time.Duration, kind Kind, random float64) time.Duration {
	first := max(min(wait, longest/2), shortest)
	span := max(min(2*first, longest), first+first/2) - first
	switch kind {
	case MostUrgent:
		return first + time.Duration(random*float64(span)/2)
	case LessUrgent:
		return first + time.Duration((1+random)*float64(span)/2)
	}
	return first + time.Duration(random*float64(span))
}

// Kind is how urgent a request is among those of its configuration.
type Kind int

// Kinds of requests.
const (
	// OnlyKind means that all requests have the same priority.
	OnlyKind Kind = iota
	// MostUrgent means that no request has a higher priority, and some have a lower one.
	MostUrgent
	// LessUrgent means that some requests have a higher priority.
	LessUrgent
)
