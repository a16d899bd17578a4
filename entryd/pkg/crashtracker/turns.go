package crashtracker

import (
	"context"
	"sync"
)

// Turns lets suspected requests run one after the other for each key: a pool, so that the end of
// a target is not blamed on two of them, or a content, so that each send begins with what the one
// before has shown. The zero value is ready for use. It is safe for
// concurrent use.
type Turns struct {
	mu sync.Mutex
	// taken holds, for each key, a channel that is closed when the turn ends.
	taken map[string]chan struct{}
}

// Take waits for the turn of a key. It returns the function that ends the turn, or nil
// if ctx has ended first.
func (t *Turns) Take(ctx context.Context, key string) (end func()) {
	for {
		t.mu.Lock()
		current := t.taken[key]
		if current == nil {
			if t.taken == nil {
				t.taken = make(map[string]chan struct{})
			}
			turn := make(chan struct{})
			t.taken[key] = turn
			t.mu.Unlock()
			return sync.OnceFunc(func() { t.end(key, turn) })
		}
		t.mu.Unlock()
		select {
		case <-current:
		case <-ctx.Done():
			return nil
		}
	}
}

func (t *Turns) end(key string, turn chan struct{}) {
	t.mu.Lock()
	delete(t.taken, key)
	t.mu.Unlock()
	close(turn)
}
