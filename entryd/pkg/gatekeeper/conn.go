package gatekeeper

import (
	"bytes"
	"io"
	"net"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"plantaincleat/entryd/pkg/accountant"
)

const (
	// lineBytes is what a header line costs besides its own bytes, in bytes: its entries in the
	// header and in the copy of the header that is forwarded.
	lineBytes = 400
	// headSlack is the number of bytes by which what was read in a head may exceed its limit: for the
	// request line, white space and the beginning of the body in the buffer of the server.
	headSlack = 8 << 10
	// waitDeadlines is the number of read deadlines that http.Server sets before it waits for the
	// first bytes of the next request. It sets more before it waits for the rest of a head of which
	// it has the beginning in its buffer.
	waitDeadlines = 1
	// rejectTimeout bounds the time to write the answer to a request of which no more is read.
	rejectTimeout = 100 * time.Millisecond
	// lingerTime and lingerBytes bound what is read of a request that has been answered before its end.
	lingerTime  = 500 * time.Millisecond
	lingerBytes = 256 << 10
	// retryAfter is the time after which a caller that was refused may come back.
	retryAfter = time.Second
)

// past is a deadline that makes reads and writes fail at once.
var past = time.Unix(1, 0)

// stage is the part of a request that is being read from a connection.
type stage int32

const (
	// between is the stage before the first byte of a request.
	between stage = iota
	inHead
	inBody
	// ended is the stage from the end of a request to the end of its answer.
	ended
)

// conn is a connection of a caller.
type conn struct {
	net.Conn
	keeper *Keeper
	id     accountant.ID
	stage  atomic.Int32
	// head is the size of the present head so far, in bytes. Only reads use it.
	head int
	// lastLines is the number of lines in the last read.
	lastLines atomic.Int64
	// deadlines is the number of read deadlines that were set since the last answer was written.
	deadlines atomic.Int32
	work      work
	// bounded is true while a write deadline is set that the keeper has not set.
	bounded atomic.Bool
	// answeredEarly is true if a request was answered that has not been read to its end.
	answeredEarly atomic.Bool
	// written is true once something of the present answer was written.
	written atomic.Bool

	// evicted is closed when the connection makes way.
	evicted   chan struct{}
	evictOnce sync.Once
	// deadlineMu orders changes of the read deadline and the eviction.
	deadlineMu sync.Mutex
}

// evict makes the request that is being read fail, or the answer that is being written.
func (c *conn) evict() {
	c.evictOnce.Do(func() {
		c.deadlineMu.Lock()
		defer c.deadlineMu.Unlock()
		close(c.evicted)
		_ = c.Conn.SetReadDeadline(past)
		if c.at(ended) {
			_ = c.Conn.SetWriteDeadline(past)
		}
	})
}

// at reports whether the connection is in a stage.
func (c *conn) at(s stage) bool { return stage(c.stage.Load()) == s }

func (c *conn) isEvicted() bool {
	select {
	case <-c.evicted:
		return true
	default:
		return false
	}
}

// SetReadDeadline implements net.Conn. It has no effect once the connection makes way.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.deadlineMu.Lock()
	defer c.deadlineMu.Unlock()
	c.deadlines.Add(1)
	if c.isEvicted() {
		return nil
	}
	return c.Conn.SetReadDeadline(t)
}

// SetWriteDeadline implements net.Conn. It replaces the time that callers have by default.
func (c *conn) SetWriteDeadline(t time.Time) error {
	c.bounded.Store(!t.IsZero())
	return c.Conn.SetWriteDeadline(t)
}

// SetDeadline implements net.Conn.
func (c *conn) SetDeadline(t time.Time) error {
	if err := c.SetReadDeadline(t); err != nil {
		return err
	}
	return c.SetWriteDeadline(t)
}

// Close implements net.Conn. A connection on which a request was answered that has not been read to its
// end stays for a moment, since the caller would lose the answer if bytes arrive on a closed one.
func (c *conn) Close() error {
	if c.answeredEarly.Swap(false) {
		c.linger()
	}
	c.keeper.closeConn(c)
	return c.Conn.Close()
}

// linger waits until the caller has closed the connection, and drops what arrives meanwhile.
func (c *conn) linger() {
	c.keeper.releaseAll(c, accountant.Idle)
	if c.CloseWrite() != nil || c.Conn.SetReadDeadline(time.Now().Add(lingerTime)) != nil {
		return
	}
	_, _ = io.CopyN(io.Discard, c.Conn, lingerBytes)
}

// CloseWrite closes the side of the connection on which answers are written, as http.Server does
// before it closes the connection.
func (c *conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// SyscallConn implements syscall.Conn.
func (c *conn) SyscallConn() (syscall.RawConn, error) {
	if raw, ok := c.Conn.(syscall.Conn); ok {
		return raw.SyscallConn()
	}
	return nil, syscall.EINVAL
}

// Read implements net.Conn. What it returns is charged. If there is no room, it answers the request
// and fails.
func (c *conn) Read(p []byte) (int, error) {
	if c.keeper.Opaque {
		return c.readOpaque(p)
	}
	if c.at(between) && c.deadlines.Load() > waitDeadlines {
		c.beginHead()
		c.chargeBuffered()
	}
	if !c.at(ended) && !c.work.await(c) {
		c.keeper.count(func(counts *Counts) { counts.Refused++ })
		return 0, c.reject(statusUnavailable)
	}
	n, err := c.Conn.Read(p)
	if n > 0 {
		if status := c.receive(p[:n]); status != "" {
			return 0, c.reject(status)
		}
	}
	if err != nil && c.isEvicted() && !c.at(ended) {
		return 0, c.reject(statusUnavailable)
	}
	return n, err
}

// readOpaque reads from a connection whose protocol the keeper does not know. Once something has
// arrived, the connection does not make way.
func (c *conn) readOpaque(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 && c.stage.CompareAndSwap(int32(between), int32(ended)) {
		c.keeper.enter(c, accountant.Running)
	}
	return n, err
}

// Statuses of the answers that the package gives itself.
const (
	statusUnavailable = "503 Service Unavailable"
	statusTooLarge    = "431 Request Header Fields Too Large"
)

// receive accounts for what was read. It returns the status that refuses the request, or an empty one.
func (c *conn) receive(p []byte) string {
	if c.at(between) {
		c.beginHead()
	}
	c.work.received(len(p))
	c.lastLines.Store(c.countLines(p))
	if !c.at(inHead) {
		return ""
	}
	head, _, _ := bytes.Cut(p, []byte("\r\n\r\n"))
	lines := c.countLines(head)
	c.head += len(p)
	c.work.use(len(p))
	if c.head > c.keeper.headLimit()+headSlack {
		c.keeper.count(func(counts *Counts) { counts.Oversized++ })
		return statusTooLarge
	}
	if !c.keeper.charge(c, int64(len(p))+lines*lineBytes) {
		return statusUnavailable
	}
	return ""
}

// countLines returns the number of lines in what was read, or zero if that is encrypted.
func (c *conn) countLines(p []byte) int64 {
	if c.keeper.Encrypted {
		return 0
	}
	return int64(bytes.Count(p, []byte{'\n'}))
}

// beginHead begins a request.
func (c *conn) beginHead() {
	c.stage.Store(int32(inHead))
	c.head = 0
	c.work.reset()
	c.keeper.enter(c, accountant.Receiving)
}

// reject ends the reading of a request of which nothing was passed on, and returns the error of the
// read. It answers a request in its head itself; that in the body is answered by the handler.
func (c *conn) reject(status string) error {
	if !c.at(inHead) {
		return ErrNoRoom
	}
	if c.keeper.Encrypted {
		return io.EOF
	}
	answer := "HTTP/1.1 " + status + "\r\nConnection: close\r\nContent-Length: 0\r\n"
	if status == statusUnavailable {
		answer += "Retry-After: " + strconv.Itoa(int(retryAfter.Seconds())) + "\r\n"
	}
	_ = c.Conn.SetWriteDeadline(time.Now().Add(rejectTimeout))
	_, _ = c.Conn.Write([]byte(answer + "\r\n"))
	c.answeredEarly.Store(true)
	return io.EOF
}

// Write implements net.Conn. A caller that takes nothing of it for too long is closed.
func (c *conn) Write(p []byte) (int, error) {
	if c.keeper.Opaque {
		return c.Conn.Write(p)
	}
	if c.at(ended) && !c.written.Swap(true) {
		c.keeper.enter(c, accountant.Answering)
	}
	if err := c.allowWrite(); err != nil {
		return 0, err
	}
	return c.Conn.Write(p)
}

// allowWrite gives the caller time to take the next part of an answer, unless the connection makes way.
func (c *conn) allowWrite() error {
	c.deadlineMu.Lock()
	defer c.deadlineMu.Unlock()
	if c.at(ended) && c.isEvicted() {
		return ErrNoRoom
	}
	if c.bounded.Load() {
		return nil
	}
	return c.Conn.SetWriteDeadline(time.Now().Add(c.keeper.AnswerTimeout))
}

// headEnded records that the head of a request has been read.
func (c *conn) headEnded() {
	if stage(c.stage.Swap(int32(inBody))) != between {
		return
	}
	// A pipelined request was read together with the one before it.
	c.work.reset()
	c.keeper.enter(c, accountant.Receiving)
	c.chargeBuffered()
}

// chargeBuffered charges the lines of the last read, which the server has in its buffer.
func (c *conn) chargeBuffered() {
	if !c.keeper.charge(c, c.lastLines.Load()*lineBytes) {
		c.evict()
	}
}

// requestEnded records that a whole request has been read. It reports false if the connection makes
// way; the request must not be passed on then. Otherwise it does not make way before its answer.
func (c *conn) requestEnded() bool {
	if !c.keeper.enter(c, accountant.Running) {
		return false
	}
	c.written.Store(false)
	c.stage.Store(int32(ended))
	return true
}

// becomeIdle records that an answer was written.
func (c *conn) becomeIdle() {
	c.deadlines.Store(0)
	c.work.reset()
	c.stage.Store(int32(between))
	c.keeper.releaseAll(c, accountant.Idle)
}
