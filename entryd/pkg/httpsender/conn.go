package httpsender

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"time"
)

const (
	// bodyLimit is the size of the part of an answer that is kept in memory.
	bodyLimit = 256 << 10
	// maxStrayAnswers is the number of answers to other requests that are skipped.
	maxStrayAnswers = 4
)

// conn is one connection to a target.
type conn struct {
	net.Conn
	reader *bufio.Reader
	// unused is true until the first request.
	unused bool
	// reusable tells whether another request may follow.
	reusable bool
	expires  time.Time
}

// abort ends all reads and writes.
func (c *conn) abort() { _ = c.SetDeadline(time.Unix(1, 0)) }

func (c *conn) close() { _ = c.Close() }

// usable tells whether an unused connection is open and silent. Bytes that
// arrived while no request was waiting belong to none.
func (c *conn) usable() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	silent := false
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, e := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		silent = errors.Is(e, syscall.EAGAIN)
		return true
	})
	return err == nil && silent
}

// exchange sends a request and reads its answer.
func (c *conn) exchange(l *Client, r *Request) (*Answer, error) {
	c.reusable = false
	now := l.clock.Now()
	if err := c.SetDeadline(r.Deadline); err != nil {
		return nil, fmt.Errorf("target %s: %w: %w", l.address, ErrNotSent, err)
	}
	if r.Gate != nil && !r.Gate.Enter() {
		c.reusable = true
		return nil, fmt.Errorf("target %s: withdrawn: %w", l.address, ErrNotSent)
	}
	sent := make(chan error, 1)
	message := l.headers.encode(r, now)
	if len(message) <= bodyLimit/8 {
		n, err := c.Write(message)
		if err != nil && n == 0 && c.unused {
			return nil, fmt.Errorf("target %s: send: %w: %w", l.address, ErrNotSent, err)
		}
		sent <- err
	} else {
		// The target may answer before it has read a long body.
		go func() {
			_, err := c.Write(message)
			sent <- err
		}()
	}
	c.unused = false
	answer, err := c.readAnswer(l, r, now)
	if err != nil {
		return nil, err
	}
	select {
	case err := <-sent:
		c.reusable = c.reusable && err == nil
	default:
		c.reusable = false
	}
	return answer, nil
}

// readAnswer returns the answer to a request, past those to others.
func (c *conn) readAnswer(l *Client, r *Request, begin time.Time) (*Answer, error) {
	for range maxStrayAnswers {
		//nolint:bodyclose // The body is read to its end, or the connection is closed.
		resp, err := http.ReadResponse(c.reader, &http.Request{Method: r.Method})
		if err != nil {
			return nil, fmt.Errorf("target %s: read: %w: %w", l.address, ErrIncomplete, err)
		}
		if resp.StatusCode < http.StatusOK {
			continue
		}
		if echo := resp.Header.Get(l.headers.Request); echo != "" && echo != r.ID {
			if _, err := io.CopyN(io.Discard, resp.Body, bodyLimit); !errors.Is(err, io.EOF) {
				return nil, fmt.Errorf("target %s: answer to request %s: %w", l.address, echo, ErrIncomplete)
			}
			continue
		}
		return c.readBody(l, resp)
	}
	return nil, fmt.Errorf("target %s: %w: %w", l.address, ErrIncomplete, errStrayAnswers)
}

// readBody reads an answer to its end.
func (c *conn) readBody(l *Client, resp *http.Response) (*Answer, error) {
	a := &Answer{
		Status: resp.StatusCode,
		Header: resp.Header,
		Length: resp.ContentLength,
	}
	var body bytes.Buffer
	if n := resp.ContentLength; n > 0 {
		body.Grow(int(min(n, bodyLimit)) + bytes.MinRead)
	}
	_, err := io.CopyN(&body, resp.Body, bodyLimit)
	a.Body = body.Bytes()
	if err == nil {
		a.Rest = &streamedBody{
			ReadCloser: resp.Body,
			conn:       c,
			client:     l,
		}
		return a, nil
	}
	if !errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		return nil, fmt.Errorf("target %s: body: %w: %w", l.address, ErrIncomplete, err)
	}
	c.reusable = !resp.Close && resp.ContentLength >= 0 || !resp.Close && len(resp.TransferEncoding) > 0
	c.reusable = c.reusable && c.reader.Buffered() == 0
	c.expires = l.clock.Now().Add(idleTime(resp.Header))
	switch {
	case resp.StatusCode == http.StatusMisdirectedRequest:
		return a, fmt.Errorf("target %s: %w", l.address, ErrWrongTarget)
	case resp.Header.Get(l.headers.NotExecuted) != "":
		return a, fmt.Errorf("target %s: status %d: %w", l.address, resp.StatusCode, ErrNotExecuted)
	}
	return a, nil
}

// idleTime returns how long a connection may be used again.
func idleTime(h http.Header) time.Duration {
	for field := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		value, ok := strings.CutPrefix(strings.TrimSpace(field), "timeout=")
		if !ok {
			continue
		}
		if s, err := strconv.Atoi(value); err == nil && s >= 0 {
			return min(maxIdle, time.Duration(idleMargin*float64(s)*float64(time.Second)))
		}
	}
	return maxIdle
}

// streamedBody is the part of a long answer that is passed on as it comes.
type streamedBody struct {
	io.ReadCloser
	conn   *conn
	client *Client
}

// Close ends the connection, which carries no other request.
func (r *streamedBody) Close() error {
	r.client.discard(r.conn)
	return nil
}
