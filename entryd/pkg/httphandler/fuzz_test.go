package httphandler

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/jonboulle/clockwork"
)

// FuzzSearch checks that any request is answered or refused as docs/API.md says,
// and that what passes keeps the limits.
func FuzzSearch(f *testing.F) {
	for _, e := range searchEdges() {
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
			t.Errorf("passed: %v", c.searched)
		}
	})
}

// FuzzMutate is FuzzSearch for mutations.
func FuzzMutate(f *testing.F) {
	for _, e := range mutationEdges() {
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
			t.Errorf("passed: %v", c.mutated)
		}
	})
}

// send sends a request and checks the form of the answer.
func send(t *testing.T, c *fake, path, body string, headers map[string]string) *httptest.ResponseRecorder {
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
		t.Errorf("status %d with kind %q: %s", w.Code, got.Error.Kind, got.Error.Message)
	}
	if got.Error.Run != RunNo && got.Error.Run != RunUnknown {
		t.Errorf("run %q", got.Error.Run)
	}
	return w
}
