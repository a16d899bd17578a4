package relayer

import (
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// chunkSize bounds the bytes forwarded in one step.
	chunkSize = 32 << 10
	// maxChunks bounds the chunks of one direction that are under way.
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
	// client leads to the side that dialled, up to the side that is dialled.
	client net.Conn
	server net.Conn
}

// chunk is a piece of a stream on its way.
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

// run connects to the far side once the rules allow it, and forwards until
// either side closes.
func (c *conn) run() {
	defer c.close(false)
	if !c.waitUntilPassed(Up) || !c.dialServer() {
		return
	}
	var wg sync.WaitGroup
	wg.Go(func() { c.forward(Up, c.client, c.server, &c.link.bytesUp) })
	wg.Go(func() { c.forward(Down, c.server, c.client, &c.link.bytesDown) })
	wg.Wait()
}

// dialServer connects to the far side from the address of the near side, if that is
// a loopback address.
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

// waitUntilPassed blocks while the flow is cut. It returns false when the connection has
// to end.
func (c *conn) waitUntilPassed(d Direction) bool {
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

// forward copies one direction, each chunk after the delay of the rules. The
// end of the stream is passed on as a half-close.
func (c *conn) forward(d Direction, src, dst net.Conn, forwarded *atomic.Int64) {
	chunks := make(chan chunk, maxChunks)
	go c.readChunks(d, src, chunks)
	for k := range chunks {
		if !c.waitUntil(k.due) || !c.waitUntilPassed(d) {
			return
		}
		forwarded.Add(int64(len(k.data)))
		if _, err := dst.Write(k.data); err != nil {
			c.close(false)
			return
		}
	}
	if !c.waitUntilPassed(d) {
		return
	}
	if t, ok := dst.(*net.TCPConn); ok {
		_ = t.CloseWrite()
	}
}

// readChunks reads until the end of the stream or of the connection.
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

// waitUntil blocks until a chunk is due. It returns false when the connection ends.
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

// close ends both sides, with a reset if so asked.
func (c *conn) close(reset bool) {
	c.closeOnce.Do(func() {
		close(c.done)
		c.mu.Lock()
		sides := []net.Conn{c.client, c.server}
		c.mu.Unlock()
		for _, s := range sides {
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
