package httphandler

import (
	"encoding/json"
	"errors"
	"expvar"
	"math"
	"net/http"
	"strconv"
	"time"

	"plantaincleat/entryd/pkg/coordinator"
	"plantaincleat/tier/pkg/cursorencoder"
	"plantaincleat/tier/pkg/indexer"
)

// Kind names why a request was refused.
type Kind string

// Kinds of refusals.
const (
	KindPath        Kind = "path"
	KindMethod      Kind = "method"
	KindMalformed   Kind = "malformed"
	KindOversized   Kind = "oversized"
	KindUnknown     Kind = "unknown"
	KindCredentials Kind = "credentials"
	KindGone        Kind = "gone"
	KindRate        Kind = "rate"
	KindConcurrency Kind = "concurrency"
	KindOverload    Kind = "overload"
	KindDeadline    Kind = "deadline"
	KindQuarantined Kind = "quarantined"
	KindUnready     Kind = "unready"
	KindUnavailable Kind = "unavailable"
	KindMismatch    Kind = "mismatch"
	KindExpired     Kind = "expired"
	KindOutcome     Kind = "outcome"
	KindInternal    Kind = "internal"
)

// statuses maps kinds to HTTP status codes.
var statuses = map[Kind]int{
	KindPath:        http.StatusNotFound,
	KindMethod:      http.StatusMethodNotAllowed,
	KindMalformed:   http.StatusBadRequest,
	KindOversized:   http.StatusRequestEntityTooLarge,
	KindUnknown:     http.StatusNotFound,
	KindCredentials: http.StatusUnauthorized,
	KindGone:        http.StatusGone,
	KindRate:        http.StatusTooManyRequests,
	KindConcurrency: http.StatusTooManyRequests,
	KindOverload:    http.StatusServiceUnavailable,
	KindDeadline:    http.StatusServiceUnavailable,
	KindQuarantined: http.StatusUnprocessableEntity,
	KindUnready:     http.StatusServiceUnavailable,
	KindUnavailable: http.StatusServiceUnavailable,
	KindMismatch:    http.StatusConflict,
	KindExpired:     http.StatusGone,
	KindOutcome:     http.StatusGatewayTimeout,
	KindInternal:    http.StatusInternalServerError,
}

// Run tells whether a refused request was run.
type Run string

const (
	// RunNo means that no target ran the request or will run it.
	RunNo Run = "no"
	// RunUnknown means that a target may have run the request.
	RunUnknown Run = "unknown"
)

// Refusal is a final answer other than success.
type Refusal struct {
	Kind Kind
	// Field names the offending part of the request, if there is one.
	Field   string
	Message string
	Run     Run
	// RetryAfter is when the caller may come back. Zero means that the same
	// request will not succeed later.
	RetryAfter time.Duration
}

// Error implements error.
func (r *Refusal) Error() string {
	if r.Field == "" {
		return string(r.Kind) + ": " + r.Message
	}
	return string(r.Kind) + ": " + r.Field + ": " + r.Message
}

// Counts are the handler's counters, published through expvar.
type Counts struct {
	Refusals expvar.Map
	Answers  expvar.Int
	Partial  expvar.Int
}

type refusalBody struct {
	Request string       `json:"request"`
	Error   refusalError `json:"error"`
}

type refusalError struct {
	Kind    Kind   `json:"kind"`
	Field   string `json:"field,omitempty"`
	Message string `json:"message"`
	Run     Run    `json:"run"`
}

// refuse answers with a refusal at once. Errors of the domain are mapped to
// kinds here.
func (h *Handler) refuse(w http.ResponseWriter, r *http.Request, err error) {
	refusal := classify(err)
	h.counts.Refusals.Add(string(refusal.Kind), 1)
	if refusal.RetryAfter > 0 {
		seconds := math.Ceil(refusal.RetryAfter.Seconds())
		w.Header().Set("Retry-After", strconv.Itoa(int(seconds)))
	}
	h.writeJSON(w, statuses[refusal.Kind], refusalBody{
		Request: requestID(r),
		Error: refusalError{
			Kind:    refusal.Kind,
			Field:   refusal.Field,
			Message: refusal.Message,
			Run:     refusal.Run,
		},
	})
}

// domainErrors maps sentinel errors to refusals.
var domainErrors = []struct {
	err   error
	kind  Kind
	field string
	run   Run
}{
	{indexer.ErrUnknownCollection, KindUnknown, "collection", RunNo},
	{indexer.ErrUnknownVersion, KindUnknown, "version", RunNo},
	{indexer.ErrUnknownInstitution, KindCredentials, headerInstitution, RunNo},
	{indexer.ErrUnknownClass, KindUnknown, "class", RunNo},
	{indexer.ErrSnapshotNotServed, KindGone, "cursor", RunNo},
	{coordinator.ErrSnapshotGone, KindGone, "cursor", RunNo},
	{coordinator.ErrQuarantined, KindQuarantined, "", RunUnknown},
	{cursorencoder.ErrMalformed, KindMalformed, "cursor", RunNo},
	{cursorencoder.ErrQueryMismatch, KindMalformed, "cursor", RunNo},
}

func classify(err error) *Refusal {
	var refusal *Refusal
	if errors.As(err, &refusal) {
		return refusal
	}
	for _, d := range domainErrors {
		if errors.Is(err, d.err) {
			return &Refusal{
				Kind:    d.kind,
				Field:   d.field,
				Message: err.Error(),
				Run:     d.run,
			}
		}
	}
	return &Refusal{
		Kind:    KindInternal,
		Message: err.Error(),
		Run:     RunUnknown,
	}
}

// writeJSON writes an answer. A caller that does not read it within
// writeTimeout loses its connection.
func (h *Handler) writeJSON(w http.ResponseWriter, status int, body any) {
	_ = http.NewResponseController(w).SetWriteDeadline(h.Clock.Now().Add(writeTimeout))
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	enc := json.NewEncoder(w)
	enc.SetEscapeHTML(false)
	_ = enc.Encode(body)
}
