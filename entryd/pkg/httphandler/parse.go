package httphandler

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"plantaincleat/entryd/pkg/authenticator"
	"plantaincleat/entryd/pkg/gatekeeper"
	"plantaincleat/tier/gen/config"
	"plantaincleat/tier/pkg/indexer"
)

const (
	headerInstitution = "Institution"
	headerDeadline    = "Deadline"
	headerRequestID   = "Request-Id"
	headerAttempt     = "Request-Attempt"

	// HeaderRequestKey is the header with the request key of a mutation.
	HeaderRequestKey = "Request-Key"

	// maxBodyBytes bounds the size of a request's body.
	maxBodyBytes = 64 << 10
	// maxHeaderBytes bounds the length of a header value that is echoed.
	maxHeaderBytes = 128
	// maxLimit bounds the number of records of one page.
	maxLimit = 1000
	// defaultLimit is the limit of records of a request without one.
	defaultLimit = 20
	// maxTerms bounds the number of terms of one search.
	maxTerms = 32
	// defaultDeadline applies if neither the caller nor the class gives a
	// deadline.
	defaultDeadline = time.Second
	// maxDeadline is the longest deadline that a caller may give.
	maxDeadline = time.Minute
	// firstAttempt is the value of Request-Attempt in the first attempt.
	firstAttempt = "1"
	// unreadyRetryAfter is the retry-after time of a daemon without a
	// configuration.
	unreadyRetryAfter = time.Second
	// noRoomRetryAfter is the retry-after time of a daemon that has no room for a request.
	noRoomRetryAfter = time.Second
	// readTimeout bounds the time within which a caller must send a body.
	readTimeout = 10 * time.Second
	// writeTimeout bounds the time within which a caller must read an answer.
	writeTimeout = 30 * time.Second
)

// malformed returns a refusal of a field or header for the given reason.
func malformed(field, message string) *Refusal {
	return &Refusal{
		Kind:      KindMalformed,
		Field:     field,
		Message:   message,
		Execution: NotExecuted,
	}
}

// readBody returns the body of a request. It refuses a body that is longer than
// maxBodyBytes, does not arrive within readTimeout, or finds no room.
func (h *Handler) readBody(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	raw, err := gatekeeper.ReadBody(w, r, maxBodyBytes, h.Clock.Now().Add(readTimeout))
	switch {
	case err == nil:
		return raw, nil
	case errors.Is(err, gatekeeper.ErrTooLarge):
		return nil, &Refusal{
			Kind:      KindOversized,
			Field:     "body",
			Message:   "is longer than " + strconv.Itoa(maxBodyBytes) + " bytes",
			Execution: NotExecuted,
		}
	case errors.Is(err, gatekeeper.ErrLate):
		return nil, malformed("body", "was not sent within "+readTimeout.String())
	case errors.Is(err, gatekeeper.ErrNoRoom):
		return nil, &Refusal{
			Kind:       KindOverload,
			Message:    "the daemon has no room for the request",
			Execution:  NotExecuted,
			RetryAfter: noRoomRetryAfter,
		}
	}
	return nil, malformed("body", err.Error())
}

// decodeBody reads a JSON body into a value. It refuses unknown fields, trailing data
// and whatever readBody refuses.
func (h *Handler) decodeBody(w http.ResponseWriter, r *http.Request, into any) error {
	raw, err := h.readBody(w, r)
	if err != nil {
		return err
	}
	dec := json.NewDecoder(bytes.NewReader(raw))
	dec.DisallowUnknownFields()
	if err := dec.Decode(into); err != nil {
		return malformed(fieldOf(err), err.Error())
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return malformed("body", "has data after the JSON object")
	}
	return nil
}

// fieldOf returns the field that a JSON error names, or "body" if there is none.
func fieldOf(err error) string {
	var wrongType *json.UnmarshalTypeError
	if errors.As(err, &wrongType) && wrongType.Field != "" {
		return wrongType.Field
	}
	if _, name, ok := strings.Cut(err.Error(), "unknown field "); ok {
		return strings.Trim(name, `"`)
	}
	return "body"
}

// authenticate returns the institution of a request after checking its token.
func authenticate(ix *indexer.Index, r *http.Request) (*config.Institution, error) {
	if ix.Revision() == 0 {
		return nil, &Refusal{
			Kind:       KindUnready,
			Message:    "the daemon has no configuration yet",
			Execution:  NotExecuted,
			RetryAfter: unreadyRetryAfter,
		}
	}
	name := r.Header.Get(headerInstitution)
	if name == "" {
		return nil, malformed(headerInstitution, "header is missing")
	}
	in, err := ix.Institution(name)
	if err != nil {
		return nil, err
	}
	if len(in.GetTokens()) > 0 && !hasValidToken(in, r) {
		return nil, &Refusal{
			Kind:      KindCredentials,
			Field:     "Authorization",
			Message:   "bearer token is missing or not accepted",
			Execution: NotExecuted,
		}
	}
	return in, nil
}

// hasValidToken reports whether the request's bearer token is one of the institution's.
func hasValidToken(in *config.Institution, r *http.Request) bool {
	digest, ok := authenticator.Parse(r.Header.Get("Authorization"))
	return authenticator.Holds(in, digest) && ok
}

// attemptNumber returns the number of this attempt from the Request-Attempt header,
// or zero if there is none.
func attemptNumber(r *http.Request) (uint32, error) {
	text := r.Header.Get(headerAttempt)
	if text == "" {
		return 0, nil
	}
	n, err := strconv.ParseUint(text, 10, 32)
	if err != nil || n == 0 {
		return 0, malformed(headerAttempt, "is not a whole number from 1 to 4294967295")
	}
	return uint32(n), nil
}

// remainingTime returns the time left for a request: that of its Deadline header,
// which is in milliseconds, else that of its class, else defaultDeadline.
func remainingTime(r *http.Request, class *config.Class) (time.Duration, error) {
	text := r.Header.Get(headerDeadline)
	if text == "" {
		if d := class.GetDeadline().AsDuration(); d > 0 {
			return d, nil
		}
		return defaultDeadline, nil
	}
	ms, err := strconv.ParseInt(text, 10, 64)
	if err != nil || ms <= 0 || ms > maxDeadline.Milliseconds() {
		return 0, malformed(headerDeadline, "is not a whole number of milliseconds from 1 to "+strconv.FormatInt(maxDeadline.Milliseconds(), 10))
	}
	return time.Duration(ms) * time.Millisecond, nil
}
