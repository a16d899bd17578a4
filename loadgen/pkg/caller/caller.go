// Package caller sends the requests of a load to the daemons over HTTP.
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
	// maxAnswerBytes bounds the size of an answer in bytes.
	maxAnswerBytes = 64 << 20
	// maxIdleConns is the number of idle connections kept to each daemon.
	maxIdleConns = 1024
	// maxDialAttempts bounds the daemons tried for one request.
	maxDialAttempts = 4
)

// Search is one page of a read.
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

// Mutation is one non-idempotent request.
type Mutation struct {
	ID          string
	Institution string
	// RequestKey is the caller's request key, a UUIDv7.
	RequestKey string
	Collection string
	Version    string
	Record     string
	Text       string
	Deadline   time.Duration
}

// MissingShard is a shard that an answer does not cover.
type MissingShard struct {
	Shard  string `json:"shard"`
	Reason string `json:"reason"`
}

// Coverage is what an answer says about its completeness.
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

// Stats are the sub-requests of an answer.
type Stats struct {
	// Sent is the number of sub-requests sent, Needed that of the shards.
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

// Refusal is an answer that refuses the request. It implements error.
type Refusal struct {
	Code    int    `json:"-"`
	Kind    string `json:"kind"`
	Field   string `json:"field"`
	Message string `json:"message"`
	// Executed is "no" or "unknown".
	Executed string `json:"run"`
	// RetryAfter is the Retry-After header. Zero means that there was none.
	RetryAfter time.Duration `json:"-"`
}

// Error returns the kind, the field and the message.
func (r *Refusal) Error() string {
	s := strconv.Itoa(r.Code) + " " + r.Kind
	if r.Field != "" {
		s += ": field " + r.Field
	}
	return s + ": " + r.Message
}

// searchBody and mutationBody are the bodies of the requests.
type searchBody struct {
	Collection string   `json:"collection"`
	Version    string   `json:"version"`
	Class      string   `json:"class"`
	Prefix     string   `json:"prefix,omitempty"`
	Terms      []string `json:"terms,omitempty"`
	Limit      uint32   `json:"limit,omitempty"`
	Cursor     string   `json:"cursor,omitempty"`
}

type mutationBody struct {
	Collection string `json:"collection"`
	Version    string `json:"version"`
	Key        string `json:"key"`
	Text       string `json:"text"`
}

type errorBody struct {
	Error Refusal `json:"error"`
}

// DaemonSelector gives the URL of the daemon for the next request.
type DaemonSelector interface {
	// Next returns the URL of a daemon.
	Next() string
	// MarkUnreachable tells that a daemon could not be connected to, and reports
	// whether to try another.
	MarkUnreachable(url string) bool
}

// Caller sends requests. Use New.
type Caller struct {
	daemons DaemonSelector
	client  *http.Client
}

// New returns a caller that spreads its requests over the entries.
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

// SetTLS has daemons at https URLs verified against a CA. A nil Securer
// stands for the system's CAs. It must be called before the first request.
func (c *Caller) SetTLS(s *tlsprovider.Provider) {
	t := s.Transport(nil, true)
	t.MaxIdleConnsPerHost = maxIdleConns
	t.DisableCompression = true
	c.client.Transport = t
}

// Close closes idle connections.
func (c *Caller) Close() {
	c.client.CloseIdleConnections()
}

// Search sends one search. A refusal is a *Refusal; other errors mean that no
// answer came.
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

// Mutate sends one mutation. A refusal is a *Refusal; other errors mean that
// no answer came.
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

// post sends a request to the next daemon, and to another as long as no
// connection comes about.
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
		return eris.Wrapf(err, "make request: daemon %s", url)
	}
	r.Header = header
	// Without GetBody the transport does not send the request a second time.
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

// newRefusal reads the body of a refusal. One that can not be read gets the
// kind "malformed".
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

// isDialError tells whether no connection came about, so that the request
// was certainly not sent.
func isDialError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}
