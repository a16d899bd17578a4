package httphandler

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"google.golang.org/protobuf/types/known/durationpb"

	"plantaincleat/entryd/pkg/admitter"
	"plantaincleat/entryd/pkg/coordinator"
	"plantaincleat/entryd/pkg/quarantiner"
	"plantaincleat/tier/gen/config"
	"plantaincleat/tier/gen/peer"
	"plantaincleat/tier/gen/target"
	"plantaincleat/tier/pkg/cursorencoder"
	"plantaincleat/tier/pkg/indexer"
)

const (
	goodSearch   = `{"collection":"entrants","version":"v1","class":"lookup","terms":["ann"]}`
	goodMutation = `{"collection":"entrants","version":"v1","key":"ann-1","text":"night"}`
	// secretDigest is the SHA-256 of "secret".
	secretDigest = "2bb80d537b1da3e38bd30361aa855686bde0eacd7162fef6a25fe97bf527a25b"
)

// fakeDaemon implements all services that a handler uses.
type fakeDaemon struct {
	index    *indexer.Index
	plan     quarantiner.Plan
	admitErr error
	runErr   error
	searched *coordinator.Request
	mutated  *Mutation
}

func (f *fakeDaemon) Index() *indexer.Index { return f.index }

func (f *fakeDaemon) Run(_ context.Context, r *coordinator.Request) (*coordinator.Result, error) {
	f.searched = r
	if f.runErr != nil {
		return nil, f.runErr
	}
	s, err := f.index.ResolveSnapshot(r.Collection, r.Version, r.Snapshot)
	return &coordinator.Result{
		Snapshot: s,
		Covered:  []string{"e0"},
	}, err
}

func (f *fakeDaemon) Mutate(_ context.Context, m *Mutation) (*target.Outcome, error) {
	f.mutated = m
	return &target.Outcome{}, f.runErr
}

func (f *fakeDaemon) Admit(context.Context, string, string, time.Time) (func(admitter.Result), error) {
	return func(admitter.Result) {}, f.admitErr
}

func (f *fakeDaemon) Plan(time.Time, uint64) quarantiner.Plan { return f.plan }

func (f *fakeDaemon) RecordCompletion(uint64) {}

func newFake() *fakeDaemon {
	class := &config.Class{
		Name:     "lookup",
		Deadline: durationpb.New(time.Second),
	}
	return &fakeDaemon{
		index: indexer.New(&config.Accepted{
			Head: &config.Head{
				Revision: 3,
			},
			Config: &config.Config{
				Targets: []*config.Target{{
					Id: "t1",
				}},
				Collections: []*config.Collection{{
					Name: "entrants",
					Versions: []*config.Version{{
						Name: "v1",
						Snapshots: []*config.Snapshot{{
							Id: "s1",
							Shards: []*config.Shard{{
								Id:       "e0",
								Replicas: []string{"t1"},
							}},
						}},
					}},
				}},
				Institutions: []*config.Institution{{
					Name:    "club",
					Classes: []*config.Class{class},
				}, {
					Name:    "league",
					Tokens:  []string{secretDigest},
					Classes: []*config.Class{class},
				}},
			},
		}),
	}
}

func (f *fakeDaemon) handler(clock clockwork.Clock) *Handler {
	return New(Options{
		Configs:    f,
		Searcher:   f,
		Mutator:    f,
		Admitter:   f,
		Quarantine: f,
		Clock:      clock,
	})
}

func cursor(snapshot, class string) string {
	return cursorencoder.Encode(&peer.Cursor{
		Collection: "entrants",
		Version:    "v1",
		Snapshot:   snapshot,
		Query: cursorencoder.QueryHash("entrants", "v1", class, &target.Query{
			Terms: []string{"ann"},
		}),
	})
}

func withCursor(text string) string {
	return strings.TrimSuffix(goodSearch, "}") + `,"cursor":"` + text + `"}`
}

// requestCase is one request and the expected refusal. An empty kind means that no
// refusal is expected.
type requestCase struct {
	name    string
	path    string
	method  string
	headers map[string]string
	body    string
	prepare func(f *fakeDaemon)

	kind       Kind
	status     int
	field      string
	execution  Execution
	retryAfter string
	allow      string
}

func searchCases() []requestCase {
	long := `{"prefix":"` + strings.Repeat("x", maxBodyBytes) + `"}`
	words := strings.Repeat(`"w",`, maxTerms) + `"w"`
	return []requestCase{
		{name: "answer", status: 200},
		{name: "oversized", body: long, kind: KindOversized, status: 413, field: "body"},
		{name: "empty body", body: " ", kind: KindMalformed, status: 400, field: "body"},
		{name: "malformed JSON", body: `{"collection":`, kind: KindMalformed, status: 400, field: "body"},
		{name: "array", body: `[]`, kind: KindMalformed, status: 400, field: "body"},
		{name: "null", body: `null`, kind: KindMalformed, status: 400, field: "collection"},
		{name: "two objects", body: goodSearch + goodSearch, kind: KindMalformed, status: 400, field: "body"},
		{name: "extra closing bracket", body: goodSearch + "}", kind: KindMalformed, status: 400, field: "body"},
		{name: "trailing white space", body: goodSearch + " \n", status: 200},
		{name: "unknown field", body: `{"colection":"entrants"}`, kind: KindMalformed, status: 400, field: "colection"},
		{name: "wrong type", body: `{"limit":"ten"}`, kind: KindMalformed, status: 400, field: "limit"},
		{name: "wrong type in a list", body: `{"terms":["a",1]}`, kind: KindMalformed, status: 400, field: "terms"},
		{name: "fraction", body: `{"limit":1.5}`, kind: KindMalformed, status: 400, field: "limit"},
		{name: "no version", body: `{"collection":"entrants","class":"lookup"}`, kind: KindMalformed, status: 400, field: "version"},
		{name: "no class", body: `{"collection":"entrants","version":"v1"}`, kind: KindMalformed, status: 400, field: "class"},
		{name: "negative limit", body: `{"collection":"entrants","version":"v1","class":"lookup","limit":-1}`, kind: KindMalformed, status: 400, field: "limit"},
		{name: "limit too high", body: `{"collection":"entrants","version":"v1","class":"lookup","limit":1001}`, kind: KindMalformed, status: 400, field: "limit"},
		{name: "too many terms", body: `{"collection":"entrants","version":"v1","class":"lookup","terms":[` + words + `]}`, kind: KindMalformed, status: 400, field: "terms"},
		{name: "unknown collection", body: `{"collection":"x","version":"v1","class":"lookup"}`, kind: KindUnknownName, status: 404, field: "collection"},
		{name: "unknown version", body: `{"collection":"entrants","version":"v9","class":"lookup"}`, kind: KindUnknownName, status: 404, field: "version"},
		{name: "unknown class", body: `{"collection":"entrants","version":"v1","class":"x"}`, kind: KindUnknownName, status: 404, field: "class"},
		{name: "no institution", headers: map[string]string{"Institution": ""}, kind: KindMalformed, status: 400, field: "Institution"},
		{name: "unknown institution", headers: map[string]string{"Institution": "x"}, kind: KindCredentials, status: 401, field: "Institution"},
		{name: "no token", headers: map[string]string{"Institution": "league"}, kind: KindCredentials, status: 401, field: "Authorization"},
		{name: "bad token", headers: map[string]string{"Institution": "league", "Authorization": "Bearer guess"}, kind: KindCredentials, status: 401, field: "Authorization"},
		{name: "other scheme", headers: map[string]string{"Institution": "league", "Authorization": "Basic secret"}, kind: KindCredentials, status: 401, field: "Authorization"},
		{name: "good token", headers: map[string]string{"Institution": "league", "Authorization": "Bearer secret"}, status: 200},
		{name: "deadline zero", headers: map[string]string{"Deadline": "0"}, kind: KindMalformed, status: 400, field: "Deadline"},
		{name: "deadline in words", headers: map[string]string{"Deadline": "1s"}, kind: KindMalformed, status: 400, field: "Deadline"},
		{name: "deadline too long", headers: map[string]string{"Deadline": "60001"}, kind: KindMalformed, status: 400, field: "Deadline"},
		{name: "longest deadline", headers: map[string]string{"Deadline": "60000"}, status: 200},
		{name: "malformed cursor", body: withCursor("AAAA"), kind: KindMalformed, status: 400, field: "cursor"},
		{name: "cursor", body: withCursor(cursor("s1", "lookup")), status: 200},
		{name: "cursor of another query", body: withCursor(cursor("s1", "other")), kind: KindMalformed, status: 400, field: "cursor"},
		{name: "cursor of a dropped snapshot", body: withCursor(cursor("s0", "lookup")), kind: KindGone, status: 410, field: "cursor"},
		{name: "unready", prepare: func(f *fakeDaemon) { f.index = indexer.New(nil) }, kind: KindUnready, status: 503, retryAfter: "1"},
		{name: "rate", prepare: func(f *fakeDaemon) { f.admitErr = refused(KindRate, 1100*time.Millisecond) }, kind: KindRate, status: 429, retryAfter: "2"},
		{name: "concurrency", prepare: func(f *fakeDaemon) { f.admitErr = refused(KindConcurrency, time.Millisecond) }, kind: KindConcurrency, status: 429, retryAfter: "1"},
		{name: "overload", prepare: func(f *fakeDaemon) { f.admitErr = refused(KindOverload, time.Second) }, kind: KindOverload, status: 503, retryAfter: "1"},
		{name: "deadline cannot be met", prepare: func(f *fakeDaemon) { f.admitErr = refused(KindDeadline, 0) }, kind: KindDeadline, status: 503},
		{name: "quarantined", prepare: quarantineAll, kind: KindQuarantined, status: 422, retryAfter: "60"},
		{name: "quarantined during execution", prepare: func(f *fakeDaemon) { f.runErr = coordinator.ErrQuarantined }, kind: KindQuarantined, status: 422, execution: ExecutionUnknown},
		{name: "snapshot dropped during execution", prepare: func(f *fakeDaemon) { f.runErr = coordinator.ErrSnapshotGone }, kind: KindGone, status: 410, field: "cursor"},
		{name: "other error", prepare: func(f *fakeDaemon) { f.runErr = io.ErrUnexpectedEOF }, kind: KindInternal, status: 500, execution: ExecutionUnknown},
		{name: "unknown path", path: "/v2/search", kind: KindUnknownPath, status: 404},
		{name: "root", path: "/", method: http.MethodGet, kind: KindUnknownPath, status: 404},
		{name: "other method", method: http.MethodGet, kind: KindUnsupportedMethod, status: 405, allow: "POST"},
		{name: "other method to mutate", path: "/v1/mutate", method: http.MethodPut, kind: KindUnsupportedMethod, status: 405, allow: "POST"},
	}
}

func mutationCases() []requestCase {
	key := func(name, value string) map[string]string {
		return map[string]string{"Request-Key": "k", "Request-Attempt": "1", name: value}
	}
	return []requestCase{
		{name: "outcome", headers: key("", ""), status: 200},
		{name: "no key", headers: key("Request-Key", ""), kind: KindMalformed, status: 400, field: "Request-Key"},
		{name: "attempt zero", headers: key("Request-Attempt", "0"), kind: KindMalformed, status: 400, field: "Request-Attempt"},
		{name: "attempt in words", headers: key("Request-Attempt", "first"), kind: KindMalformed, status: 400, field: "Request-Attempt"},
		{name: "attempt too high", headers: key("Request-Attempt", "4294967296"), kind: KindMalformed, status: 400, field: "Request-Attempt"},
		{name: "bad deadline", headers: key("Deadline", "-5"), kind: KindMalformed, status: 400, field: "Deadline"},
		{name: "no record key", headers: key("", ""), body: `{"collection":"entrants","version":"v1"}`, kind: KindMalformed, status: 400, field: "key"},
		{name: "field of a search body", headers: key("", ""), body: goodSearch, kind: KindMalformed, status: 400, field: "class"},
		{name: "unknown version", headers: key("", ""), body: `{"collection":"entrants","version":"v9","key":"a"}`, kind: KindUnknownName, status: 404, field: "version"},
		{name: "unknown version of a later attempt", headers: key("Request-Attempt", "2"), body: `{"collection":"entrants","version":"v9","key":"a"}`, kind: KindUnknownName, status: 404, field: "version", execution: ExecutionUnknown},
		{name: "unready", headers: key("", ""), prepare: func(f *fakeDaemon) { f.index = indexer.New(nil) }, kind: KindUnready, status: 503, retryAfter: "1"},
		{name: "rate", headers: key("", ""), prepare: func(f *fakeDaemon) { f.admitErr = refused(KindRate, time.Second) }, kind: KindRate, status: 429, retryAfter: "1"},
		{name: "rate of a later attempt", headers: key("Request-Attempt", "2"), prepare: func(f *fakeDaemon) { f.admitErr = refused(KindRate, time.Second) }, kind: KindRate, status: 429, retryAfter: "1", execution: ExecutionUnknown},
		{name: "refused by the dispatcher", headers: key("", ""), prepare: func(f *fakeDaemon) { f.runErr = refused(KindMismatch, 0) }, kind: KindMismatch, status: 409},
	}
}

func refused(kind Kind, after time.Duration) *Refusal {
	return &Refusal{
		Kind:       kind,
		Execution:  NotExecuted,
		RetryAfter: after,
	}
}

func quarantineAll(f *fakeDaemon) {
	f.plan = quarantiner.Plan{
		Mode:    quarantiner.Refused,
		Expires: clockwork.NewFakeClock().Now().Add(time.Minute),
	}
}

func TestSearchRequests(t *testing.T) { runRequestCases(t, "/v1/search", goodSearch, searchCases()) }

func TestMutationRequests(t *testing.T) {
	runRequestCases(t, "/v1/mutate", goodMutation, mutationCases())
}

func runRequestCases(t *testing.T, path, body string, cases []requestCase) {
	for _, e := range cases {
		t.Run(e.name, func(t *testing.T) {
			if e.path == "" {
				e.path = path
			}
			if e.body == "" {
				e.body = body
			}
			e.check(t)
		})
	}
}

func (e *requestCase) check(t *testing.T) {
	t.Helper()
	f := newFake()
	if e.prepare != nil {
		e.prepare(f)
	}
	if e.method == "" {
		e.method = http.MethodPost
	}
	r := httptest.NewRequest(e.method, e.path, strings.NewReader(e.body))
	r.Header.Set("Institution", "club")
	r.Header.Set("Request-Id", "r1")
	for name, value := range e.headers {
		r.Header.Set(name, value)
	}
	w := httptest.NewRecorder()
	f.handler(clockwork.NewFakeClock()).ServeHTTP(w, r)
	var got refusalBody
	if err := json.Unmarshal(w.Body.Bytes(), &got); err != nil {
		t.Fatalf("body %q: %v", w.Body, err)
	}
	if e.execution == "" && e.kind != "" {
		e.execution = NotExecuted
	}
	want := fmt.Sprintf("status %d kind %q field %q execution %q retry-after %q allow %q", e.status, e.kind, e.field, e.execution, e.retryAfter, e.allow)
	seen := fmt.Sprintf("status %d kind %q field %q execution %q retry-after %q allow %q", w.Code, got.Error.Kind, got.Error.Field, got.Error.Execution, w.Header().Get("Retry-After"), w.Header().Get("Allow"))
	if seen != want {
		t.Errorf("%s, want %s: %s", seen, want, w.Body)
	}
	if got.Request != "r1" {
		t.Errorf("request id %q, want r1", got.Request)
	}
}
