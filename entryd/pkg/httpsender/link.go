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
	// queueFactor times the connections is the number of requests that wait
	// for one.
	queueFactor = 8
	// maxIdle is how long a connection is kept without use if the target names
	// no time.
	maxIdle = 20 * time.Second
	// idleMargin is the part of the idle time that a target names in which a
	// connection is used again, so that the target does not close it meanwhile.
	idleMargin = 0.8
	// readBuffer holds an answer's head and a small body.
	readBuffer = 2 << 10
)

// Dial opens a connection.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// Client holds the connections to one target. It is safe for concurrent use.
type Client struct {
	address string
	headers *Headers
	dial    Dial
	clock   clockwork.Clock

	mu     sync.Mutex
	idle   []*conn
	open   int
	share  int
	closed bool
	queue  queue
	// connects is the time that the last connection took to be made.
	connects time.Duration
}

// NewClient returns a Link to the target at address, with a share of one
// connection.
func NewClient(address string, headers *Headers, dial Dial, clock clockwork.Clock) *Client {
	return &Client{
		address: address,
		headers: headers,
		dial:    dial,
		clock:   clock,
		share:   1,
	}
}

// SetShare changes the number of connections that may be open.
func (l *Client) SetShare(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.share = max(n, 1)
}

// Open returns the number of open connections.
func (l *Client) Open() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.open
}

// Connects returns the time that the last connection took to be made.
func (l *Client) Connects() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.connects
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

// take returns a connection that carries no request.
func (l *Client) take(ctx context.Context, goal time.Time) (*conn, error) {
	for {
		c, wait, err := l.reserve(goal)
		if err != nil {
			return nil, err
		}
		if wait != nil {
			if c, err = l.await(ctx, wait); err != nil {
				return nil, err
			}
		}
		if c == nil {
			return l.connect(ctx)
		}
		if c.sound() {
			return c, nil
		}
		l.drop(c)
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
	if l.open < l.share {
		l.open++
		return nil, nil, nil
	}
	if len(l.queue) >= queueFactor*l.share {
		return nil, nil, fmt.Errorf("target %s: %w", l.address, ErrBusy)
	}
	return nil, l.queue.add(goal), nil
}

// await returns what the queue hands out: a connection, or nil for leave to
// make one.
func (l *Client) await(ctx context.Context, wait chan *conn) (*conn, error) {
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
		l.put(c)
	} else {
		l.release()
	}
	return nil, fmt.Errorf("target %s: %w: %w", l.address, ErrNotSent, ctx.Err())
}

// connect makes a connection, for which a place was reserved.
func (l *Client) connect(ctx context.Context) (*conn, error) {
	begin := l.clock.Now()
	nc, err := l.dial(ctx, "tcp", l.address)
	if err != nil {
		l.release()
		return nil, fmt.Errorf("target %s: connect: %w: %w", l.address, ErrNotSent, err)
	}
	l.mu.Lock()
	l.connects = l.clock.Since(begin)
	l.mu.Unlock()
	return &conn{
		Conn:   nc,
		reader: bufio.NewReaderSize(nc, readBuffer),
		fresh:  true,
	}, nil
}

// put hands a connection on, or keeps it for later.
func (l *Client) put(c *conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed || l.open > l.share {
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

// drop closes a connection and gives its place to the next request.
func (l *Client) drop(c *conn) {
	c.close()
	l.release()
}

func (l *Client) release() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.queue) > 0 && l.open <= l.share {
		l.queue.next(l.clock.Now()) <- nil
		return
	}
	l.open--
}

var errUnexpected = errors.New("bytes that belong to no request")
