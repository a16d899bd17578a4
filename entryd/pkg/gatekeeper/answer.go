package gatekeeper

import "context"

// Answer is the room for the answer to a request, until it was written.
type Answer struct {
	conn     *conn
	reserved int64
}

// ReserveAnswer charges n bytes for the answer to a request that has not been passed on. It returns
// ErrNoRoom if there is no room.
func ReserveAnswer(ctx context.Context, n int64) (*Answer, error) {
	a := &Answer{
		conn:     connOf(ctx),
		reserved: n,
	}
	if a.conn != nil && n > 0 && !a.conn.keeper.charge(a.conn, n) {
		return nil, ErrNoRoom
	}
	return a, nil
}

// Resize changes what is charged to the n bytes that the answer has. It returns ErrNoRoom if it is
// larger than was reserved and there is no room for the rest.
func (a *Answer) Resize(n int64) error {
	more := n - a.reserved
	switch {
	case a.conn == nil:
	case more > 0 && !a.conn.keeper.chargeAnswer(a.conn, more):
		return ErrNoRoom
	case more < 0:
		a.conn.keeper.release(a.conn, -more)
	}
	a.reserved = n
	return nil
}
