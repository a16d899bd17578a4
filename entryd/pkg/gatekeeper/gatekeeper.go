// Package gatekeeper keeps what callers make a daemon hold within the limits of its host. It counts
// the connections of a listener, charges what arrives on them before it is kept, and closes those that
// make way. The package accountant decides; this package reads and closes.
package gatekeeper

import (
	"log/slog"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rotisserie/eris"
	"golang.org/x/sys/unix"

	"plantaincleat/entryd/pkg/accountant"
)

const (
	// DefaultAnswerTimeout is the default of Options.AnswerTimeout.
	DefaultAnswerTimeout = 10 * time.Second
	// DefaultHeadLimit is the greatest head of a request in bytes if Options.HeadLimit sets none.
	DefaultHeadLimit = 64 << 10
	// logInterval is the least time between two log lines of a keeper.
	logInterval = time.Second
	// socketBuffer is the size of the buffers of a connection in the kernel, in bytes. They would
	// grow to megabytes for a caller that does not read its answers.
	socketBuffer = 64 << 10
	// userTimeout is the time that gRPC gives the bytes that it sends to be acknowledged. It sets it
	// only on connections that it accepts itself.
	userTimeout = 20 * time.Second
	// maxRoomWait bounds the time for which a request waits until those that make way have released
	// what they hold, and maxAnswerWait that for which an answer waits until others have been read
	// or have made way.
	maxRoomWait   = 200 * time.Millisecond
	maxAnswerWait = time.Second
	// waitingPart is the part of the bytes of the account that may wait so, as a divisor.
	waitingPart = 4
	// roomChecks is the number of times that a request asks for room in that time, whatever is
	// released.
	roomChecks = 5
)

// Options configure a Keeper.
type Options struct {
	// Name is that of the listener, for the log.
	Name   string
	Limits accountant.Limits
	Clock  clockwork.Clock
	// AnswerTimeout bounds the time for which a caller takes nothing of an answer. Zero means
	// DefaultAnswerTimeout.
	AnswerTimeout time.Duration
	// HeadLimit returns the greatest head of a request in bytes, or zero for DefaultHeadLimit. It may
	// be nil.
	HeadLimit func() int
	// Opaque is true if the listener's protocol is not HTTP/1. Only its connections are counted.
	Opaque bool
	// Encrypted is true if the connections carry TLS, whose content the keeper cannot read.
	Encrypted bool
}

// Counts are what a keeper has counted since it was created, but for Connections and Bytes, which are
// the present ones.
type Counts struct {
	Connections int   `json:"connections"`
	Bytes       int64 `json:"bytes"`
	// Closed are the connections that were closed for new ones, and Turned the new ones that were
	// closed because there was none to close.
	Closed uint64 `json:"closed"`
	Turned uint64 `json:"turned"`
	// Evicted are the requests that made way, unfinished, for others, and Refused those for which
	// there was no room.
	Evicted uint64 `json:"evicted"`
	Refused uint64 `json:"refused"`
	// Late are the requests whose body did not arrive in time, and Oversized those with a longer head
	// or body than allowed.
	Late      uint64 `json:"late"`
	Oversized uint64 `json:"oversized"`
	// Slowed are the requests whose framing was read more slowly because it is out of proportion to
	// the content, or because they came in tiny pieces.
	Slowed uint64 `json:"slowed"`
}

// Keeper guards one listener. It must be created with New. It is safe for concurrent use.
type Keeper struct {
	Options
	pacer pacer
	// waiting is the sum of the bytes of answers that wait for room.
	waiting atomic.Int64

	mu      sync.Mutex
	account *accountant.Account
	conns   map[accountant.ID]*conn
	counts  Counts
	// told holds the counts that were written to the log last, at lastLog.
	told    Counts
	lastLog time.Time
	// released is closed when bytes are released. It is nil unless a request waits for that.
	released chan struct{}
}

// New returns a keeper.
func New(o Options) *Keeper {
	if o.AnswerTimeout <= 0 {
		o.AnswerTimeout = DefaultAnswerTimeout
	}
	return &Keeper{
		Options: o,
		account: accountant.New(o.Limits),
		conns:   make(map[accountant.ID]*conn),
	}
}

// Counts returns the counts.
func (k *Keeper) Counts() Counts {
	k.mu.Lock()
	defer k.mu.Unlock()
	c := k.counts
	c.Connections, c.Bytes = k.account.Connections(), k.account.Bytes()
	return c
}

// count changes the counts, and tells of them.
func (k *Keeper) count(change func(c *Counts)) {
	k.mu.Lock()
	change(&k.counts)
	k.mu.Unlock()
	k.tell()
}

// tell writes the counts to the log if they have changed, unless it has done so a short time ago.
func (k *Keeper) tell() {
	k.mu.Lock()
	now := k.Clock.Now()
	due := k.counts != k.told && now.Sub(k.lastLog) >= logInterval
	if due {
		k.told, k.lastLog = k.counts, now
	}
	k.mu.Unlock()
	if !due {
		return
	}
	c := k.Counts()
	slog.Warn("callers are refused or closed because of what they make the daemon hold", "listener", k.Name,
		"connections", c.Connections, "bytes", c.Bytes, "closed", c.Closed, "turned", c.Turned,
		"evicted", c.Evicted, "refused", c.Refused, "late", c.Late, "oversized", c.Oversized, "slowed", c.Slowed)
}

// headLimit returns the greatest head of a request in bytes.
func (k *Keeper) headLimit() int {
	if k.HeadLimit != nil {
		if n := k.HeadLimit(); n > 0 {
			return n
		}
	}
	return DefaultHeadLimit
}

// Listen opens a listener at address whose connections are counted. It closes others, or the new one,
// if there are too many. field is the setting with the address, for errors.
func (k *Keeper) Listen(field, address string) (net.Listener, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, eris.Wrap(err, field)
	}
	return &listener{
		Listener: l,
		keeper:   k,
	}, nil
}

type listener struct {
	net.Listener
	keeper *Keeper
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	for {
		raw, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c := l.keeper.open(raw); c != nil {
			l.keeper.prepare(raw)
			return c, nil
		}
		_ = raw.Close()
	}
}

// prepare sets the options of a new connection. Without success it has the usual ones.
func (k *Keeper) prepare(nc net.Conn) {
	c, ok := nc.(*net.TCPConn)
	if !ok {
		return
	}
	if k.Opaque {
		setUserTimeout(c, userTimeout)
		return
	}
	_ = c.SetReadBuffer(socketBuffer)
	_ = c.SetWriteBuffer(socketBuffer)
}

// setUserTimeout sets the time after which a connection breaks on which sent bytes are not
// acknowledged.
func setUserTimeout(c *net.TCPConn, d time.Duration) {
	raw, err := c.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(fd uintptr) {
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(d.Milliseconds()))
	})
}

// open records a new connection and closes the one that makes way for it. It returns nil if there is
// no room.
func (k *Keeper) open(raw net.Conn) *conn {
	k.mu.Lock()
	id, victim, ok := k.account.Open(k.Clock.Now())
	if !ok {
		k.counts.Turned++
		k.mu.Unlock()
		k.tell()
		return nil
	}
	closed := k.conns[victim]
	delete(k.conns, victim)
	if closed != nil {
		k.counts.Closed++
	}
	c := &conn{
		Conn:    raw,
		keeper:  k,
		id:      id,
		evicted: make(chan struct{}),
	}
	k.conns[id] = c
	k.mu.Unlock()
	if closed != nil {
		closed.evict()
		_ = closed.Conn.Close()
		k.tell()
	}
	return c
}

// closeConn records that a connection is closed.
func (k *Keeper) closeConn(c *conn) {
	k.mu.Lock()
	defer k.mu.Unlock()
	delete(k.conns, c.id)
	k.account.Close(c.id)
}

// enter records the phase of a connection. It reports false if the connection makes way.
func (k *Keeper) enter(c *conn, phase accountant.Phase) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.account.Enter(c.id, phase, k.Clock.Now())
}

// release gives back n bytes of a connection.
func (k *Keeper) release(c *conn, n int64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.account.Release(c.id, n)
	k.wakeLocked()
}

// releaseAll gives back all bytes of a connection, which enters a phase.
func (k *Keeper) releaseAll(c *conn, phase accountant.Phase) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.account.Enter(c.id, phase, k.Clock.Now())
	k.account.ReleaseAll(c.id)
	k.wakeLocked()
}

// wakeLocked wakes the requests that wait for room. The caller holds k.mu.
func (k *Keeper) wakeLocked() {
	if k.released != nil {
		close(k.released)
		k.released = nil
	}
}

// Reserve charges n bytes for a request that comes on no connection of the keeper's listener. It does
// not wait. It reports whether there is room; release then gives it back.
func (k *Keeper) Reserve(n int64) (release func(), ok bool) {
	k.mu.Lock()
	id := k.account.Join()
	k.mu.Unlock()
	verdict, _ := k.tryCharge(id, n)
	release = func() {
		k.mu.Lock()
		defer k.mu.Unlock()
		k.account.ReleaseAll(id)
		k.wakeLocked()
	}
	if verdict != accountant.Granted {
		release()
		return nil, false
	}
	return release, true
}

// charge charges n bytes to a connection, once there is room. It reports whether there is.
func (k *Keeper) charge(c *conn, n int64) bool {
	verdict, released := k.tryCharge(c.id, n)
	if verdict == accountant.Deferred {
		return k.chargeLater(c, n, released, maxRoomWait)
	}
	return verdict == accountant.Granted
}

// chargeAnswer is like charge for an answer, which is held already. It also waits for others that may
// have been read by then, unless too many bytes wait.
func (k *Keeper) chargeAnswer(c *conn, n int64) bool {
	verdict, released := k.tryCharge(c.id, n)
	if verdict == accountant.Granted {
		return true
	}
	defer k.waiting.Add(-n)
	if k.waiting.Add(n) > k.Limits.Bytes/waitingPart {
		return false
	}
	return k.chargeLater(c, n, released, maxAnswerWait)
}

// chargeLater charges n bytes to a connection as soon as there is room. It reports whether there is
// within a time. released is closed when something is released.
func (k *Keeper) chargeLater(c *conn, n int64, released <-chan struct{}, limit time.Duration) bool {
	timeout := k.Clock.NewTimer(limit)
	defer timeout.Stop()
	// What has become old enough to make way is not told.
	again := k.Clock.NewTicker(limit / roomChecks)
	defer again.Stop()
	for {
		select {
		case <-released:
		case <-again.Chan():
		case <-c.evicted:
			return false
		case <-timeout.Chan():
			return false
		}
		var verdict accountant.Verdict
		if verdict, released = k.tryCharge(c.id, n); verdict == accountant.Granted {
			return true
		}
	}
}

// tryCharge asks the account once and evicts the connection that makes way. Unless the bytes are
// charged, it returns a channel that is closed when some are released.
func (k *Keeper) tryCharge(id accountant.ID, n int64) (accountant.Verdict, <-chan struct{}) {
	k.mu.Lock()
	verdict, victim := k.account.Charge(id, n, k.Clock.Now())
	if verdict != accountant.Granted && k.released == nil {
		k.released = make(chan struct{})
	}
	evicted, released := k.conns[victim], k.released
	switch {
	case evicted != nil:
		k.counts.Evicted++
	case verdict == accountant.Refused:
		k.counts.Refused++
	}
	k.mu.Unlock()
	if evicted != nil {
		evicted.evict()
	}
	if verdict != accountant.Granted {
		k.tell()
	}
	return verdict, released
}

// ObserveConnState follows the requests of a connection. It must be called by the ConnState hook of
// the http.Server.
func (k *Keeper) ObserveConnState(nc net.Conn, state http.ConnState) {
	c := unwrap(nc)
	if c == nil {
		return
	}
	switch state {
	case http.StateActive:
		c.headEnded()
	case http.StateIdle:
		c.becomeIdle()
	case http.StateClosed, http.StateHijacked:
		k.releaseAll(c, accountant.Idle)
	}
}

// unwrap returns the connection of a keeper below nc, which may be one with TLS, or nil.
func unwrap(nc net.Conn) *conn {
	if outer, ok := nc.(interface{ NetConn() net.Conn }); ok {
		nc = outer.NetConn()
	}
	c, _ := nc.(*conn)
	return c
}
