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
		// The first probe may have started before the change. The arrival of the
		// third probe shows that the second one has ended.
		for range 3 {
			<-probed
			clock.Advance(probeInterval)
		}
		urls := map[string]int{}
		for range 10 {
			urls[b.Next()]++
		}
		if got := urls["http://127.0.0.1:1"]; up && got != 5 || !up && got != 0 {
			t.Errorf("ready %v: %d of 10 requests went to the probed daemon", up, got)
		}
	}
}

func TestMarkUnreachable(t *testing.T) {
	b, err := New([]string{"http://127.0.0.1:1=http://127.0.0.1:1/ready", "http://127.0.0.1:2=http://127.0.0.1:2/ready"}, nil)
	if err != nil {
		t.Fatal(err)
	}
	if !b.MarkUnreachable("http://127.0.0.1:1") || b.Next() != "http://127.0.0.1:2" || b.Next() != "http://127.0.0.1:2" {
		t.Error("an unreachable daemon is still selected, or no other daemon is reported as ready")
	}
	if b.MarkUnreachable("http://127.0.0.1:2") {
		t.Error("MarkUnreachable() = true although no daemon is ready")
	}
	if b.Next() == "" {
		t.Error("Next() = \"\" although it must select a daemon when none is ready")
	}
}

func TestNewRejectsInvalidDaemons(t *testing.T) {
	for _, daemons := range [][]string{nil, {"127.0.0.1:1"}} {
		if _, err := New(daemons, nil); err == nil {
			t.Errorf("New(%v) succeeded, want an error", daemons)
		}
	}
}
