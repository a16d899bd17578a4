package httpsender

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"golang.org/x/sync/singleflight"

	"plantaincleat/entryd/pkg/valuer"
)

const (
	// maxIdle is how long a connection is kept idle. A target may state a shorter time
	// in the Keep-Alive header.
	maxIdle = 20 * time.Second
	// idleMargin is the fraction of the idle time stated by the target in which a
	// connection is reused. The margin prevents that a request is sent while the target
	// closes the connection.
	idleMargin = 0.8
	// readBufferSize is the size of a connection's read buffer in bytes. The head of a
	// response and a small body fit into it.
	readBufferSize = 2 << 10
)

// Dial opens a connection to an address.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// Client sends requests to one target and manages the connections to it. It is safe
// for concurrent use.
type Client struct {
	address string
	headers *Headers
	dial    Dial
	clock   clockwork.Clock

	mu sync.Mutex
	// idle holds the connections without a request, with the last used one at the end.
	idle []*conn
	// open is the number of connections that are open or being opened.
	open int
	// maxOpen is the maximum of open.
	maxOpen int
	// shared counts the open connections of all clients of the daemon.
	shared *Connections
	closed bool
	queue  queue
	// connectTime is how long it took to open the last connection.
	connectTime time.Duration
	// lastAnswer is when the target last answered a request in full.
	lastAnswer time.Time

	endChecks singleflight.Group

	connsMu sync.Mutex
	// conns holds the open connections, idle or not.
	conns map[*conn]struct{}
}

// NewClient returns a Client for the target at an address. It opens one connection
// at most until SetMaxConnections is called.
func NewClient(address string, headers *Headers, dial Dial, clock clockwork.Clock) *Client {
	return &Client{
		address: address,
		headers: headers,
		dial:    dial,
		clock:   clock,
		maxOpen: 1,
		shared:  &Connections{},
	}
}

// SetMaxConnections sets the maximum number of open connections. Values below one
// count as one.
func (cl *Client) SetMaxConnections(n int) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	cl.maxOpen = max(n, 1)
}

// Open returns the number of connections that are open or being opened.
func (cl *Client) Open() int {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	return cl.open
}

// LessUrgent returns the number of requests that wait for a connection behind those of a
// rank.
func (cl *Client) LessUrgent(rank uint32) int {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	return cl.queue.LessUrgent(rank)
}

// ConnectTime returns how long it took to open the last connection, or zero if none
// has been opened yet.
func (cl *Client) ConnectTime() time.Duration {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	return cl.connectTime
}

// recordAnswer records that the target has answered a request in full.
func (cl *Client) recordAnswer(now time.Time) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	cl.lastAnswer = now
}

// Close closes the idle connections. Connections that carry a request are closed
// when it has ended.
func (cl *Client) Close() {
	cl.mu.Lock()
	cl.closed = true
	cl.mu.Unlock()
	cl.CloseIdle()
}

// CloseIdle closes the connections that carry no request.
func (cl *Client) CloseIdle() {
	cl.mu.Lock()
	idle := cl.idle
	cl.idle = nil
	cl.addOpen(-len(idle))
	cl.mu.Unlock()
	for _, c := range idle {
		c.close()
	}
}

// Sweep closes the connections whose idle time has ended.
func (cl *Client) Sweep(now time.Time) {
	cl.mu.Lock()
	var expired []*conn
	kept := cl.idle[:0]
	for _, c := range cl.idle {
		if now.Before(c.expires) {
			kept = append(kept, c)
		} else {
			expired = append(expired, c)
		}
	}
	clear(cl.idle[len(kept):])
	cl.idle = kept
	cl.addOpen(-len(expired))
	cl.mu.Unlock()
	for _, c := range expired {
		c.close()
	}
}

// acquire returns an idle or a new connection. It waits in the queue if the maximum
// number of connections is open.
func (cl *Client) acquire(ctx context.Context, r *Request) (*conn, error) {
	begin := cl.clock.Now()
	for {
		c, wait, err := cl.reserve(r.offer())
		if wait != nil {
			c, err = cl.awaitConn(ctx, wait)
			r.Tally.RecordWait(r.Rank, cl.clock.Since(begin))
		}
		if errors.Is(err, ErrBusy) {
			r.Tally.RecordTurnedAway(r.Rank)
		}
		if err != nil {
			return nil, err
		}
		if c == nil {
			return cl.connect(ctx)
		}
		if c.usable() {
			return c, nil
		}
		cl.discard(c)
	}
}

// reserve returns an idle connection or, if all are in use, a channel to wait on.
// If it returns neither, it has reserved a slot in which the caller may open a
// connection.
func (cl *Client) reserve(o valuer.Offer) (*conn, chan *conn, error) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	now := cl.clock.Now()
	for n := len(cl.idle); n > 0; n = len(cl.idle) {
		c := cl.idle[n-1]
		cl.idle[n-1] = nil
		cl.idle = cl.idle[:n-1]
		if now.Before(c.expires) {
			return c, nil, nil
		}
		cl.addOpen(-1)
		c.close()
	}
	if cl.open < cl.maxOpen && (cl.open == 0 || !cl.shared.full()) {
		cl.addOpen(1)
		return nil, nil, nil
	}
	cl.queue.MaxLen, cl.queue.MaxBytes = waitersPerConnection*cl.maxOpen, maxWaitingBytes
	wait := cl.queue.add(now, o)
	if wait == nil {
		return nil, nil, fmt.Errorf("target %s: %w", cl.address, ErrBusy)
	}
	return nil, wait, nil
}

// awaitConn waits until a connection is assigned on a channel of the queue. It
// returns nil if the caller may open a connection instead.
func (cl *Client) awaitConn(ctx context.Context, wait chan *conn) (*conn, error) {
	select {
	case c, ok := <-wait:
		if !ok {
			return nil, fmt.Errorf("target %s: turned away for a more urgent request or past its deadline: %w", cl.address, ErrBusy)
		}
		return c, nil
	case <-ctx.Done():
	}
	cl.mu.Lock()
	removed := cl.queue.remove(wait)
	cl.mu.Unlock()
	if removed {
		return nil, fmt.Errorf("target %s: wait for a connection: %w: %w", cl.address, ErrNotSent, ctx.Err())
	}
	// The connection was assigned, or the request turned away, before it could be removed.
	switch c, ok := <-wait; {
	case !ok:
	case c != nil:
		cl.recycle(c)
	default:
		cl.releaseSlot()
	}
	return nil, fmt.Errorf("target %s: wait for a connection: %w: %w", cl.address, ErrNotSent, ctx.Err())
}

// connect opens a connection in a reserved slot. It releases the slot if that fails.
func (cl *Client) connect(ctx context.Context) (*conn, error) {
	begin := cl.clock.Now()
	nc, err := cl.dial(ctx, "tcp", cl.address)
	if err != nil {
		cl.releaseSlot()
		return nil, fmt.Errorf("target %s: connect: %w: %w: %w", cl.address, ErrUnreachable, ErrNotSent, err)
	}
	cl.mu.Lock()
	cl.connectTime = cl.clock.Since(begin)
	cl.mu.Unlock()
	return cl.newConn(nc), nil
}

// recycle assigns a connection to the next request in the queue, or keeps it as idle.
// It closes the connection if the client is closed or has too many connections.
func (cl *Client) recycle(c *conn) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	if cl.closed || cl.open > cl.maxOpen {
		cl.addOpen(-1)
		c.close()
		return
	}
	if ready := cl.queue.next(cl.clock.Now()); ready != nil {
		ready <- c
		return
	}
	cl.idle = append(cl.idle, c)
}

// discard closes a connection and releases its slot.
func (cl *Client) discard(c *conn) {
	c.close()
	cl.releaseSlot()
}

// releaseSlot passes the slot of a connection on to the next request in the queue.
func (cl *Client) releaseSlot() {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	if cl.open <= cl.maxOpen {
		if ready := cl.queue.next(cl.clock.Now()); ready != nil {
			ready <- nil
			return
		}
	}
	cl.addOpen(-1)
}

// errStrayAnswers reports that maxStrayAnswers interim responses and responses to other
// requests were read before the response to the request.
var errStrayAnswers = errors.New("too many interim responses or responses to other requests")
