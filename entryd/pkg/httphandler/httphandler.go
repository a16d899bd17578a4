// Package httphandler serves callers' searches and mutations over HTTP with JSON
// bodies.
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

// Searcher executes searches.
type Searcher interface {
	Run(ctx context.Context, r *coordinator.Request) (*coordinator.Result, error)
}

// Mutation is a request to change a record. It is not idempotent.
type Mutation struct {
	// Key is the request key, which is the same in all attempts of the mutation.
	Key string
	// Attempt is the caller's number of this attempt, from 1, or zero if the
	// caller gave none.
	Attempt     uint32
	Institution string
	Collection  string
	Version     string
	Record      *target.Record
	Deadline    time.Time
	Fingerprint uint64
}

// Mutator executes mutations at most once. If the outcome is not known or the mutation
// was not executed, its error is a *Refusal.
type Mutator interface {
	Mutate(ctx context.Context, m *Mutation) (*target.Outcome, error)
}

// Admitter decides whether a request is admitted; if not, its error is usually a
// *Refusal. The returned function must be called at the end of an admitted request.
type Admitter interface {
	Admit(ctx context.Context, institution, class string, deadline time.Time) (func(admitter.Result), error)
}

// Quarantine decides which requests are refused or are sent to few targets first.
type Quarantine interface {
	// Plan returns how to execute requests with a fingerprint.
	Plan(now time.Time, fingerprint uint64) quarantiner.Plan
	// RecordCompletion records that all shards answered a request.
	RecordCompletion(fingerprint uint64)
}

// Options configure a Handler. If Explanations is nil, no explanations are
// kept.
type Options struct {
	ID           string
	DataCentre   string
	Configs      gatherer.Configs
	Searcher     Searcher
	Mutator      Mutator
	Admitter     Admitter
	Quarantine   Quarantine
	Clock        clockwork.Clock
	Explanations *explanationkeeper.Keeper[*Explanation]
}

// Handler implements http.Handler for callers. It is safe for concurrent use.
type Handler struct {
	Options
	mux    *http.ServeMux
	counts Counts
}

// New returns a handler of the paths for callers.
func New(o Options) *Handler {
	h := &Handler{
		Options: o,
		mux:     http.NewServeMux(),
	}
	h.handlePost("/v1/search", h.search)
	h.handlePost("/v1/mutate", h.mutate)
	h.mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) {
		h.refuse(w, r, &Refusal{
			Kind:      KindUnknownPath,
			Message:   "no such path; see docs/API.md",
			Execution: NotExecuted,
		})
	})
	return h
}

// handlePost registers the handler of a path that accepts POST only.
func (h *Handler) handlePost(path string, f http.HandlerFunc) {
	h.mux.HandleFunc("POST "+path, f)
	h.mux.HandleFunc(path, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Allow", http.MethodPost)
		h.refuse(w, r, &Refusal{
			Kind:      KindUnsupportedMethod,
			Message:   "only POST is allowed on this path",
			Execution: NotExecuted,
		})
	})
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	// The write deadline of the previous answer on the connection must not
	// apply to this one. The writers of tests support no deadlines, so the error
	// is ignored.
	_ = http.NewResponseController(w).SetWriteDeadline(time.Time{})
	h.mux.ServeHTTP(w, r)
}

// Counts returns the handler's counters.
func (h *Handler) Counts() *Counts { return &h.counts }

// requestID returns the caller's request id, or a new one if it is missing or longer
// than maxHeaderBytes.
func requestID(r *http.Request) string {
	if id := r.Header.Get(headerRequestID); id != "" && len(id) <= maxHeaderBytes {
		return id
	}
	return uuid.NewString()
}
