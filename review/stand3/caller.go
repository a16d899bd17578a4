package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// connectTimeout is the time that callers allow for a new connection.
const connectTimeout = time.Second

// request is one attempt of a caller.
type request struct {
	id, method, host, path string
	body                   []byte
	limit                  time.Duration
	header                 []string
}

// outcome is what a caller has seen of a request.
type outcome struct {
	// kept is true if the connection had carried a request before.
	kept   bool
	status int
	header http.Header
	body   []byte
	// err is set if there was no complete answer. sent is true if the request was written, and any if
	// some of an answer came.
	err  error
	sent bool
	any  bool
	took time.Duration
}

// caller sends requests, one at a time, on a connection that it keeps.
type caller struct {
	address string
	conn    net.Conn
	reader  *bufio.Reader
	used    bool
}

func (c *caller) close() {
	if c.conn != nil {
		_ = c.conn.Close()
	}
	c.conn = nil
}

// encode returns the bytes of a request.
func (r *request) encode() []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nRequest-Deadline: %d\r\n", r.method, r.path, r.host, r.id, r.limit.Milliseconds())
	for _, h := range r.header {
		b.WriteString(h + "\r\n")
	}
	if len(r.body) > 0 || r.method == http.MethodPost {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(r.body))
	}
	b.WriteString("\r\n")
	b.Write(r.body)
	return b.Bytes()
}

// countingReader remembers whether anything was read.
type countingReader struct {
	io.Reader
	n int
}

func (c *countingReader) Read(p []byte) (int, error) {
	n, err := c.Reader.Read(p)
	c.n += n
	return n, err
}

// do sends a request and waits for its answer until its time limit.
func (c *caller) do(r *request) (out outcome) {
	begin := time.Now()
	defer func() {
		out.took = time.Since(begin)
		if out.err != nil {
			c.close()
		}
	}()
	if c.conn == nil {
		nc, err := net.DialTimeout("tcp", c.address, connectTimeout)
		if err != nil {
			out.err = err
			return out
		}
		c.conn, c.reader, c.used = nc, bufio.NewReader(nc), false
	}
	out.kept = c.used
	c.used = true
	_ = c.conn.SetDeadline(begin.Add(r.limit))
	if _, err := c.conn.Write(r.encode()); err != nil {
		out.err = err
		return out
	}
	out.sent = true
	if _, err := c.reader.Peek(1); err != nil {
		out.err = err
		return out
	}
	out.any = true
	resp, err := http.ReadResponse(c.reader, &http.Request{
		Method: r.method,
	})
	if err != nil {
		out.err = err
		return out
	}
	out.status, out.header = resp.StatusCode, resp.Header
	out.body, out.err = io.ReadAll(resp.Body)
	if resp.Close {
		c.close()
	}
	return out
}
