package httphandler

import (
	"bytes"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"plantaincleat/tier/gen/config"
	"plantaincleat/tier/pkg/indexer"
)

const (
	headerInstitution = "Institution"
	headerDeadline    = "Deadline"
	headerRequestID   = "Request-Id"
	headerAttempt     = "Request-Attempt"

	// HeaderRequestKey carries a mutation's key.
	HeaderRequestKey = "Request-Key"

	// maxBodyBytes bounds a request's body.
	maxBodyBytes = 64 << 10
	// maxHeaderBytes bounds a header that is echoed.
	maxHeaderBytes = 128
	// maxLimit bounds the records of one page.
	maxLimit = 1000
	// defaultLimit is the number of records where the request names none.
	defaultLimit = 20
	// maxTerms bounds the terms of one query.
	maxTerms = 32
	// defaultDeadline applies where neither caller nor class names one.
	defaultDeadline = time.Second
	// maxDeadline is the longest time that a caller may ask for.
	maxDeadline = time.Minute
	// firstAttempt is the Request-Attempt of a first send.
	firstAttempt = "1"
	// unreadyPause is the Retry-After of a daemon without a configuration.
	unreadyPause = time.Second
	// readTimeout bounds the time in which a caller sends a body.
	readTimeout = 10 * time.Second
	// writeTimeout bounds the time in which a caller takes an answer.
	writeTimeout = 30 * time.Second
)

func malformed(field, message string) *Refusal {
	return &Refusal{
		Kind:    KindMalformed,
		Field:   field,
		Message: message,
		Run:     RunNo,
	}
}

// read returns the body of a request, which must be sent within readTimeout.
func (h *Handler) read(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	c := http.NewResponseController(w)
	_ = c.SetReadDeadline(h.Clock.Now().Add(readTimeout))
	raw, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return nil, &Refusal{
			Kind:    KindOversized,
			Field:   "body",
			Message: "longer than " + strconv.Itoa(maxBodyBytes) + " bytes",
			Run:     RunNo,
		}
	case errors.Is(err, os.ErrDeadlineExceeded):
		return nil, malformed("body", "was not sent within "+readTimeout.String())
	case err != nil:
		return nil, malformed("body", err.Error())
	}
	// The server goes on reading while the request runs, to learn whether the
	// caller has gone.
	_ = c.SetReadDeadline(time.Time{})
	return raw, nil
}

// decode reads a JSON body strictly: unknown fields, trailing data and bodies
// over maxBodyBytes are refused.
func (h *Handler) decode(w http.ResponseWriter, r *http.Request, into any) error {
	raw, err := h.read(w, r)
	if err != nil {
		return err
	}
	dec := json.NewDecoder(bytes.NewReader(raw))
	dec.DisallowUnknownFields()
	if err := dec.Decode(into); err != nil {
		return malformed(fieldOf(err), err.Error())
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return malformed("body", "data after the JSON object")
	}
	return nil
}

// fieldOf returns the field that a JSON error is about, or "body".
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

// identify returns the institution of a request and checks its token.
func identify(ix *indexer.Index, r *http.Request) (*config.Institution, error) {
	if ix.Revision() == 0 {
		return nil, &Refusal{
			Kind:       KindUnready,
			Message:    "the daemon has no configuration yet",
			Run:        RunNo,
			RetryAfter: unreadyPause,
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
	if len(in.GetTokens()) > 0 && !authorised(in, r) {
		return nil, &Refusal{
			Kind:    KindCredentials,
			Field:   "Authorization",
			Message: "bearer token is missing or not accepted",
			Run:     RunNo,
		}
	}
	return in, nil
}

func authorised(in *config.Institution, r *http.Request) bool {
	token, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok {
		return false
	}
	sum := sha256.Sum256([]byte(token))
	digest := hex.EncodeToString(sum[:])
	for _, t := range in.GetTokens() {
		if subtle.ConstantTimeCompare([]byte(strings.ToLower(t)), []byte(digest)) == 1 {
			return true
		}
	}
	return false
}

// attempt returns the caller's number of this send, 0 for none.
func attempt(r *http.Request) (uint32, error) {
	text := r.Header.Get(headerAttempt)
	if text == "" {
		return 0, nil
	}
	n, err := strconv.ParseUint(text, 10, 32)
	if err != nil || n == 0 {
		return 0, malformed(headerAttempt, "not a whole number from 1")
	}
	return uint32(n), nil
}

// deadline returns the time left for a request in milliseconds, from its
// header, its class or the default.
func deadline(r *http.Request, class *config.Class) (time.Duration, error) {
	text := r.Header.Get(headerDeadline)
	if text == "" {
		if d := class.GetDeadline().AsDuration(); d > 0 {
			return d, nil
		}
		return defaultDeadline, nil
	}
	ms, err := strconv.ParseInt(text, 10, 64)
	if err != nil || ms <= 0 || ms > maxDeadline.Milliseconds() {
		return 0, malformed(headerDeadline, "not a whole number of milliseconds from 1 to "+strconv.FormatInt(maxDeadline.Milliseconds(), 10))
	}
	return time.Duration(ms) * time.Millisecond, nil
}
