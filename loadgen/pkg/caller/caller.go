// Package caller implements the HTTP client that sends the requests of a load to
// the daemons.
package caller

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/rotisserie/eris"

	"plantaincleat/tier/gen/target"
	"plantaincleat/tier/pkg/tlsprovider"
)

const (
	// maxAnswerBytes is the maximum size of an answer in bytes. Longer answers are
	// truncated.
	maxAnswerBytes = 64 << 20
	// maxIdleConns is the maximum number of idle connections to each daemon.
	maxIdleConns = 1024
	// maxDialAttempts is the maximum number of attempts to connect for one request.
	maxDialAttempts = 4
)

// Search is the request for one page of a read.
type Search struct {
	ID          string
	Institution string
	Collection  string
	Version     string
	Class       string
	Query       *target.Query
	Cursor      string
	Deadline    time.Duration
}

// Mutation is a non-idempotent request that writes one record.
type Mutation struct {
	ID          string
	Institution string
	// RequestKey is the UUIDv7 by which the tier recognizes repeated requests.
	RequestKey string
	Collection string
	Version    string
	Record     string
	Text       string
	Deadline   time.Duration
}

// MissingShard is a shard that an answer does not cover, with the reason.
type MissingShard struct {
	Shard  string `json:"shard"`
	Reason string `json:"reason"`
}

// Coverage states which shards an answer covers. Fraction is the number of covered
// shards divided by the number of all shards.
type Coverage struct {
	Fraction float64        `json:"fraction"`
	Covered  []string       `json:"covered"`
	Missing  []MissingShard `json:"missing"`
}

// Record is one record of an answer.
type Record struct {
	Key   string  `json:"key"`
	Score float64 `json:"score"`
	Text  string  `json:"text"`
}

// Stats counts the sub-requests that the tier sent to targets for an answer.
type Stats struct {
	// Sent is the number of all sub-requests. Needed is the number of shards, each
	// of which needs one sub-request.
	Sent    int64 `json:"sent"`
	Needed  int64 `json:"needed"`
	Hedges  int64 `json:"hedges"`
	Retries int64 `json:"retries"`
}

// Answer is the answer to a Search.
type Answer struct {
	Request  string   `json:"request"`
	Trace    string   `json:"trace"`
	Snapshot string   `json:"snapshot"`
	Revision uint64   `json:"revision"`
	Coverage Coverage `json:"coverage"`
	Records  []Record `json:"records"`
	Cursor   string   `json:"cursor"`
	Stats    Stats    `json:"stats"`
}

// MutationAnswer is the answer to a Mutation.
type MutationAnswer struct {
	Request string          `json:"request"`
	Trace   string          `json:"trace"`
	Outcome json.RawMessage `json:"outcome"`
}

// Refusal is the error for a request that a daemon refused.
type Refusal struct {
	Code    int    `json:"-"`
	Kind    string `json:"kind"`
	Field   string `json:"field"`
	Message string `json:"message"`
	// Executed is "no" if the request was not executed, or "unknown" if it may have
	// been executed.
	Executed string `json:"run"`
	// RetryAfter is the value of the Retry-After header, or zero without one.
	RetryAfter time.Duration `json:"-"`
}

// Error returns the HTTP status code, the kind, the field and the message.
func (r *Refusal) Error() string {
	s := strconv.Itoa(r.Code) + " " + r.Kind
	if r.Field != "" {
		s += ": field " + r.Field
	}
	return s + ": " + r.Message
}

// searchBody is the body of a search request.
type searchBody struct {
	Collection string   `json:"collection"`
	Version    string   `json:"version"`
	Class      string   `json:"class"`
	Prefix     string   `json:"prefix,omitempty"`
	Terms      []string `json:"terms,omitempty"`
	Limit      uint32   `json:"limit,omitempty"`
	Cursor     string   `json:"cursor,omitempty"`
}

// mutationBody is the body of a mutation request.
type mutationBody struct {
	Collection string `json:"collection"`
	Version    string `json:"version"`
	Key        string `json:"key"`
	Text       string `json:"text"`
}

// errorBody is the body of a refusal.
type errorBody struct {
	Error Refusal `json:"error"`
}

// DaemonSelector selects the daemon for each request. It must be safe for
// concurrent use.
type DaemonSelector interface {
	// Next returns the URL of the daemon for the next request.
	Next() string
	// MarkUnreachable records that connecting to the daemon at the URL failed. It
	// reports whether to try another daemon.
	MarkUnreachable(url string) bool
}

// Caller sends requests to daemons. It is safe for concurrent use. Use New to
// create one.
type Caller struct {
	daemons DaemonSelector
	client  *http.Client
}

// New returns a caller that sends each request to the daemon that e selects.
func New(e DaemonSelector) *Caller {
	return &Caller{
		daemons: e,
		client: &http.Client{
			Transport: &http.Transport{
				MaxIdleConnsPerHost: maxIdleConns,
				DisableCompression:  true,
			},
		},
	}
}

// SetTLS sets the provider of the CA that verifies daemons at https URLs. A nil
// provider stands for the system's CAs. It must be called before the first
// request.
func (c *Caller) SetTLS(s *tlsprovider.Provider) {
	t := s.Transport(nil, true)
	t.MaxIdleConnsPerHost = maxIdleConns
	t.DisableCompression = true
	c.client.Transport = t
}

// Close closes the idle connections to daemons.
func (c *Caller) Close() {
	c.client.CloseIdleConnections()
}

// Search sends a search request and returns the answer. The error is a *Refusal if
// the daemon refused the request. Other errors mean that no valid answer arrived.
func (c *Caller) Search(ctx context.Context, s Search) (*Answer, error) {
	body := searchBody{
		Collection: s.Collection,
		Version:    s.Version,
		Class:      s.Class,
		Prefix:     s.Query.GetPrefix(),
		Terms:      s.Query.GetTerms(),
		Limit:      s.Query.GetLimit(),
		Cursor:     s.Cursor,
	}
	header := newHeader(s.ID, s.Institution, s.Deadline)
	a := &Answer{}
	if err := c.post(ctx, "/v1/search", header, body, a); err != nil {
		return nil, err
	}
	return a, nil
}

// Mutate sends a mutation and returns the answer. The error is a *Refusal if the
// daemon refused the request. Other errors mean that no valid answer arrived.
func (c *Caller) Mutate(ctx context.Context, m Mutation) (*MutationAnswer, error) {
	body := mutationBody{
		Collection: m.Collection,
		Version:    m.Version,
		Key:        m.Record,
		Text:       m.Text,
	}
	header := newHeader(m.ID, m.Institution, m.Deadline)
	header.Set("Request-Key", m.RequestKey)
	o := &MutationAnswer{}
	if err := c.post(ctx, "/v1/mutate", header, body, o); err != nil {
		return nil, err
	}
	return o, nil
}

func newHeader(id, institution string, deadline time.Duration) http.Header {
	h := make(http.Header)
	h.Set("Content-Type", "application/json")
	h.Set("Institution", institution)
	h.Set("Deadline", strconv.FormatInt(deadline.Milliseconds(), 10))
	h.Set("Request-Id", id)
	return h
}

// post sends a request to the next daemon. If connecting to the daemon fails and
// another daemon is ready, it tries the next one, with up to maxDialAttempts
// attempts in all.
func (c *Caller) post(ctx context.Context, path string, header http.Header, body, answer any) error {
	b, err := json.Marshal(body)
	if err != nil {
		return eris.Wrap(err, "encode request")
	}
	for dials := 1; ; dials++ {
		url := c.daemons.Next()
		err := c.postToDaemon(ctx, url, path, header, b, answer)
		if !isDialError(err) || !c.daemons.MarkUnreachable(url) || dials == maxDialAttempts || ctx.Err() != nil {
			return err
		}
	}
}

func (c *Caller) postToDaemon(ctx context.Context, url, path string, header http.Header, body []byte, answer any) error {
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, url+path, bytes.NewReader(body))
	if err != nil {
		return eris.Wrapf(err, "create request: daemon %s", url)
	}
	r.Header = header
	// Without GetBody, the transport can not resend the request after the loss of
	// a connection.
	r.GetBody = nil
	resp, err := c.client.Do(r)
	if err != nil {
		return eris.Wrapf(err, "send request: daemon %s", url)
	}
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err != nil {
		return eris.Wrapf(err, "read answer: daemon %s", url)
	}
	if resp.StatusCode != http.StatusOK {
		return newRefusal(resp, b)
	}
	if err := json.Unmarshal(b, answer); err != nil {
		return eris.Wrapf(err, "decode answer: daemon %s", url)
	}
	return nil
}

// newRefusal decodes the body of a refusal. If the body is invalid, the refusal has
// the kind "malformed" and contains the body as its message.
func newRefusal(resp *http.Response, b []byte) error {
	var body errorBody
	if err := json.Unmarshal(b, &body); err != nil || body.Error.Kind == "" {
		body.Error = Refusal{
			Kind:     "malformed",
			Message:  string(b),
			Executed: "unknown",
		}
	}
	r := body.Error
	r.Code = resp.StatusCode
	if seconds, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); err == nil {
		r.RetryAfter = time.Duration(seconds * float64(time.Second))
	}
	return &r
}

// isDialError reports whether connecting failed, in which case the request was
// certainly not sent.
func isDialError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}
