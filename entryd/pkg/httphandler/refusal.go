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

// Kind is the reason for a refusal, as callers see it.
type Kind string

// Kinds of refusal.
const (
	KindUnknownPath       Kind = "path"
	KindUnsupportedMethod Kind = "method"
	KindMalformed         Kind = "malformed"
	KindOversized         Kind = "oversized"
	KindUnknownName       Kind = "unknown"
	KindCredentials       Kind = "credentials"
	KindGone              Kind = "gone"
	KindRate              Kind = "rate"
	KindConcurrency       Kind = "concurrency"
	KindOverload          Kind = "overload"
	KindDeadline          Kind = "deadline"
	KindQuarantined       Kind = "quarantined"
	KindUnready           Kind = "unready"
	KindUnavailable       Kind = "unavailable"
	KindMismatch          Kind = "mismatch"
	KindExpired           Kind = "expired"
	KindOutcomeUnknown    Kind = "outcome"
	KindInternal          Kind = "internal"
)

// statuses maps kinds to HTTP status codes.
var statuses = map[Kind]int{
	KindUnknownPath:       http.StatusNotFound,
	KindUnsupportedMethod: http.StatusMethodNotAllowed,
	KindMalformed:         http.StatusBadRequest,
	KindOversized:         http.StatusRequestEntityTooLarge,
	KindUnknownName:       http.StatusNotFound,
	KindCredentials:       http.StatusUnauthorized,
	KindGone:              http.StatusGone,
	KindRate:              http.StatusTooManyRequests,
	KindConcurrency:       http.StatusTooManyRequests,
	KindOverload:          http.StatusServiceUnavailable,
	KindDeadline:          http.StatusServiceUnavailable,
	KindQuarantined:       http.StatusUnprocessableEntity,
	KindUnready:           http.StatusServiceUnavailable,
	KindUnavailable:       http.StatusServiceUnavailable,
	KindMismatch:          http.StatusConflict,
	KindExpired:           http.StatusGone,
	KindOutcomeUnknown:    http.StatusGatewayTimeout,
	KindInternal:          http.StatusInternalServerError,
}

// Execution states whether a target may have executed a refused request.
type Execution string

const (
	// NotExecuted means that no target has executed or will execute the request.
	NotExecuted Execution = "no"
	// ExecutionUnknown means that a target may have executed the request.
	ExecutionUnknown Execution = "unknown"
)

// Refusal is the answer to a request that did not succeed. It is an error.
type Refusal struct {
	Kind Kind
	// Field is the field or header that was refused, or empty.
	Field     string
	Message   string
	Execution Execution
	// RetryAfter is the time after which the caller may try again. Zero means
	// that no time is given.
	RetryAfter time.Duration
}

// Error implements error.
func (r *Refusal) Error() string {
	if r.Field == "" {
		return string(r.Kind) + ": " + r.Message
	}
	return string(r.Kind) + ": " + r.Field + ": " + r.Message
}

// Counts are the counters of a Handler: refusals by kind, answers to searches, and
// answers to searches that were partial.
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
	Kind      Kind      `json:"kind"`
	Field     string    `json:"field,omitempty"`
	Message   string    `json:"message"`
	Execution Execution `json:"run"`
}

// refuse writes the answer for an error and counts it.
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
			Kind:      refusal.Kind,
			Field:     refusal.Field,
			Message:   refusal.Message,
			Execution: refusal.Execution,
		},
	})
}

// domainErrors maps errors of other packages to refusals.
var domainErrors = []struct {
	err       error
	kind      Kind
	field     string
	execution Execution
}{
	{indexer.ErrUnknownCollection, KindUnknownName, "collection", NotExecuted},
	{indexer.ErrUnknownVersion, KindUnknownName, "version", NotExecuted},
	{indexer.ErrUnknownInstitution, KindCredentials, headerInstitution, NotExecuted},
	{indexer.ErrUnknownClass, KindUnknownName, "class", NotExecuted},
	{indexer.ErrSnapshotNotServed, KindGone, "cursor", NotExecuted},
	{coordinator.ErrSnapshotGone, KindGone, "cursor", NotExecuted},
	{coordinator.ErrQuarantined, KindQuarantined, "", ExecutionUnknown},
	{cursorencoder.ErrMalformed, KindMalformed, "cursor", NotExecuted},
	{cursorencoder.ErrQueryMismatch, KindMalformed, "cursor", NotExecuted},
}

// classify returns the refusal for an error. Errors that are not known become
// KindInternal.
func classify(err error) *Refusal {
	var refusal *Refusal
	if errors.As(err, &refusal) {
		return refusal
	}
	for _, d := range domainErrors {
		if errors.Is(err, d.err) {
			return &Refusal{
				Kind:      d.kind,
				Field:     d.field,
				Message:   err.Error(),
				Execution: d.execution,
			}
		}
	}
	return &Refusal{
		Kind:      KindInternal,
		Message:   err.Error(),
		Execution: ExecutionUnknown,
	}
}

// writeJSON writes an answer. The connection of a caller that does not read it within
// writeTimeout is closed.
func (h *Handler) writeJSON(w http.ResponseWriter, status int, body any) {
	_ = http.NewResponseController(w).SetWriteDeadline(h.Clock.Now().Add(writeTimeout))
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	enc := json.NewEncoder(w)
	enc.SetEscapeHTML(false)
	_ = enc.Encode(body)
}
