package httpsender

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

const (
	// waitersPerConnection times the connections is the number of requests that wait
	// for one.
	waitersPerConnection = 8
	// maxIdle is how long a connection is kept without use if the target names
	// no time.
	maxIdle = 20 * time.Second
	// idleMargin is the part of the idle time that a target names in which a
	// connection is used again, so that the target does not close it meanwhile.
	idleMargin = 0.8
	// readBufferSize holds an answer's head and a small body.
	readBufferSize = 2 << 10
)

// Dial opens a connection.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// Client holds the connections to one target. It is safe for concurrent use.
type Client struct {
	address string
	headers *Headers
	dial    Dial
	clock   clockwork.Clock

	mu      sync.Mutex
	idle    []*conn
	open    int
	maxOpen int
	closed  bool
	queue   queue
	// connectTime is the time that the last connection took to be made.
	connectTime time.Duration
}

// NewClient returns a Link to the target at address, with a share of one
// connection.
func NewClient(address string, headers *Headers, dial Dial, clock clockwork.Clock) *Client {
	return &Client{
		address: address,
		headers: headers,
		dial:    dial,
		clock:   clock,
		maxOpen: 1,
	}
}

// SetMaxConnections changes the number of connections that may be open.
func (l *Client) SetMaxConnections(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.maxOpen = max(n, 1)
}

// Open returns the number of open connections.
func (l *Client) Open() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.open
}

// ConnectTime returns the time that the last connection took to be made.
func (l *Client) ConnectTime() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.connectTime
}

// Close closes the unused connections. Those in use are closed after it.
func (l *Client) Close() {
	l.mu.Lock()
	idle := l.idle
	l.idle, l.closed = nil, true
	l.open -= len(idle)
	l.mu.Unlock()
	for _, c := range idle {
		c.close()
	}
}

// Sweep closes the connections that were unused for too long.
func (l *Client) Sweep(now time.Time) {
	l.mu.Lock()
	var old []*conn
	kept := l.idle[:0]
	for _, c := range l.idle {
		if now.Before(c.expires) {
			kept = append(kept, c)
		} else {
			old = append(old, c)
		}
	}
	clear(l.idle[len(kept):])
	l.idle = kept
	l.open -= len(old)
	l.mu.Unlock()
	for _, c := range old {
		c.close()
	}
}

// acquire returns a connection that carries no request.
func (l *Client) acquire(ctx context.Context, goal time.Time) (*conn, error) {
	for {
		c, wait, err := l.reserve(goal)
		if err != nil {
			return nil, err
		}
		if wait != nil {
			if c, err = l.awaitConn(ctx, wait); err != nil {
				return nil, err
			}
		}
		if c == nil {
			return l.connect(ctx)
		}
		if c.usable() {
			return c, nil
		}
		l.discard(c)
	}
}

// reserve returns an idle connection, a channel to wait for one, or neither if
// a new one may be made.
func (l *Client) reserve(goal time.Time) (*conn, chan *conn, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	for n := len(l.idle); n > 0; n = len(l.idle) {
		c := l.idle[n-1]
		l.idle[n-1] = nil
		l.idle = l.idle[:n-1]
		if now.Before(c.expires) {
			return c, nil, nil
		}
		l.open--
		c.close()
	}
	if l.open < l.maxOpen {
		l.open++
		return nil, nil, nil
	}
	if len(l.queue) >= waitersPerConnection*l.maxOpen {
		return nil, nil, fmt.Errorf("target %s: %w", l.address, ErrBusy)
	}
	return nil, l.queue.add(goal), nil
}

// awaitConn returns what the queue hands out: a connection, or nil for leave to
// make one.
func (l *Client) awaitConn(ctx context.Context, wait chan *conn) (*conn, error) {
	select {
	case c := <-wait:
		return c, nil
	case <-ctx.Done():
	}
	l.mu.Lock()
	waited := l.queue.remove(wait)
	l.mu.Unlock()
	if waited {
		return nil, fmt.Errorf("target %s: %w: %w", l.address, ErrNotSent, ctx.Err())
	}
	// The connection was handed over meanwhile.
	if c := <-wait; c != nil {
		l.recycle(c)
	} else {
		l.releaseSlot()
	}
	return nil, fmt.Errorf("target %s: %w: %w", l.address, ErrNotSent, ctx.Err())
}

// connect makes a connection, for which a place was reserved.
func (l *Client) connect(ctx context.Context) (*conn, error) {
	begin := l.clock.Now()
	nc, err := l.dial(ctx, "tcp", l.address)
	if err != nil {
		l.releaseSlot()
		return nil, fmt.Errorf("target %s: connect: %w: %w", l.address, ErrNotSent, err)
	}
	l.mu.Lock()
	l.connectTime = l.clock.Since(begin)
	l.mu.Unlock()
	return &conn{
		Conn:   nc,
		reader: bufio.NewReaderSize(nc, readBufferSize),
		unused: true,
	}, nil
}

// recycle hands a connection on, or keeps it for later.
func (l *Client) recycle(c *conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed || l.open > l.maxOpen {
		l.open--
		c.close()
		return
	}
	if len(l.queue) > 0 {
		l.queue.next(l.clock.Now()) <- c
		return
	}
	l.idle = append(l.idle, c)
}

// discard closes a connection and gives its place to the next request.
func (l *Client) discard(c *conn) {
	c.close()
	l.releaseSlot()
}

func (l *Client) releaseSlot() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.queue) > 0 && l.open <= l.maxOpen {
		l.queue.next(l.clock.Now()) <- nil
		return
	}
	l.open--
}

var errStrayAnswers = errors.New("bytes that belong to no request")
