package crowder

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"
)

const (
	// dialTimeout bounds one attempt to connect, and sendTime the time that a client takes to
	// send what it sends, so that a daemon that has stopped reading does not hold it up.
	dialTimeout = 2 * time.Second
	sendTime    = 4 * time.Second
	// holdTime is the time for which clients stay after the last has sent what it sends.
	holdTime = time.Second
	// rounds is the number of connections that a client opens, one after the other, if they
	// are closed while the crowd is there, and roundPause the pause between two of them.
	rounds     = 3
	roundPause = 200 * time.Millisecond
)

// Client is what each client of a crowd does on a connection.
type Client struct {
	// Pieces are written one after the other, with Pause after each of them.
	Pieces [][]byte
	Pause  time.Duration
	// Deaf is true if the client reads no answer.
	Deaf bool
}

// Crowd is a number of clients, each with a connection of its own.
type Crowd struct {
	address string
	client  func(id string) Client
	stopped chan struct{}
	wg      sync.WaitGroup
	sending sync.WaitGroup

	mu sync.Mutex
	// answered holds what clients have read, one element for each connection.
	answered [][]byte
}

// Gather starts n clients at an address. What each does on a connection follows from an id, which
// begins with prefix and is not used again. Gather returns when all have sent what they send, and have
// stayed for a while. Disperse closes their connections.
func Gather(address string, n int, prefix string, client func(id string) Client) *Crowd {
	c := &Crowd{
		address: address,
		client:  client,
		stopped: make(chan struct{}),
	}
	for i := range n {
		c.sending.Add(1)
		c.wg.Go(func() { c.run(fmt.Sprintf("%s-%d", prefix, i)) })
	}
	c.sending.Wait()
	time.Sleep(holdTime)
	return c
}

// Disperse closes the connections of all clients and waits until they have ended.
func (c *Crowd) Disperse() {
	close(c.stopped)
	c.wg.Wait()
}

// promises are the statuses that promise that a request has not run and will not.
var promises = []int{http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest}

// Refused returns the ids of the requests that were refused with a promise that they have not run.
func (c *Crowd) Refused() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var ids []string
	for _, answers := range c.answered {
		ids = append(ids, refused(answers)...)
	}
	return ids
}

// refused returns the ids of the requests that were refused with a promise, given the answers that were
// read from a connection.
func refused(answers []byte) []string {
	var ids []string
	reader := bufio.NewReader(bytes.NewReader(answers))
	for {
		resp, err := http.ReadResponse(reader, nil)
		if err != nil {
			return ids
		}
		_, _ = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
		id := resp.Header.Get("Request-Id")
		if slices.Contains(promises, resp.StatusCode) && id != "" {
			ids = append(ids, id)
		}
	}
}

// run opens the connections of one client.
func (c *Crowd) run(name string) {
	sent := sync.OnceFunc(c.sending.Done)
	defer sent()
	for round := range rounds {
		c.connect(c.client(fmt.Sprintf("%s-%d", name, round)), sent)
		select {
		case <-c.stopped:
			return
		case <-time.After(roundPause):
		}
	}
}

// connect sends what a client sends on one connection, and keeps that until the daemon closes it
// or the crowd is dispersed. It calls sent when everything is sent.
func (c *Crowd) connect(client Client, sent func()) {
	conn, err := net.DialTimeout("tcp", c.address, dialTimeout)
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	closed := make(chan struct{})
	if !client.Deaf {
		go func() {
			defer close(closed)
			data, _ := io.ReadAll(conn)
			c.mu.Lock()
			defer c.mu.Unlock()
			c.answered = append(c.answered, data)
		}()
	}
	_ = conn.SetWriteDeadline(time.Now().Add(sendTime))
	for _, piece := range client.Pieces {
		if _, err := conn.Write(piece); err != nil {
			return
		}
		time.Sleep(client.Pause)
	}
	sent()
	select {
	case <-closed:
	case <-c.stopped:
	}
}
