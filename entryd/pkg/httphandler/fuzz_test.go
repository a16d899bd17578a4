package httphandler

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/jonboulle/clockwork"
)

// FuzzSearch checks that any search is answered or refused as docs/API.md says, and
// that accepted searches are within the limits.
func FuzzSearch(f *testing.F) {
	for _, e := range searchCases() {
		f.Add(e.body, e.headers["Institution"], e.headers["Deadline"], e.headers["Authorization"])
	}
	f.Add(goodSearch, "club", "100", "")
	f.Fuzz(func(t *testing.T, body, institution, deadline, authorization string) {
		c := newFake()
		w := send(t, c, "/v1/search", body, map[string]string{
			"Institution":   institution,
			"Deadline":      deadline,
			"Authorization": authorization,
		})
		if w.Code != http.StatusOK {
			return
		}
		q := c.searched.Query
		if q.GetLimit() < 1 || q.GetLimit() > maxLimit || len(q.GetTerms()) > maxTerms || len(body) > maxBodyBytes {
			t.Errorf("search outside the limits accepted: %v", c.searched)
		}
	})
}

// FuzzMutate checks that any mutation is answered or refused as docs/API.md says, and
// that accepted mutations have a request key and a record key.
func FuzzMutate(f *testing.F) {
	for _, e := range mutationCases() {
		f.Add(e.body, e.headers["Request-Key"], e.headers["Request-Attempt"], e.headers["Deadline"])
	}
	f.Add(goodMutation, "k", "1", "100")
	f.Fuzz(func(t *testing.T, body, key, attempt, deadline string) {
		c := newFake()
		w := send(t, c, "/v1/mutate", body, map[string]string{
			"Institution":     "club",
			"Request-Key":     key,
			"Request-Attempt": attempt,
			"Deadline":        deadline,
		})
		if w.Code == http.StatusOK && (c.mutated.Key == "" || c.mutated.Record.GetKey() == "") {
			t.Errorf("mutation without a key accepted: %v", c.mutated)
		}
	})
}

// send sends a request. If it is refused, send checks that status, kind and execution
// are valid and that the kind is not internal.
func send(t *testing.T, c *fakeDaemon, path, body string, headers map[string]string) *httptest.ResponseRecorder {
	t.Helper()
	r := httptest.NewRequest(http.MethodPost, path, strings.NewReader(body))
	for name, value := range headers {
		r.Header.Set(name, value)
	}
	w := httptest.NewRecorder()
	c.handler(clockwork.NewFakeClock()).ServeHTTP(w, r)
	if w.Code == http.StatusOK {
		return w
	}
	var got refusalBody
	if err := json.Unmarshal(w.Body.Bytes(), &got); err != nil {
		t.Fatalf("status %d: body %q: %v", w.Code, w.Body, err)
	}
	if statuses[got.Error.Kind] != w.Code || got.Error.Kind == KindInternal {
		t.Errorf("status %d does not match kind %q or the kind is internal: %s", w.Code, got.Error.Kind, got.Error.Message)
	}
	if got.Error.Execution != NotExecuted && got.Error.Execution != ExecutionUnknown {
		t.Errorf("unknown execution value %q", got.Error.Execution)
	}
	return w
}
