// Package explanationkeeper keeps the explanations of recent answers in memory.
package explanationkeeper

import "sync"

// Keeper keeps the latest values by key. Values of partial answers are stored
// separately, so that those of complete answers do not evict them. It is safe for
// concurrent use.
type Keeper[V any] struct {
	mu       sync.Mutex
	complete ring[V]
	partial  ring[V]
}

// New returns a keeper of the values of at most size complete and size partial
// answers. The size must be positive.
func New[V any](size int) *Keeper[V] {
	return &Keeper[V]{
		complete: newRing[V](size),
		partial:  newRing[V](size),
	}
}

// Add stores a value under a key, and evicts the oldest value if there are too many.
func (k *Keeper[V]) Add(key string, partial bool, value V) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if partial {
		k.partial.put(key, value)
		return
	}
	k.complete.put(key, value)
}

// Find returns the value under a key and whether there is one.
func (k *Keeper[V]) Find(key string) (V, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if v, ok := k.partial.values[key]; ok {
		return v, true
	}
	v, ok := k.complete.values[key]
	return v, ok
}

// ring is a map that evicts the oldest key when it is full.
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
