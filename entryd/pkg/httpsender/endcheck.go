package httpsender

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"syscall"
	"time"
)

const (
	// endCheckTimeout bounds the time to open a connection that shows whether a target has
	// ended.
	endCheckTimeout = 50 * time.Millisecond
	// closeWait is the time in which an intermediary closes a connection that it has
	// accepted for a target that has ended.
	closeWait = 5 * time.Millisecond
	// recentAnswer is the time after an answer for which a target is taken to run.
	recentAnswer = 250 * time.Millisecond
	// peekInterval is the time between two looks at such a connection.
	peekInterval = time.Millisecond
)

// closedByTarget reports whether an exchange failed because the target's side closed
// the connection.
func closedByTarget(err error) bool {
	return errors.Is(err, ErrIncomplete) && (errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) ||
		errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE))
}

// endState is what a check whether a target has ended has shown.
type endState int

const (
	// goesOn means that the target accepts a connection, that an earlier one is open, or that
	// the daemon could not open a connection for a reason of its own.
	goesOn endState = iota
	// refuses means that the address refuses connections.
	refuses
	// isGone means that no new connection can be used, because none is accepted or each is
	// closed at once, and that all other connections are broken as well. An intermediary may
	// accept connections in place of the target. A target that only breaks off some answers,
	// or that has no room for a new connection, keeps the others.
	isGone
)

// endCheck is the result of a check whether a target has ended.
type endCheck struct {
	state endState
	// took is how long the address kept the connection of the check open.
	took time.Duration
}

// endedDuring reports whether the target's process has ended while it had the request that
// was sent on a connection, which has failed with err. If the address refuses connections,
// the target has accepted the connection itself. Behind an intermediary, the target must have
// been there when the request was sent; otherwise it may have ended before. It was there if
// it has answered a request since the connection was opened, or if the intermediary has read
// the request and kept the connection for longer than it keeps one now that the target has
// ended.
func (cl *Client) endedDuring(c *conn, err error) bool {
	lasted := cl.clock.Since(c.opened)
	check := cl.checkEnd()
	switch check.state {
	case refuses:
		return true
	case isGone:
		return cl.answeredSince(c.opened) || lasted > check.took && c.wasRead(err)
	}
	return false
}

// wasRead reports whether the other side has read all that was sent on a connection that it
// has closed. The kernel resets a connection that is closed with unread bytes, or that gets
// bytes after it was closed.
func (c *conn) wasRead(err error) bool {
	if errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE) {
		return false
	}
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	pending := -1
	err = raw.Control(func(fd uintptr) {
		if n, e := syscall.GetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_ERROR); e == nil {
			pending = n
		}
	})
	return err == nil && pending == 0
}

// answeredSince reports whether the target has answered a request after a time.
func (cl *Client) answeredSince(t time.Time) bool {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	return cl.lastAnswer.After(t)
}

// checkEnd finds out whether the target has ended. A new connection that can be used is
// kept for a later request.
func (cl *Client) checkEnd() endCheck {
	// Requests that have lost their connections at the same time share one check.
	check, _, _ := cl.endChecks.Do("", func() (any, error) {
		ctx, cancel := context.WithTimeout(context.Background(), endCheckTimeout)
		defer cancel()
		nc, err := cl.dial(ctx, "tcp", cl.address)
		switch {
		case errors.Is(err, syscall.ECONNREFUSED):
			return endCheck{
				state: refuses,
			}, nil
		case noAnswer(err) && !cl.hasSoundConn():
			return endCheck{
				state: isGone,
				took:  endCheckTimeout,
			}, nil
		case err != nil:
			return endCheck{
				state: goesOn,
			}, nil
		}
		opened := cl.clock.Now()
		if !cl.hasSoundConn() && closedWithin(nc, closeWait) {
			_ = nc.Close()
			return endCheck{
				state: isGone,
				took:  cl.clock.Since(opened),
			}, nil
		}
		cl.keep(nc)
		return endCheck{
			state: goesOn,
		}, nil
	})
	return check.(endCheck)
}

// awaitOpen reports whether a connection that has carried no request can carry one. If the
// target has not answered for recentAnswer, its end may be unknown, and an intermediary may
// have accepted the connection in its place: the request waits for closeWait, so that it is
// not sent where no process is.
func (c *conn) awaitOpen() bool {
	if !c.unused || c.client.answeredSince(c.client.clock.Now().Add(-recentAnswer)) {
		return true
	}
	if open := closeWait - c.client.clock.Since(c.opened); open > 0 && closedWithin(c.Conn, open) {
		return false
	}
	return c.usable()
}

// noAnswer reports whether a connection could not be opened because the address did not
// accept it. Other errors, such as a lack of descriptors, say nothing of the target.
func noAnswer(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout() || errors.Is(err, syscall.ECONNRESET)
}

// hasSoundConn reports whether the target has left one of the connections open.
func (cl *Client) hasSoundConn() bool {
	cl.connsMu.Lock()
	defer cl.connsMu.Unlock()
	for c := range cl.conns {
		if state := peek(c.Conn); state == connQuiet || state == connHasData {
			return true
		}
	}
	return false
}

// closedWithin reports whether the other side closes a connection within a time.
func closedWithin(nc net.Conn, limit time.Duration) bool {
	for end := time.Now().Add(limit); ; time.Sleep(peekInterval) {
		if state := peek(nc); state != connQuiet {
			return state == connClosed
		}
		if time.Now().After(end) {
			return false
		}
	}
}

// keep assigns a new connection to the next request in the queue or keeps it as idle.
// It closes the connection if no more connections may be open.
func (cl *Client) keep(nc net.Conn) {
	cl.mu.Lock()
	cl.addOpen(1)
	cl.mu.Unlock()
	cl.recycle(cl.newConn(nc))
}

// newConn returns a connection that has carried no request.
func (cl *Client) newConn(nc net.Conn) *conn {
	now := cl.clock.Now()
	limiter := &readLimiter{
		Reader: nc,
	}
	c := &conn{
		Conn:    nc,
		client:  cl,
		limiter: limiter,
		reader:  bufio.NewReaderSize(limiter, readBufferSize),
		unused:  true,
		opened:  now,
		expires: now.Add(maxIdle),
	}
	cl.connsMu.Lock()
	defer cl.connsMu.Unlock()
	if cl.conns == nil {
		cl.conns = make(map[*conn]struct{})
	}
	cl.conns[c] = struct{}{}
	return c
}
