package hostlister

import (
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
)

func do(h http.Handler, method, path, body, tag string) *httptest.ResponseRecorder {
	r := httptest.NewRequest(method, path, strings.NewReader(body))
	if tag != "" {
		r.Header.Set("If-None-Match", tag)
	}
	w := httptest.NewRecorder()
	h.ServeHTTP(w, r)
	return w
}

func TestServedList(t *testing.T) {
	clock := clockwork.NewFakeClock()
	s, err := New(clock, []Host{{
		ID:      "t1",
		Address: "10.0.0.1:9000",
		Role:    "target",
		State:   "live",
	}})
	if err != nil {
		t.Fatal(err)
	}
	steps := []struct {
		name         string
		method       string
		path         string
		body         string
		adminStatus  int
		advance      time.Duration
		listStatus   int
		listContains string
	}{
		{
			name:         "lag",
			method:       http.MethodPost,
			path:         "/faults",
			body:         `{"lag":5000}`,
			adminStatus:  http.StatusNoContent,
			listStatus:   http.StatusOK,
			listContains: `"live"`,
		},
		{
			name:         "change within the lag",
			method:       http.MethodPost,
			path:         "/state",
			body:         `{"id":"t1","state":"leaving"}`,
			adminStatus:  http.StatusNoContent,
			listStatus:   http.StatusOK,
			listContains: `"live"`,
		},
		{
			name:         "after the lag",
			method:       http.MethodGet,
			path:         "/hosts",
			adminStatus:  http.StatusOK,
			advance:      5 * time.Second,
			listStatus:   http.StatusOK,
			listContains: `"leaving"`,
		},
		{
			name:        "unknown host",
			method:      http.MethodPost,
			path:        "/state",
			body:        `{"id":"t2","state":"leaving"}`,
			adminStatus: http.StatusNotFound,
			listStatus:  http.StatusOK,
		},
		{
			name:        "invalid host",
			method:      http.MethodPost,
			path:        "/hosts",
			body:        `[{"id":"t2"}]`,
			adminStatus: http.StatusBadRequest,
			listStatus:  http.StatusOK,
		},
		{
			name:        "outage",
			method:      http.MethodPost,
			path:        "/faults",
			body:        `{"outage":true}`,
			adminStatus: http.StatusNoContent,
			listStatus:  http.StatusServiceUnavailable,
		},
		{
			name:         "garbled",
			method:       http.MethodPost,
			path:         "/faults",
			body:         `{"garbled":true}`,
			adminStatus:  http.StatusNoContent,
			listStatus:   http.StatusOK,
			listContains: "<html>",
		},
		{
			name:         "unknown fault",
			method:       http.MethodPost,
			path:         "/faults",
			body:         `{"fire":true}`,
			adminStatus:  http.StatusBadRequest,
			listStatus:   http.StatusOK,
			listContains: "<html>",
		},
	}
	for _, c := range steps {
		w := do(s.Admin(), c.method, c.path, c.body, "")
		clock.Advance(c.advance)
		r := do(s.Handler(), http.MethodGet, "/hosts", "", "")
		if w.Code != c.adminStatus || r.Code != c.listStatus || !strings.Contains(r.Body.String(), c.listContains) {
			t.Errorf("%s: admin status %d, list status %d, list %s", c.name, w.Code, r.Code, r.Body)
		}
	}
	s.SetFaults(Faults{})
	tag := do(s.Handler(), http.MethodGet, "/hosts", "", "").Header().Get("ETag")
	if got := do(s.Handler(), http.MethodGet, "/hosts", "", tag).Code; got != http.StatusNotModified {
		t.Errorf("request for the unchanged list: status %d, want 304", got)
	}
	do(s.Admin(), http.MethodDelete, "/hosts/t1", "", "")
	if got := do(s.Handler(), http.MethodGet, "/hosts", "", tag); got.Code != http.StatusOK || got.Body.String() != "[]\n" {
		t.Errorf("list after the removal: status %d, body %s, want 200 and []", got.Code, got.Body)
	}
}

func TestNewRefusesInvalidHost(t *testing.T) {
	if _, err := New(clockwork.NewFakeClock(), make([]Host, 1)); !errors.Is(err, ErrInvalidHost) {
		t.Errorf("New() with an empty host: error %v, want ErrInvalidHost", err)
	}
}
