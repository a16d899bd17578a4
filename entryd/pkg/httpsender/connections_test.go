package httpsender

import (
	"net/http"
	"sync"
	"testing"
	"time"
)

// TestSharedConnections guards against a daemon that runs out of descriptors because of its connections
// to many targets: beyond the bound each client opens one, and its other requests wait.
func TestSharedConnections(t *testing.T) {
	const targets, bound = 6, 4
	shared := &Connections{Max: bound}
	var wg sync.WaitGroup
	var servers []*target
	for range targets {
		s := newTarget(t, func(_ int, r *http.Request) (string, bool) {
			time.Sleep(10 * time.Millisecond)
			return response(r.Header.Get("Request-Id"), "", "x"), false
		})
		servers = append(servers, s)
		c := s.client(4)
		c.Share(shared)
		for range 4 {
			wg.Go(func() {
				if _, err := do(c, request("a")); err != nil {
					t.Error(err)
				}
			})
		}
	}
	wg.Wait()
	total := 0
	for _, s := range servers {
		_, n := s.counts()
		total += n
	}
	if limit := bound + targets - 1; total > limit || shared.Open() != total {
		t.Errorf("%d connections were opened, %d are counted, want at most %d", total, shared.Open(), limit)
	}
}
