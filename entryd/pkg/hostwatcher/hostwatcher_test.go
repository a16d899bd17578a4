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
	daemonA = `{"id":"a","address":"10.0.0.1:7000","datacentre":"x","role":"daemon","state":"live"}`
	daemonB = `{"id":"b","address":"10.0.0.2:7000","datacentre":"x","role":"daemon","state":"leaving"}`
	targetT = `{"id":"t","address":"10.0.1.1:9000","datacentre":"x","role":"target","state":"leaving"}`
	targetU = `{"id":"t","address":"10.0.1.1:9000","datacentre":"x","role":"target","state":"live"}`
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
			name:  "whole",
			body:  "[" + daemonA + "," + targetT + "]",
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
			name: "page of a proxy",
			body: "<html>502</html>",
			err:  ErrGarbled,
		},
		{
			name:    "other list",
			body:    `[{"name":"z"}]`,
			skipped: 1,
			err:     ErrGarbled,
		},
		{
			name: "cut short",
			body: "[" + daemonA,
			err:  ErrGarbled,
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
				t.Errorf("%d hosts, %d skipped, error %v", len(hosts), skipped, err)
			}
		})
	}
}

func FuzzParse(f *testing.F) {
	f.Add("[" + daemonA + "," + targetT + "]")
	f.Fuzz(func(t *testing.T, body string) {
		hosts, _, _, _ := parse(strings.NewReader(body))
		for _, h := range hosts {
			if !h.valid() {
				t.Errorf("unusable entry %v", h)
			}
		}
	})
}

// service answers with its body, or fails while the body is empty.
type service struct {
	body   string
	status int
	asked  int
}

func (s *service) RoundTrip(r *http.Request) (*http.Response, error) {
	s.asked++
	w := httptest.NewRecorder()
	w.Header().Set("ETag", `"1"`)
	if s.status == http.StatusOK && r.Header.Get("If-None-Match") != "" {
		s.status = http.StatusNotModified
	}
	w.WriteHeader(s.status)
	_, _ = w.WriteString(s.body)
	return w.Result(), nil
}

func TestLister(t *testing.T) {
	s := &service{
		body:   "[" + daemonA + "," + daemonB + "," + targetT + "]",
		status: http.StatusInternalServerError,
	}
	needed := true
	var seeds, leaving []string
	clock := clockwork.NewFakeClock()
	l := New(Options{
		URL:       "http://10.9.9.9/hosts",
		Seeds:     []string{"10.0.0.9:7000"},
		Needed:    func() bool { return needed },
		OnSeeds:   func(s []string) { seeds = s },
		OnLeaving: func(t string) { leaving = append(leaving, t) },
		Client: &http.Client{
			Transport: s,
		},
		Clock: clock,
	})
	step := func(name string, status int, body string, wantSeeds int, wantLeaving bool) {
		t.Helper()
		s.status, leaving = status, nil
		if body != "" {
			s.body, l.tag = body, ""
		}
		clock.Advance(interval)
		l.round(t.Context())
		if len(seeds) != wantSeeds || slices.Contains(leaving, "t") != wantLeaving {
			t.Errorf("%s: seeds %v, leaving %v", name, seeds, leaving)
		}
	}
	step("outage at the start", http.StatusInternalServerError, "", 1, false)
	step("first list", http.StatusOK, "", 2, true)
	step("not modified", http.StatusOK, "", 2, true)
	step("outage", http.StatusInternalServerError, "", 2, true)
	step("garbage", http.StatusOK, "<html>", 2, true)
	step("absent", http.StatusOK, "[]", 2, true)
	step("live again", http.StatusOK, "["+targetU+"]", 2, false)
	step("leaving again", http.StatusOK, "["+targetT+"]", 2, true)
	needed = false
	asked := s.asked
	step("last word", http.StatusOK, "", 2, true)
	step("not needed", http.StatusOK, "", 2, false)
	if s.asked != asked {
		t.Error("polled without need")
	}
	if l.Errors() != 3 || l.Polls() != 8 {
		t.Errorf("%d polls, %d errors", l.Polls(), l.Errors())
	}
}
