// Package httpsender sends requests to a target over HTTP/1.1. If a request fails,
// the error states whether the target may have executed it.
//
// A Client manages the connections to one target. It never sends a request twice;
// the caller decides whether to make another attempt.
package httpsender

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"plantaincleat/entryd/pkg/valuer"
)

// Headers names the headers of the protocol between daemons and targets.
type Headers struct {
	// Request carries the id of the request, in both directions.
	Request string
	// Deadline carries the time left until the deadline, in milliseconds.
	Deadline string
	// Instance carries the id of the target that may execute the request.
	Instance string
	// NotExecuted marks the response to a request that the target did not execute.
	NotExecuted string
}

// Request is a request to one target.
type Request struct {
	// ID is the id of the request. The target returns it in its response.
	ID     string
	Method string
	// Path is the path with the query, as the caller sent it.
	Path string
	Host string
	// Header holds the headers of the caller, without hop-by-hop headers.
	Header http.Header
	Body   []byte
	// Target is the id of the only target that may execute the request.
	Target   string
	Deadline time.Time
	// Goal is the latest time at which the request can be sent and still be answered
	// before its latency goal. Requests that wait for a connection are ordered by it and by
	// Rank.
	Goal time.Time
	// Work is the time for which the request delays those behind it.
	Work time.Duration
	// Rank is the priority of the request, 0 for the highest.
	Rank uint32
	// Tally counts waits for a connection. It may be nil.
	Tally *valuer.Tally
	// Gate is entered before the first byte is sent. It may be nil.
	Gate *Gate
	// Admit decides whether the target may get the request. It is called once, after the
	// wait for a connection and before the gate is entered. It may be nil.
	Admit func() bool
}

// Answer is the response of a target.
type Answer struct {
	Status int
	// Header holds the headers of the response.
	Header http.Header
	// Body holds the response body, or its beginning if Rest is set.
	Body []byte
	// Rest streams the part of the response body after Body. It is nil unless the body
	// is too long to be kept in memory. The receiver must close it.
	Rest io.ReadCloser
	// Length is the value of the Content-Length header, or -1 if the length is unknown.
	Length int64
}

// Errors of Client.Do. Each one states whether the target may have executed the
// request.
var (
	// ErrNotSent reports that the request was not sent, or that no byte of it was
	// written to the connection.
	ErrNotSent = errors.New("request was not sent")
	// ErrNotAdmitted reports, together with ErrNotSent, that Request.Admit has refused the
	// request.
	ErrNotAdmitted = errors.New("target may not get the request")
	// ErrUnreachable reports, together with ErrNotSent, that no connection to the target
	// could be opened.
	ErrUnreachable = errors.New("target was not reached")
	// ErrBusy reports that all connections are in use and the queue is full. The request
	// was not sent.
	ErrBusy = errors.New("no connection is free")
	// ErrNotExecuted reports that the target refused the request without executing it.
	ErrNotExecuted = errors.New("target did not execute the request")
	// ErrWrongTarget reports that another target has the address. It did not execute the
	// request.
	ErrWrongTarget = errors.New("another target has the address")
	// ErrIncomplete reports that no complete response was received. The target may have
	// executed the request.
	ErrIncomplete = errors.New("no complete response was received")
	// ErrEnded reports, together with ErrIncomplete, that the target's process ended
	// while it had the request.
	ErrEnded = errors.New("target ended")
)

// message is the bytes of a request: its head, then its body, which attempts share. A short body
// stands behind the head.
type message struct {
	head, body []byte
}

// len returns the number of bytes.
func (m message) len() int { return len(m.head) + len(m.body) }

// writeTo writes the message to a connection and returns the number of bytes that it wrote.
func (m message) writeTo(w io.Writer) (int64, error) {
	if len(m.body) == 0 {
		n, err := w.Write(m.head)
		return int64(n), err
	}
	buffers := net.Buffers{m.head, m.body}
	return buffers.WriteTo(w)
}

const (
	// headSize is the usual size of a head in bytes.
	headSize = 512
	// copiedBody is the size in bytes up to which a body is copied behind the head.
	copiedBody = 2 << 10
)

// encode returns the bytes of a request. The deadline header holds the time left
// after now.
func (h *Headers) encode(r *Request, now time.Time) message {
	var b bytes.Buffer
	copied := len(r.Body) <= copiedBody
	b.Grow(headSize + min(len(r.Body), copiedBody))
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n", r.Method, r.Path, r.Host)
	// Writes to a bytes.Buffer do not fail.
	_ = r.Header.Write(&b)
	leftMS := max(r.Deadline.Sub(now).Milliseconds(), 1)
	fmt.Fprintf(&b, "%s: %s\r\n%s: %d\r\n%s: %s\r\n", h.Request, r.ID, h.Deadline, leftMS, h.Instance, r.Target)
	if len(r.Body) > 0 || r.Method != http.MethodGet && r.Method != http.MethodHead {
		b.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	b.WriteString("\r\n")
	if !copied {
		return message{
			head: b.Bytes(),
			body: r.Body,
		}
	}
	b.Write(r.Body)
	return message{
		head: b.Bytes(),
	}
}

// Do sends a request and returns the response. If the body is too long to be kept in
// memory, the rest of it is streamed by Answer.Rest. Errors wrap one of the errors
// above and, if ctx has ended, the error of ctx. With ErrNotExecuted and ErrWrongTarget,
// Do returns the response as well. After a connection that the target has
// closed, Do finds out whether the target has ended. The context queue must end no later
// than ctx and bounds the wait for a connection.
func (cl *Client) Do(ctx, queue context.Context, r *Request) (*Answer, error) {
	c, err := cl.acquire(queue, r)
	if err != nil {
		return nil, err
	}
	stop := context.AfterFunc(ctx, c.abort)
	answer, err := c.exchange(cl, r)
	streaming := answer != nil && answer.Rest != nil
	switch {
	case stop() && c.reusable && !streaming:
		cl.recycle(c)
	case closedByTarget(err):
		// The state of the connection tells whether the request was read.
		cl.releaseSlot()
		defer c.close()
	case err != nil || !streaming:
		cl.discard(c)
	}
	switch {
	case err == nil:
	case ctx.Err() != nil:
		err = errors.Join(err, ctx.Err())
	case closedByTarget(err) && cl.endedDuring(c, err):
		err = fmt.Errorf("%w: %w", ErrEnded, err)
	}
	return answer, err
}
