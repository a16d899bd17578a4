// Package httphandler serves callers over HTTP and JSON.
package httphandler

import (
	"context"
	"net/http"
	"time"

	"github.com/google/uuid"
	"github.com/jonboulle/clockwork"

	"plantaincleat/entryd/pkg/admitter"
	"plantaincleat/entryd/pkg/coordinator"
	"plantaincleat/entryd/pkg/explanationkeeper"
	"plantaincleat/entryd/pkg/gatherer"
	"plantaincleat/entryd/pkg/quarantiner"
	"plantaincleat/tier/gen/target"
)

// Searcher answers queries.
type Searcher interface {
	Run(ctx context.Context, r *coordinator.Request) (*coordinator.Result, error)
}

// Mutation is one admitted non-idempotent request.
type Mutation struct {
	Key string
	// Attempt numbers the sends of the key from 1. Zero is not numbered.
	Attempt     uint32
	Institution string
	Collection  string
	Version     string
	Record      *target.Record
	Deadline    time.Time
	Fingerprint uint64
}

// Mutator runs non-idempotent requests at most once. Its errors are *Refusal
// where the outcome is not known or the request was not run.
type Mutator interface {
	Mutate(ctx context.Context, m *Mutation) (*target.Outcome, error)
}

// Admitter decides whether a request may start. Its errors are *Refusal. The
// returned function ends the request.
type Admitter interface {
	Admit(ctx context.Context, institution, class string, deadline time.Time) (func(admitter.Result), error)
}

// Quarantine tells which requests are refused or must run with care.
type Quarantine interface {
	// Plan tells how to run requests with a fingerprint.
	Plan(now time.Time, fingerprint uint64) quarantiner.Plan
	// RecordCompletion remembers that a request was answered by all of its shards.
	RecordCompletion(fingerprint uint64)
}

// Options are the collaborators of a Handler.
type Options struct {
	ID         string
	DataCentre string
	Configs    gatherer.Configs
	Searcher   Searcher
	Mutator    Mutator
	Admitter   Admitter
	Quarantine Quarantine
	Clock      clockwork.Clock
	Recorder   *explanationkeeper.Keeper[*Explanation]
}

// Handler serves callers. It is safe for concurrent use.
type Handler struct {
	Options
	mux    *http.ServeMux
	counts Counts
}

// New returns a handler.
func New(o Options) *Handler {
	h := &Handler{
		Options: o,
		mux:     http.NewServeMux(),
	}
	h.post("/v1/search", h.search)
	h.post("/v1/mutate", h.mutate)
	h.mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) {
		h.refuse(w, r, &Refusal{
			Kind:    KindPath,
			Message: "no such path; see docs/API.md",
			Run:     RunNo,
		})
	})
	return h
}

// post adds a path that takes POST only.
func (h *Handler) post(path string, f http.HandlerFunc) {
	h.mux.HandleFunc("POST "+path, f)
	h.mux.HandleFunc(path, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Allow", http.MethodPost)
		h.refuse(w, r, &Refusal{
			Kind:    KindMethod,
			Message: "the path takes POST only",
			Run:     RunNo,
		})
	})
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	// The deadline of the connection's previous answer has no meaning here.
	// Writers without deadlines are those of tests.
	_ = http.NewResponseController(w).SetWriteDeadline(time.Time{})
	h.mux.ServeHTTP(w, r)
}

// Counts returns the handler's counters.
func (h *Handler) Counts() *Counts { return &h.counts }

// requestID returns the caller's request id, or a new one.
func requestID(r *http.Request) string {
	if id := r.Header.Get(headerRequestID); id != "" && len(id) <= maxHeaderBytes {
		return id
	}
	return uuid.NewString()
}
