package httpsender

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// bodyLimit is the size of the part of a response body that is kept in memory, in
	// bytes.
	bodyLimit = 256 << 10
	// headLimit is the size of the head of a response in bytes from which the connection is
	// given up. Without it, a faulty target could fill the daemon's memory.
	headLimit = 64 << 10
	// maxStrayAnswers is the number of interim responses and responses to other requests
	// after which the connection is given up.
	maxStrayAnswers = 4
	// maxStatus is the greatest status of HTTP (RFC 9110, section 15).
	maxStatus = 599
)

// conn is one connection to a target.
type conn struct {
	net.Conn
	client *Client
	// limiter bounds what reader may read from the connection.
	limiter *readLimiter
	reader  *bufio.Reader
	// unused is true until the first request is sent.
	unused bool
	// reusable is true if the connection can carry another request.
	reusable bool
	// opened is when the connection was opened.
	opened time.Time
	// expires is when an idle connection must not be used any more.
	expires time.Time
}

// abort makes all pending and future reads and writes fail.
func (c *conn) abort() { _ = c.SetDeadline(time.Unix(1, 0)) }

func (c *conn) close() {
	c.client.connsMu.Lock()
	delete(c.client.conns, c)
	c.client.connsMu.Unlock()
	_ = c.Close()
}

// usable reports whether an idle connection is open and has no unread bytes. Bytes
// that arrive while no request is in flight belong to no request.
func (c *conn) usable() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	state := peek(c.Conn)
	return state == connQuiet || state == connUnknown
}

// connState is what a look at a connection shows, without reading from it.
type connState int

const (
	// connUnknown means that the connection does not allow a look at it.
	connUnknown connState = iota
	// connQuiet means that the connection is open and has no unread bytes.
	connQuiet
	// connHasData means that the connection has unread bytes.
	connHasData
	// connClosed means that the other side has closed the connection, or that it is broken.
	connClosed
)

// peek returns the state of a connection. It does not disturb a read in progress.
func peek(nc net.Conn) connState {
	sc, ok := nc.(syscall.Conn)
	if !ok {
		return connUnknown
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return connClosed
	}
	state := connClosed
	err = raw.Control(func(fd uintptr) {
		var one [1]byte
		n, _, e := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		switch {
		case errors.Is(e, syscall.EAGAIN):
			state = connQuiet
		case e == nil && n > 0:
			state = connHasData
		}
	})
	if err != nil {
		return connClosed
	}
	return state
}

// errReadLimit reports that a target has sent more than a response may contain.
var errReadLimit = errors.New("response is too long")

// readLimiter reads at most left bytes and then fails.
type readLimiter struct {
	io.Reader
	left int64
}

// Read implements io.Reader.
func (l *readLimiter) Read(p []byte) (int, error) {
	if l.left <= 0 {
		return 0, errReadLimit
	}
	n, err := l.Reader.Read(p[:min(int64(len(p)), l.left)])
	l.left -= int64(n)
	return n, err
}

// exchange sends a request and reads the response.
func (c *conn) exchange(cl *Client, r *Request) (*Answer, error) {
	c.reusable = false
	if !c.awaitOpen() {
		return nil, fmt.Errorf("target %s: connection was closed before the request: %w", cl.address, ErrNotSent)
	}
	now := cl.clock.Now()
	if err := c.SetDeadline(r.Deadline); err != nil {
		return nil, fmt.Errorf("target %s: set deadline of connection: %w: %w", cl.address, ErrNotSent, err)
	}
	if r.Admit != nil && !r.Admit() {
		c.reusable = true
		return nil, fmt.Errorf("target %s: %w: %w", cl.address, ErrNotAdmitted, ErrNotSent)
	}
	if r.Gate != nil && !r.Gate.Enter() {
		c.reusable = true
		return nil, fmt.Errorf("target %s: request was withdrawn: %w", cl.address, ErrNotSent)
	}
	sent := make(chan error, 1)
	message := cl.headers.encode(r, now)
	if message.len() <= bodyLimit/8 {
		n, err := message.writeTo(c.Conn)
		if err != nil && n == 0 && c.unused {
			return nil, fmt.Errorf("target %s: send: %w: %w", cl.address, ErrNotSent, err)
		}
		sent <- err
	} else {
		// The target may respond before it has read a long body.
		go func() {
			_, err := message.writeTo(c.Conn)
			sent <- err
		}()
	}
	c.unused = false
	answer, err := c.readAnswer(cl, r, now)
	if err != nil {
		return answer, err
	}
	select {
	case err := <-sent:
		c.reusable = c.reusable && err == nil
	default:
		c.reusable = false
	}
	return answer, nil
}

// readAnswer returns the response to a request, which has its id. It skips up to maxStrayAnswers
// interim responses and responses to other requests or to none.
func (c *conn) readAnswer(cl *Client, r *Request, sentAt time.Time) (*Answer, error) {
	for range maxStrayAnswers {
		c.limiter.left = headLimit
		//nolint:bodyclose // The body is read to its end, or the connection is closed.
		resp, err := readHead(c.reader, r.Method)
		if err != nil {
			return nil, fmt.Errorf("target %s: read response head: %w: %w", cl.address, ErrIncomplete, err)
		}
		if !IsFinal(resp.StatusCode) {
			continue
		}
		// Chunks and a trailer may be longer than the body.
		c.limiter.left = 2*bodyLimit + headLimit
		if echo := resp.Header.Get(cl.headers.Request); echo != r.ID {
			if err := skipBody(resp); err != nil {
				return nil, fmt.Errorf("target %s: skip response to request %q: %w: %w", cl.address, echo, ErrIncomplete, err)
			}
			continue
		}
		return c.readBody(cl, resp)
	}
	return nil, fmt.Errorf("target %s: %w: %w", cl.address, ErrIncomplete, errStrayAnswers)
}

// errInvalidStatus reports bytes that are no response: they have a status that HTTP does not define.
var errInvalidStatus = errors.New("invalid status")

// readHead reads the head of the next response, which may be an interim one. The body has to be
// read to its end, or the connection closed.
func readHead(reader *bufio.Reader, method string) (*http.Response, error) {
	resp, err := http.ReadResponse(reader, &http.Request{Method: method})
	if err != nil {
		return nil, err
	}
	if resp.StatusCode < http.StatusContinue || resp.StatusCode > maxStatus {
		return nil, fmt.Errorf("%w: %q", errInvalidStatus, resp.Status)
	}
	return resp, nil
}

// IsFinal reports whether a status is that of a response, and not of an interim one.
func IsFinal(status int) bool { return status >= http.StatusOK && status <= maxStatus }

// skipBody reads the body of a response to another request to its end.
func skipBody(resp *http.Response) error {
	switch _, err := io.CopyN(io.Discard, resp.Body, bodyLimit); {
	case err == nil:
		return errReadLimit
	case !errors.Is(err, io.EOF):
		return err
	}
	return nil
}

// readBody reads the body of a response to its end or up to bodyLimit bytes, and
// converts statuses that report that the request was not executed to errors.
func (c *conn) readBody(cl *Client, resp *http.Response) (*Answer, error) {
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
	refusal := cl.refusalOf(resp)
	if err == nil && refusal != nil {
		// The rest of the body tells nothing more, and may have no end.
		return a, refusal
	}
	if err == nil {
		c.limiter.left = math.MaxInt64
		a.Rest = &streamedBody{
			ReadCloser: resp.Body,
			conn:       c,
			client:     cl,
		}
		return a, nil
	}
	if !errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		return nil, fmt.Errorf("target %s: read response body: %w: %w", cl.address, ErrIncomplete, err)
	}
	c.reusable = !resp.Close && resp.ContentLength >= 0 || !resp.Close && len(resp.TransferEncoding) > 0
	c.reusable = c.reusable && c.reader.Buffered() == 0
	now := cl.clock.Now()
	c.expires = now.Add(idleTime(resp.Header))
	cl.recordAnswer(now)
	return a, refusal
}

// refusalOf returns the error of a response that reports that the request was not executed,
// and nil for any other.
func (cl *Client) refusalOf(resp *http.Response) error {
	switch {
	case resp.StatusCode == http.StatusMisdirectedRequest:
		return fmt.Errorf("target %s: %w", cl.address, ErrWrongTarget)
	case resp.Header.Get(cl.headers.NotExecuted) != "":
		return fmt.Errorf("target %s: status %d: %w", cl.address, resp.StatusCode, ErrNotExecuted)
	}
	return nil
}

// idleTime returns how long an idle connection may be reused, from the timeout in
// the Keep-Alive header if there is one.
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

// streamedBody streams the part of a long response body that is not kept in memory.
type streamedBody struct {
	io.ReadCloser
	conn   *conn
	client *Client
	once   sync.Once
}

// Close closes the connection, which is not reused. Only the first call has an effect.
func (r *streamedBody) Close() error {
	r.once.Do(func() { r.client.discard(r.conn) })
	return nil
}
