package hostwatcher

import (
	"errors"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"

	"github.com/jonboulle/clockwork"
)

const (
	daemonA        = `{"id":"a","address":"10.0.0.1:7000","datacentre":"x","role":"daemon","state":"live"}`
	daemonB        = `{"id":"b","address":"10.0.0.2:7000","datacentre":"x","role":"daemon","state":"leaving"}`
	leavingTargetT = `{"id":"t","address":"10.0.1.1:9000","datacentre":"x","role":"target","state":"leaving"}`
	liveTargetT    = `{"id":"t","address":"10.0.1.1:9000","datacentre":"x","role":"target","state":"live"}`
)

func TestParse(t *testing.T) {
	cases := []struct {
		name    string
		body    string
		hosts   int
		skipped int
		err     error
	}{
		{
			name:  "valid list",
			body:  "[" + daemonA + "," + leavingTargetT + "]",
			hosts: 2,
		},
		{
			name: "empty",
			body: "[]",
		},
		{
			name:    "bad entries",
			body:    `[7,{"id":"z"},{"id":"z","address":"host:1","role":"daemon","state":"live"},` + daemonA + `]`,
			hosts:   1,
			skipped: 3,
		},
		{
			name: "HTML page of a proxy",
			body: "<html>502</html>",
			err:  ErrNotHostList,
		},
		{
			name:    "list of other objects",
			body:    `[{"name":"z"}]`,
			skipped: 1,
			err:     ErrNotHostList,
		},
		{
			name: "truncated",
			body: "[" + daemonA,
			err:  ErrNotHostList,
		},
		{
			name: "too large",
			body: "[" + strings.Repeat(" ", MaxBytes) + "]",
			err:  ErrTooLarge,
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			hosts, skipped, _, err := parse(strings.NewReader(c.body))
			if len(hosts) != c.hosts || skipped != c.skipped || !errors.Is(err, c.err) {
				t.Errorf("%d hosts, %d skipped, error %v; want %d, %d, %v", len(hosts), skipped, err, c.hosts, c.skipped, c.err)
			}
		})
	}
}

func FuzzParse(f *testing.F) {
	f.Add("[" + daemonA + "," + leavingTargetT + "]")
	f.Fuzz(func(t *testing.T, body string) {
		hosts, _, _, _ := parse(strings.NewReader(body))
		for _, h := range hosts {
			if !h.valid() {
				t.Errorf("parse returned an invalid entry %v", h)
			}
		}
	})
}

// service is a host list service that answers with a body and a status, and with status
// 304 to a conditional request if the status would be 200.
type service struct {
	body     string
	status   int
	requests int
}

func (s *service) RoundTrip(r *http.Request) (*http.Response, error) {
	s.requests++
	w := httptest.NewRecorder()
	w.Header().Set("ETag", `"1"`)
	if s.status == http.StatusOK && r.Header.Get("If-None-Match") != "" {
		s.status = http.StatusNotModified
	}
	w.WriteHeader(s.status)
	_, _ = w.WriteString(s.body)
	return w.Result(), nil
}

func TestWatcher(t *testing.T) {
	s := &service{
		body:   "[" + daemonA + "," + daemonB + "," + leavingTargetT + "]",
		status: http.StatusInternalServerError,
	}
	shouldPoll := true
	var seeds, draining []string
	clock := clockwork.NewFakeClock()
	watcher := New(Options{
		URL:        "http://10.9.9.9/hosts",
		Seeds:      []string{"10.0.0.9:7000"},
		ShouldPoll: func() bool { return shouldPoll },
		OnSeeds:    func(s []string) { seeds = s },
		OnDraining: func(t string) { draining = append(draining, t) },
		Client: &http.Client{
			Transport: s,
		},
		Clock: clock,
	})
	step := func(name string, status int, body string, wantSeeds int, wantDraining bool) {
		t.Helper()
		s.status, draining = status, nil
		if body != "" {
			s.body, watcher.etag = body, ""
		}
		clock.Advance(pollInterval)
		watcher.update(t.Context())
		if len(seeds) != wantSeeds || slices.Contains(draining, "t") != wantDraining {
			t.Errorf("%s: seeds %v, want %d; draining %v, want target t in it: %v", name, seeds, wantSeeds, draining, wantDraining)
		}
	}
	step("outage at the start", http.StatusInternalServerError, "", 1, false)
	step("first list", http.StatusOK, "", 2, true)
	step("not modified", http.StatusOK, "", 2, true)
	step("outage", http.StatusInternalServerError, "", 2, true)
	step("answer that is not a list", http.StatusOK, "<html>", 2, true)
	step("target no longer listed", http.StatusOK, "[]", 2, true)
	step("live again", http.StatusOK, "["+liveTargetT+"]", 2, false)
	step("leaving again", http.StatusOK, "["+leavingTargetT+"]", 2, true)
	shouldPoll = false
	requestsBefore := s.requests
	step("last report after polling ended", http.StatusOK, "", 2, true)
	step("no report after polling ended", http.StatusOK, "", 2, false)
	if s.requests != requestsBefore {
		t.Error("polled although ShouldPoll returned false")
	}
	if watcher.Errors() != 3 || watcher.Polls() != 8 {
		t.Errorf("%d polls and %d errors, want 8 and 3", watcher.Polls(), watcher.Errors())
	}
}
