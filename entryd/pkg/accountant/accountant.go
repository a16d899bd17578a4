// Package accountant keeps the account of what callers make a daemon hold: connections, and bytes of
// heads, bodies, copies and answers. Its bounds follow from the host, not from the number of callers.
// When room runs out, it chooses the connections that make way.
//
// An Account is a deterministic state machine without goroutines, sockets or timers.
package accountant

import "time"

// ID identifies a connection. IDs are not used again.
type ID uint64

// Phase is what a connection is used for.
type Phase int

// Phases of a connection.
const (
	// Idle is the phase without a request: before the first byte and after an answer.
	Idle Phase = iota
	// Receiving is the phase in which a request has arrived in part. Nothing of it has been sent on.
	Receiving
	// Running is the phase from the end of the request to the first byte of the answer. A connection
	// in it never makes way.
	Running
	// Answering is the phase in which the answer is written.
	Answering
)

// Verdict is the decision on a charge.
type Verdict int

// Verdicts.
const (
	// Granted means that the bytes are charged.
	Granted Verdict = iota
	// Deferred means that there will be room once connections that make way have released theirs.
	Deferred
	// Refused means that there is no room.
	Refused
)

const (
	// minAge is the least age of a request in the comparison of requests that make way, so that
	// among new ones the largest does.
	minAge = 100 * time.Millisecond
	// slowAnswer is the time after which an answer that has not been read may make way.
	slowAnswer = 250 * time.Millisecond
)

// Limits bound an account.
type Limits struct {
	// Connections is the greatest number of connections.
	Connections int
	// Bytes is the greatest sum of the charges, in bytes.
	Bytes int64
	// Small is the charge in bytes up to which a connection may use all of Bytes. Larger ones leave
	// a part of it to small ones.
	Small int64
}

// reservedParts is the number of parts of Limits.Bytes of which one is left to small requests.
const reservedParts = 4

// holder is what one connection holds.
type holder struct {
	phase Phase
	// since is when the phase began.
	since time.Time
	bytes int64
	// leaving is true once the connection was chosen to make way.
	leaving bool
	// closed is true once the connection is closed. Its handler may still hold bytes.
	closed bool
	// detached is true for a request that has no connection of the listener.
	detached bool
}

// Account is the account of a listener. It must be created with New.
type Account struct {
	limits  Limits
	last    ID
	holders map[ID]*holder
	open    int
	bytes   int64
	// leavingBytes is the part of bytes that connections hold which make way.
	leavingBytes int64
}

// New returns an empty account.
func New(l Limits) *Account {
	return &Account{
		limits:  l,
		holders: make(map[ID]*holder),
	}
}

// Open records a new connection. If there are as many as allowed, it returns a connection that has to
// be closed for it first, and which counts as closed from then on. It returns ok false if none makes
// way.
func (a *Account) Open(now time.Time) (id, victim ID, ok bool) {
	if a.open >= a.limits.Connections {
		victim = a.chooseConnection(now)
		if victim == 0 {
			return 0, 0, false
		}
		a.leave(victim)
		a.Close(victim)
	}
	a.last++
	a.holders[a.last] = &holder{
		since: now,
	}
	a.open++
	return a.last, victim, true
}

// Join records a request that has no connection of the listener, such as one of another daemon. It
// never makes way. It is forgotten when all that it holds is released.
func (a *Account) Join() ID {
	a.last++
	a.holders[a.last] = &holder{
		phase:    Running,
		closed:   true,
		detached: true,
	}
	return a.last
}

// Close records that a connection is closed. What it holds stays charged until it is released.
func (a *Account) Close(id ID) {
	h := a.holders[id]
	if h == nil || h.closed {
		return
	}
	h.closed = true
	a.open--
	a.forget(id, h)
}

// forget removes a closed connection that holds nothing.
func (a *Account) forget(id ID, h *holder) {
	if h.closed && h.bytes == 0 {
		delete(a.holders, id)
	}
}

// Enter records the phase of a connection. It reports false, and does nothing, if the connection is
// closed or makes way.
func (a *Account) Enter(id ID, phase Phase, now time.Time) bool {
	h := a.holders[id]
	if h == nil || h.leaving || h.closed {
		return false
	}
	if h.phase != phase {
		h.phase, h.since = phase, now
	}
	return true
}

// Charge charges n bytes to a connection. If there is no room, it may return a connection that makes
// way for it and has to be closed. The caller asks again when something has been released after
// Deferred.
func (a *Account) Charge(id ID, n int64, now time.Time) (v Verdict, victim ID) {
	h := a.holders[id]
	if h == nil || h.leaving || h.closed && !h.detached {
		return Refused, 0
	}
	wanted := h.bytes + n
	room := a.limits.Bytes
	if wanted > a.limits.Small {
		room -= room / reservedParts
	}
	if a.bytes+n <= room {
		h.bytes = wanted
		a.bytes += n
		return Granted, 0
	}
	if a.bytes-a.leavingBytes+n <= room {
		return Deferred, 0
	}
	victim = a.chooseBytes(id, weigh(wanted, h.since, now), now)
	if victim == 0 {
		return Refused, 0
	}
	a.leave(victim)
	return Deferred, victim
}

// leave marks a connection that makes way.
func (a *Account) leave(id ID) {
	h := a.holders[id]
	h.leaving = true
	a.leavingBytes += h.bytes
}

// Release gives back n bytes of a connection, or all that it holds if it holds less.
func (a *Account) Release(id ID, n int64) {
	h := a.holders[id]
	if h == nil {
		return
	}
	n = min(n, h.bytes)
	h.bytes -= n
	a.bytes -= n
	if h.leaving {
		a.leavingBytes -= n
	}
	a.forget(id, h)
}

// ReleaseAll gives back all that a connection holds.
func (a *Account) ReleaseAll(id ID) {
	if h := a.holders[id]; h != nil {
		a.Release(id, h.bytes)
	}
}

// Bytes returns the sum of the charges.
func (a *Account) Bytes() int64 { return a.bytes }

// Connections returns the number of open connections.
func (a *Account) Connections() int { return a.open }

// weigh returns by how much a request has burdened the daemon so far: its bytes times its age. A
// large request that arrives quickly weighs less than one that stays.
func weigh(bytes int64, since, now time.Time) float64 {
	return float64(bytes) * max(now.Sub(since), minAge).Seconds()
}

// chooseBytes returns the connection that makes way for bytes: that with the heaviest incomplete
// request if it is heavier than weight, else that with the heaviest answer that is not read. It
// returns zero if there is none.
func (a *Account) chooseBytes(asking ID, weight float64, now time.Time) ID {
	var incomplete, unread ID
	var heaviest float64
	for id, h := range a.holders {
		w := weigh(h.bytes, h.since, now)
		switch {
		case id == asking || h.leaving || h.closed || h.bytes == 0:
		case h.phase == Receiving && w > weight && before(id, w, incomplete, weight):
			incomplete, weight = id, w
		case h.phase == Answering && now.Sub(h.since) >= slowAnswer && before(id, w, unread, heaviest):
			unread, heaviest = id, w
		}
	}
	if incomplete != 0 {
		return incomplete
	}
	return unread
}

// chooseConnection returns the connection that makes way for a new one: that which has been idle, whose
// request has been incomplete or whose answer has not been read for longest. It returns zero if there
// is none.
func (a *Account) chooseConnection(now time.Time) ID {
	var chosen ID
	var longest float64
	for id, h := range a.holders {
		age := now.Sub(h.since)
		if h.closed || h.phase == Running || h.phase == Answering && age < slowAnswer {
			continue
		}
		if before(id, age.Seconds(), chosen, longest) {
			chosen, longest = id, age.Seconds()
		}
	}
	return chosen
}

// before reports whether a connection makes way before another one, which may be zero, given what
// the choice goes by. The older connection does if that is equal.
func before(id ID, value float64, other ID, otherValue float64) bool {
	if other == 0 || value != otherValue {
		return other == 0 || value > otherValue
	}
	return id < other
}
