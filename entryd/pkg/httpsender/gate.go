package httpsender

import "sync/atomic"

// Gate decides once whether a request is sent. Of Enter and Close, the first to
// be called wins. The zero value is undecided. It is safe for concurrent use.
type Gate struct {
	state atomic.Int32
}

const (
	gateEntered int32 = iota + 1
	gateClosed
)

// Enter reports whether the request may be sent.
func (g *Gate) Enter() bool {
	return g.state.CompareAndSwap(0, gateEntered) || g.state.Load() == gateEntered
}

// Close reports whether the request was not sent, and then never will be.
func (g *Gate) Close() bool {
	return g.state.CompareAndSwap(0, gateClosed) || g.state.Load() == gateClosed
}
