package httpsender

import (
	"context"
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

// TestConnectionsAreCounted guards against a count of connections that drifts, so that the bound means
// nothing: connections that a check of the target has opened count too, and none counts once closed.
func TestConnectionsAreCounted(t *testing.T) {
	s := newTarget(t, func(_ int, r *http.Request) (string, bool) {
		return response(r.Header.Get("Request-Id"), "", "x"), false
	})
	var shared Connections
	c := s.client(2)
	c.Share(&shared)
	check := func(step string, want int) {
		t.Helper()
		if shared.Open() != want || c.Open() != want {
			t.Errorf("%s: %d connections are counted, the client has %d, want %d", step, shared.Open(), c.Open(), want)
		}
	}
	nc, err := c.dial(context.Background(), "tcp", c.address)
	if err != nil {
		t.Fatal(err)
	}
	c.keep(nc)
	check("after a check", 1)
	if _, err := do(c, request("a")); err != nil {
		t.Fatal(err)
	}
	check("after a request", 1)
	c.Close()
	check("after the end of the client", 0)
}
