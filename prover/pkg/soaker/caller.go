package soaker

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"time"

	"plantaincleat/standin/pkg/platformsimulator"
)

// Routes of the first configuration: requests to all shards, idempotent requests
// to one target, and writes to one target, which are not idempotent.
const (
	routeAll   = "/all/"
	routeOne   = "/one/"
	routeWrite = "/write/"
)

const (
	// callerDeadline is the deadline of each request.
	callerDeadline = 1200 * time.Millisecond
	// meanRequestGap is the mean pause between two requests of a caller in a fleet of
	// usualDaemons. In a larger fleet it is longer, so that the load stays the same.
	meanRequestGap = 30 * time.Millisecond
	usualDaemons   = 6
	// refusalPause is the pause of a caller after a request that was not
	// answered with status 200.
	refusalPause = 50 * time.Millisecond
	dialTimeout  = time.Second
)

// callRecord is one request with its answer, as the caller saw it.
type callRecord struct {
	id     string
	route  string
	daemon int
	sent   time.Time
	done   time.Time
	// status is 0 if no complete answer was read.
	status int
	header http.Header
	body   []byte
	err    error
}

// caller sends one request after the other and keeps its connection for as long
// as the daemon does and every request succeeds.
type caller struct {
	soak   *Soak
	number int
	random *rand.Rand
	conn   net.Conn
	reader *bufio.Reader
	daemon *daemon
	sent   int
}

// run sends requests until stop is closed and records them.
func (c *caller) run(stop <-chan struct{}) {
	defer c.closeConn()
	mean := float64(meanRequestGap) * max(1, float64(len(c.soak.fleet.daemons))/usualDaemons)
	for {
		gap := time.Duration(c.random.ExpFloat64() * mean)
		select {
		case <-stop:
			return
		case <-time.After(gap):
		}
		rec := c.callNext()
		c.soak.ledger.addCall(rec)
		if rec.status != http.StatusOK {
			c.closeConn()
			time.Sleep(refusalPause)
		}
	}
}

// pickRoute returns a random route: 60% of the requests go to all shards, 20%
// to one target, and 20% are writes.
func (c *caller) pickRoute() string {
	switch n := c.random.IntN(10); {
	case n < 6:
		return routeAll
	case n < 8:
		return routeOne
	}
	return routeWrite
}

// callNext sends one request. Without a connection it picks a daemon first.
func (c *caller) callNext() *callRecord {
	if c.conn == nil {
		c.daemon = c.soak.pickDaemon(c.random)
	}
	return c.callTo(c.daemon, c.pickRoute())
}

// callTo sends one request to a daemon, over the caller's connection if it has
// one, which must lead to that daemon.
func (c *caller) callTo(d *daemon, route string) *callRecord {
	c.sent++
	c.daemon = d
	rec := &callRecord{
		id:    fmt.Sprintf("s%d-c%d-%d", c.soak.options.Seed, c.number, c.sent),
		route: route,
	}
	if c.conn == nil {
		conn, err := net.DialTimeout("tcp", c.daemon.callerAddress, dialTimeout)
		if err != nil {
			rec.err = err
			return rec
		}
		c.conn, c.reader = conn, bufio.NewReader(conn)
	}
	rec.daemon = c.daemon.number
	rec.sent = time.Now()
	rec.err = c.roundTrip(rec)
	rec.done = time.Now()
	return rec
}

// roundTrip sends a request and reads the whole answer.
func (c *caller) roundTrip(rec *callRecord) error {
	if err := c.conn.SetDeadline(time.Now().Add(callerDeadline + closeSlack)); err != nil {
		return err
	}
	method, body := http.MethodGet, ""
	if rec.route == routeWrite {
		method, body = http.MethodPost, "body of "+rec.id
	}
	req, err := http.NewRequest(method, "http://"+platformsimulator.RouteHost+rec.route+"x", strings.NewReader(body))
	if err != nil {
		return err
	}
	req.Header.Set("Request-Id", rec.id)
	req.Header.Set("Request-Deadline", fmt.Sprint(callerDeadline.Milliseconds()))
	var message bytes.Buffer
	if err := req.Write(&message); err != nil {
		return err
	}
	if _, err := c.conn.Write(message.Bytes()); err != nil {
		return err
	}
	resp, err := http.ReadResponse(c.reader, req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if rec.body, err = io.ReadAll(resp.Body); err != nil {
		return err
	}
	rec.status, rec.header = resp.StatusCode, resp.Header
	if resp.Close {
		c.closeConn()
	}
	return nil
}

func (c *caller) closeConn() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}
