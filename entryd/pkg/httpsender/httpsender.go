// Package httpsender sends requests to a target over HTTP/1.1 and tells whether
// one that failed may have run.
//
// A Link keeps the connections to one target. It never sends a request twice:
// whether another attempt is made is the caller's decision.
package httpsender

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"
)

// Headers of the targets' protocol, and those that concern one connection only.
type Headers struct {
	// Request carries the id of the request, in both directions.
	Request string
	// Deadline carries the milliseconds that are left.
	Deadline string
	// Instance carries the id of the target that is to run the request.
	Instance string
	// NotExecuted marks an answer to a request that was not run.
	NotExecuted string
}

// Request is one request to a target.
type Request struct {
	// ID is echoed by the target.
	ID     string
	Method string
	// Path holds the path and the query, as the caller sent them.
	Path string
	Host string
	// Header holds the caller's headers, without those of one connection.
	Header http.Header
	Body   []byte
	// Target is the id of the only target that may run the request.
	Target   string
	Deadline time.Time
	// Goal is the last time at which the request can be sent to be answered while
	// that is of most use. It orders the requests that wait for a connection.
	Goal time.Time
	// Gate, if there is one, is entered before the first byte is sent.
	Gate *Gate
}

// Answer is a target's whole answer.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
	// Rest is what follows Body if the answer is too long to be kept in
	// memory, and nil otherwise. It has to be closed.
	Rest io.ReadCloser
	// Length is the length that the target has announced, -1 if unknown.
	Length int64
}

// Errors of Do. Each says whether the target may have run the request.
var (
	// ErrNotSent reports that no byte of the request reached the target.
	ErrNotSent = errors.New("request was not sent")
	// ErrBusy reports that all connections are in use and the queue is full.
	ErrBusy = errors.New("no connection is free")
	// ErrNotExecuted reports that the target has refused the request unrun.
	ErrNotExecuted = errors.New("target did not run the request")
	// ErrWrongTarget reports that another target has the address.
	ErrWrongTarget = errors.New("another target has the address")
	// ErrIncomplete reports that the answer did not arrive whole: the target may
	// have run the request.
	ErrIncomplete = errors.New("answer was lost")
)

// encode returns the bytes of a request.
func (h *Headers) encode(r *Request, now time.Time) []byte {
	var b bytes.Buffer
	b.Grow(512 + len(r.Body))
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n", r.Method, r.Path, r.Host)
	// Writes to a buffer do not fail.
	_ = r.Header.Write(&b)
	left := max(r.Deadline.Sub(now).Milliseconds(), 1)
	fmt.Fprintf(&b, "%s: %s\r\n%s: %d\r\n%s: %s\r\n", h.Request, r.ID, h.Deadline, left, h.Instance, r.Target)
	if len(r.Body) > 0 || r.Method != http.MethodGet && r.Method != http.MethodHead {
		b.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	b.WriteString("\r\n")
	b.Write(r.Body)
	return b.Bytes()
}

// Do sends one request and returns the whole answer. Errors wrap one of the
// errors above, and the context's error once ctx has ended. queue, which ends
// no later than ctx, bounds the wait for a connection.
func (l *Client) Do(ctx, queue context.Context, r *Request) (*Answer, error) {
	c, err := l.acquire(queue, r.Goal)
	if err != nil {
		return nil, err
	}
	stop := context.AfterFunc(ctx, c.abort)
	answer, err := c.exchange(l, r)
	streams := answer != nil && answer.Rest != nil
	switch {
	case stop() && c.reusable && !streams:
		l.recycle(c)
	case err != nil || !streams:
		l.discard(c)
	}
	if err != nil && ctx.Err() != nil {
		err = errors.Join(err, ctx.Err())
	}
	return answer, err
}
