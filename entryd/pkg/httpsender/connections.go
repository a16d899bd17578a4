package httpsender

import "sync/atomic"

// Connections counts the connections of the clients that share it, and bounds them. The zero value
// sets no bound.
type Connections struct {
	// Max is the number of connections from which a client opens no second one to its target. Zero
	// means that there is no bound.
	Max  int
	open atomic.Int64
}

// Open returns the number of connections that are open or being opened.
func (c *Connections) Open() int { return int(c.open.Load()) }

// full reports whether a client may open only its first connection.
func (c *Connections) full() bool { return c.Max > 0 && c.Open() >= c.Max }

// Share makes the client count its connections in c. It must be called before the first request.
func (cl *Client) Share(c *Connections) { cl.shared = c }

// addOpen changes the number of open connections. The caller holds cl.mu.
func (cl *Client) addOpen(n int) {
	cl.open += n
	cl.shared.open.Add(int64(n))
}
