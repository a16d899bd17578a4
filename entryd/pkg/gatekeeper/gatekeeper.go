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

	"plantaincleat/entryd/pkg/accountant"
)

const (
	// DefaultAnswerTimeout is the default of Options.AnswerTimeout.
	DefaultAnswerTimeout = 10 * time.Second
	// DefaultHeadLimit is the greatest head of a request in bytes if Options.HeadLimit sets none.
	DefaultHeadLimit = 64 << 10
	// logInterval is the least time between two log lines of a keeper.
	logInterval = time.Second
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
	// waiters holds a channel for each request that has found no room and waits, in their order. It is
	// closed when bytes are released. The request may have stopped waiting.
	waiters []chan struct{}
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
