package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// consumer sends requests on a connection that it keeps.
type consumer struct {
	log  *journal
	host string
	// source is the address that the consumer connects from.
	source string

	conn net.Conn
	in   *bufio.Reader
	// leaveAfter is the time after which the consumer closes its connection, or zero.
	leaveAfter time.Duration
	// used is when the connection was last used.
	used time.Time
}

// reuse is the time for which a connection may have been idle and is used again: four fifths
// of idle-timeout-ms.
const reuse = 12 * time.Second

// send sends a request and waits for its answer. It opens a new connection after an answer
// that closes it, and after an answer that tells to come back.
func (c *consumer) send(daemon, method, path, id, body string, limit time.Duration) outcome {
	o := outcome{id: id, path: path, daemon: daemon, sent: time.Now()}
	defer func() {
		o.at = time.Now()
		c.used = o.at
		c.log.answered(o)
	}()
	if time.Since(c.used) > reuse {
		c.close()
	}
	if c.conn == nil {
		conn, err := net.DialTimeout("tcp", daemon, time.Second)
		if err != nil {
			return o
		}
		c.conn, c.in = conn, bufio.NewReader(conn)
	}
	_ = c.conn.SetDeadline(time.Now().Add(limit + time.Second))
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nRequest-Deadline: %d\r\n", method, path, c.host, id, limit.Milliseconds())
	if body != "" {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(body))
	}
	b.WriteString("\r\n" + body)
	if _, err := io.WriteString(c.conn, b.String()); err != nil {
		c.close()
		return o
	}
	if c.leaveAfter > 0 {
		_ = c.conn.SetReadDeadline(time.Now().Add(c.leaveAfter))
	}
	resp, err := http.ReadResponse(c.in, &http.Request{Method: method})
	if err != nil {
		o.cut = errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, io.EOF)
		c.close()
		return o
	}
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		c.close()
		return o
	}
	o.status, o.body, o.header = resp.StatusCode, data, make(map[string]string)
	for name := range resp.Header {
		o.header[name] = strings.Join(resp.Header.Values(name), ", ")
	}
	if resp.Close || resp.StatusCode >= 500 {
		c.close()
	}
	return o
}

func (c *consumer) close() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}
