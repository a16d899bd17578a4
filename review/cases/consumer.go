package main

import (
	"bytes"
	"context"
	"fmt"
	"hash/fnv"
	"io"
	mathrand "math/rand/v2"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

var requestCounter atomic.Int64

// newRequestID returns an id that no other request has.
func newRequestID() string {
	return fmt.Sprintf("%06d%010x", requestCounter.Add(1), mathrand.Uint64()>>24)
}

// consumer is a caller with a connection of its own, which it keeps open for many requests.
type consumer struct {
	name  string
	zone  string
	fleet *fleet

	daemon    *daemon
	transport *http.Transport
}

// call describes a request.
type call struct {
	class   string
	method  string
	host    string
	path    string
	key     string
	body    []byte
	limit   time.Duration
	headers map[string]string
}

func hashOf(text string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(text))
	return h.Sum64()
}

// connect lets the platform choose a daemon for the next connections.
func (c *consumer) connect() {
	if c.transport != nil {
		c.transport.CloseIdleConnections()
	}
	c.daemon = c.fleet.choose(c.zone, hashOf(fmt.Sprint(c.name, requestCounter.Load())))
	front := c.daemon.front
	c.transport = &http.Transport{
		DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) {
			d := net.Dialer{Timeout: time.Second}
			return d.DialContext(ctx, "tcp", front)
		},
		DisableCompression:  true,
		MaxConnsPerHost:     1,
		MaxIdleConnsPerHost: 1,
	}
}

// send sends one request and returns its status, or 0 without a complete answer. After a
// failure or a close, the next request goes to a new connection.
func (c *consumer) send(q call) (int, http.Header, []byte) {
	if c.transport == nil {
		c.connect()
	}
	rec := c.fleet.record
	id := newRequestID()
	ctx, cancel := context.WithTimeout(context.Background(), q.limit)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, q.method, "http://"+q.host+q.path, bytes.NewReader(q.body))
	if err != nil {
		return 0, nil, nil
	}
	if q.method != http.MethodGet {
		// The transport must not send a request again by itself.
		req.GetBody = nil
	}
	req.Host = q.host
	req.Header.Set("Request-Id", id)
	req.Header.Set("Request-Deadline", fmt.Sprint(q.limit.Milliseconds()))
	if q.key != "" {
		req.Header.Set("Authorization", "Bearer "+q.key)
	}
	for name, value := range q.headers {
		req.Header.Set(name, value)
	}
	rec.sent(id, q.class, c.daemon.name)
	resp, err := c.transport.RoundTrip(req)
	if err != nil {
		rec.answered(id, 0, err.Error())
		c.connect()
		return 0, nil, nil
	}
	data, err := io.ReadAll(resp.Body)
	_ = resp.Body.Close()
	if err != nil {
		rec.answered(id, 0, "broken off: "+err.Error())
		c.connect()
		return 0, nil, nil
	}
	rec.answered(id, resp.StatusCode, resp.Header.Get("Retry-After"))
	if resp.Close || resp.StatusCode >= 400 {
		c.connect()
	}
	return resp.StatusCode, resp.Header, data
}
