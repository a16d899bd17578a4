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

// Routes of the world's first configuration.
const (
	routeAll   = "/all/"
	routeOne   = "/one/"
	routeWrite = "/write/"
)

const (
	// patience is a caller's time limit.
	patience = 1200 * time.Millisecond
	// callerGap is the mean time between two requests of a caller.
	callerGap = 30 * time.Millisecond
	// refusedGap is the time before a caller goes on after a refusal.
	refusedGap  = 50 * time.Millisecond
	dialTimeout = time.Second
)

// call is one request as its caller saw it.
type call struct {
	id     string
	route  string
	daemon int
	sent   time.Time
	done   time.Time
	// status is zero if no answer came whole.
	status int
	header http.Header
	body   []byte
	err    error
}

// caller sends requests one after the other and keeps its connection for as
// long as the daemon does.
type caller struct {
	soak   *Soak
	number int
	random *rand.Rand
	conn   net.Conn
	reader *bufio.Reader
	daemon *daemon
	sent   int
}

// run sends requests until stop is closed.
func (c *caller) run(stop <-chan struct{}) {
	defer c.hangUp()
	for {
		gap := time.Duration(c.random.ExpFloat64() * float64(callerGap))
		select {
		case <-stop:
			return
		case <-time.After(gap):
		}
		one := c.call()
		c.soak.ledger.add(one)
		if one.status != http.StatusOK {
			c.hangUp()
			time.Sleep(refusedGap)
		}
	}
}

// route picks the route of the next request.
func (c *caller) route() string {
	switch n := c.random.IntN(10); {
	case n < 6:
		return routeAll
	case n < 8:
		return routeOne
	}
	return routeWrite
}

// call sends one request, on a new connection if there is none.
func (c *caller) call() *call {
	if c.conn == nil {
		c.daemon = c.soak.pick(c.random)
	}
	return c.callTo(c.daemon, c.route())
}

// callTo sends one request to the daemon that the caller is connected to, or
// connects to it first.
func (c *caller) callTo(d *daemon, route string) *call {
	c.sent++
	c.daemon = d
	one := &call{
		id:    fmt.Sprintf("s%d-c%d-%d", c.soak.options.Seed, c.number, c.sent),
		route: route,
	}
	if c.conn == nil {
		conn, err := net.DialTimeout("tcp", c.daemon.link, dialTimeout)
		if err != nil {
			one.err = err
			return one
		}
		c.conn, c.reader = conn, bufio.NewReader(conn)
	}
	one.daemon = c.daemon.number
	one.sent = time.Now()
	one.err = c.exchange(one)
	one.done = time.Now()
	return one
}

// exchange sends a request and reads its answer.
func (c *caller) exchange(one *call) error {
	if err := c.conn.SetDeadline(time.Now().Add(patience + hangSlack)); err != nil {
		return err
	}
	method, body := http.MethodGet, ""
	if one.route == routeWrite {
		method, body = http.MethodPost, "body of "+one.id
	}
	req, err := http.NewRequest(method, "http://"+platformsimulator.RouteHost+one.route+"x", strings.NewReader(body))
	if err != nil {
		return err
	}
	req.Header.Set("Request-Id", one.id)
	req.Header.Set("Request-Deadline", fmt.Sprint(patience.Milliseconds()))
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
	if one.body, err = io.ReadAll(resp.Body); err != nil {
		return err
	}
	one.status, one.header = resp.StatusCode, resp.Header
	if resp.Close {
		c.hangUp()
	}
	return nil
}

func (c *caller) hangUp() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}
