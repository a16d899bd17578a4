package httpsender

import "sync/atomic"

// Gate decides once whether a request is sent or withdrawn. The first call of Enter
// or Close makes the decision. The zero value is undecided. It is safe for
// concurrent use.
type Gate struct {
	state atomic.Int32
}

const (
	gateEntered int32 = iota + 1
	gateClosed
)

// Enter reports whether the request may be sent. It returns false if Close was
// called first.
func (g *Gate) Enter() bool {
	return g.state.CompareAndSwap(0, gateEntered) || g.state.Load() == gateEntered
}

// Close withdraws the request. It returns false if Enter was called first; otherwise
// the request was not sent and never will be.
func (g *Gate) Close() bool {
	return g.state.CompareAndSwap(0, gateClosed) || g.state.Load() == gateClosed
}
