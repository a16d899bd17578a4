// Package explanationkeeper keeps the explanations of recent answers in memory.
package explanationkeeper

import "sync"

// Keeper keeps the last values by key. Partial answers are kept apart, so
// that complete ones do not displace them. It is safe for concurrent use.
type Keeper[V any] struct {
	mu       sync.Mutex
	complete ring[V]
	partial  ring[V]
}

// New returns a recorder of at most size complete and size partial answers.
func New[V any](size int) *Keeper[V] {
	return &Keeper[V]{
		complete: newRing[V](size),
		partial:  newRing[V](size),
	}
}

// Record keeps a value under a key.
func (r *Keeper[V]) Record(key string, partial bool, value V) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if partial {
		r.partial.put(key, value)
		return
	}
	r.complete.put(key, value)
}

// Find returns the value under a key.
func (r *Keeper[V]) Find(key string) (V, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if v, ok := r.partial.values[key]; ok {
		return v, true
	}
	v, ok := r.complete.values[key]
	return v, ok
}

type ring[V any] struct {
	keys   []string
	next   int
	values map[string]V
}

func newRing[V any](size int) ring[V] {
	return ring[V]{
		keys:   make([]string, size),
		values: make(map[string]V, size),
	}
}

func (r *ring[V]) put(key string, value V) {
	if _, ok := r.values[key]; !ok {
		delete(r.values, r.keys[r.next])
		r.keys[r.next] = key
		r.next = (r.next + 1) % len(r.keys)
	}
	r.values[key] = value
}
