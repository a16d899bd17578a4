package relayer

import (
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// chunkSize is the maximum number of bytes that are forwarded in one step.
	chunkSize = 32 << 10
	// maxChunks is the maximum number of delayed chunks in one direction.
	maxChunks = 128
)

// conn is one forwarded connection.
type conn struct {
	relayer   *Relayer
	link      *link
	from      netip.Addr
	done      chan struct{}
	closeOnce sync.Once

	mu sync.Mutex
	// client is the connection from the client, server the one to the server. server
	// is nil until it is dialled.
	client net.Conn
	server net.Conn
}

// chunk is a piece of a stream, forwarded when it is due.
type chunk struct {
	data []byte
	due  time.Time
}

func (c *conn) flow(d Direction) flow {
	return flow{
		link:      c.link.Name,
		from:      c.from,
		direction: d,
	}
}

// run dials the server once the rules allow it, and forwards until both directions have
// ended or the connection is closed.
func (c *conn) run() {
	defer c.close(false)
	if action, _ := c.relayer.rules.Load().match(c.flow(Up)); action == Refuse {
		c.close(true)
		return
	}
	if !c.waitWhileCut(Up) || !c.dialServer() {
		return
	}
	var wg sync.WaitGroup
	wg.Go(func() { c.forward(Up, c.client, c.server, &c.link.bytesUp) })
	wg.Go(func() { c.forward(Down, c.server, c.client, &c.link.bytesDown) })
	wg.Wait()
}

// dialServer dials the server. If the client has a loopback address, it dials from that
// address. It returns false if the dial fails or the connection was closed meanwhile.
func (c *conn) dialServer() bool {
	d := net.Dialer{}
	if c.from.IsLoopback() {
		d.LocalAddr = &net.TCPAddr{
			IP: c.from.AsSlice(),
		}
	}
	server, err := d.Dial("tcp", c.link.To)
	if err != nil {
		return false
	}
	c.mu.Lock()
	c.server = server
	c.mu.Unlock()
	select {
	case <-c.done:
		_ = server.Close()
		return false
	default:
		return true
	}
}

// waitWhileCut blocks while the rules cut the direction. It returns false if the
// connection is closed or a rule resets it.
func (c *conn) waitWhileCut(d Direction) bool {
	for {
		rules := c.relayer.rules.Load()
		switch action, _ := rules.match(c.flow(d)); action {
		case Reset:
			c.close(true)
			return false
		case Cut:
			select {
			case <-rules.replaced:
			case <-c.done:
				return false
			}
		default:
			return true
		}
	}
}

// forward copies one direction from src to dst. It writes each chunk after the delay of
// the rules and adds its size to forwarded. The end of the stream is forwarded as a
// half-close.
func (c *conn) forward(d Direction, src, dst net.Conn, forwarded *atomic.Int64) {
	chunks := make(chan chunk, maxChunks)
	go c.readChunks(d, src, chunks)
	for k := range chunks {
		if !c.waitUntil(k.due) || !c.waitWhileCut(d) {
			return
		}
		forwarded.Add(int64(len(k.data)))
		if _, err := dst.Write(k.data); err != nil {
			c.close(false)
			return
		}
	}
	if !c.waitWhileCut(d) {
		return
	}
	if t, ok := dst.(*net.TCPConn); ok {
		_ = t.CloseWrite()
	}
}

// readChunks reads chunks from src until the stream ends or the connection is closed. A
// chunk is due after the delay that the rules had when it was read.
func (c *conn) readChunks(d Direction, src net.Conn, chunks chan<- chunk) {
	defer close(chunks)
	for {
		buffer := make([]byte, chunkSize)
		n, err := src.Read(buffer)
		if n > 0 {
			_, delay := c.relayer.rules.Load().match(c.flow(d))
			k := chunk{
				data: buffer[:n],
				due:  c.relayer.clock.Now().Add(delay),
			}
			select {
			case chunks <- k:
			case <-c.done:
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// waitUntil blocks until due. It returns false if the connection is closed first.
func (c *conn) waitUntil(due time.Time) bool {
	d := due.Sub(c.relayer.clock.Now())
	if d <= 0 {
		return true
	}
	select {
	case <-c.relayer.clock.After(d):
		return true
	case <-c.done:
		return false
	}
}

// close closes both connections, with a TCP reset if reset is true. Only the first call
// has an effect.
func (c *conn) close(reset bool) {
	c.closeOnce.Do(func() {
		close(c.done)
		c.mu.Lock()
		conns := []net.Conn{c.client, c.server}
		c.mu.Unlock()
		for _, s := range conns {
			closeConn(s, reset)
		}
		if reset {
			c.link.resets.Add(1)
		}
		c.link.open.Add(-1)
		c.relayer.remove(c)
	})
}

func closeConn(s net.Conn, reset bool) {
	if s == nil {
		return
	}
	if t, ok := s.(*net.TCPConn); ok && reset {
		_ = t.SetLinger(0)
	}
	_ = s.Close()
}
