package balancer

import (
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"github.com/jonboulle/clockwork"
)

func TestNextSkipsUnreadyDaemons(t *testing.T) {
	var ready atomic.Bool
	probed := make(chan struct{})
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !ready.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		select {
		case probed <- struct{}{}:
		case <-r.Context().Done():
		}
	}))
	t.Cleanup(s.Close)
	clock := clockwork.NewFakeClock()
	b, err := New([]string{"http://127.0.0.1:1=" + s.URL, "http://127.0.0.1:2"}, clock)
	if err != nil {
		t.Fatal(err)
	}
	go b.Run(t.Context())
	for _, up := range []bool{false, true} {
		ready.Store(up)
		// The first probe may be older than the change. The arrival of the
		// third shows that the second has ended.
		for range 3 {
			<-probed
			clock.Advance(probeInterval)
		}
		urls := map[string]int{}
		for range 10 {
			urls[b.Next()]++
		}
		if got := urls["http://127.0.0.1:1"]; up && got != 5 || !up && got != 0 {
			t.Errorf("ready %v: %d of 10 requests went to the daemon", up, got)
		}
	}
}

func TestMarkUnreachable(t *testing.T) {
	b, err := New([]string{"http://127.0.0.1:1=http://127.0.0.1:1/ready", "http://127.0.0.1:2=http://127.0.0.1:2/ready"}, nil)
	if err != nil {
		t.Fatal(err)
	}
	if !b.MarkUnreachable("http://127.0.0.1:1") || b.Next() != "http://127.0.0.1:2" || b.Next() != "http://127.0.0.1:2" {
		t.Error("an unreachable daemon stays in turn")
	}
	if b.MarkUnreachable("http://127.0.0.1:2") {
		t.Error("another daemon is tried when none is left")
	}
	if b.Next() == "" {
		t.Error("no daemon when none is ready")
	}
}

func TestNewRejectsInvalidDaemons(t *testing.T) {
	for _, daemons := range [][]string{nil, {"127.0.0.1:1"}} {
		if _, err := New(daemons, nil); err == nil {
			t.Errorf("New(%v) did not fail", daemons)
		}
	}
}
