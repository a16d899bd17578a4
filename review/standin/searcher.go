package main

import (
	"bufio"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// heartbeat is the time between two check-ins of a searcher.
const heartbeat = 1200 * time.Millisecond

// recordsPerAnswer is the number of records of 16 bytes in an answer.
const recordsPerAnswer = 25

// behaviour is how a searcher treats a request beyond serving it. The zero value serves.
type behaviour struct {
	// loseAnswer runs the request and resets the connection instead of answering.
	loseAnswer bool
	// extra is sent on the connection at the point where the answer to its next request is
	// due. Such bytes belong to no request.
	extra []byte
}

// searcher is a stand-in for one searcher.
type searcher struct {
	id, service, zone string
	slots, queue      int
	// work returns the time that a request takes.
	work func() time.Duration
	// behave decides on faults. It may be nil.
	behave func(r *http.Request) behaviour
	log    *journal
	store  *store
	// registered is the address in the entry.
	registered string

	// deadly is the path of requests that crash the searcher when it runs them, or empty.
	deadly string
	// drops is true if the searcher drops a deadly request when its connection closes, as most
	// do.
	drops bool
	// process counts the starts of the searcher from 0.
	process int

	listener net.Listener
	running  chan struct{}
	waiting  atomic.Int64
	ended    atomic.Bool

	mu    sync.Mutex
	state string
	beats int
	conns map[net.Conn]bool
}

// start opens the searcher's listener and registers it.
func (s *searcher) start() error {
	address := "127.0.0.1:0"
	if s.process > 0 {
		address = s.registered
	}
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	s.listener, s.running, s.state = l, make(chan struct{}, s.slots), "ready"
	s.conns = make(map[net.Conn]bool)
	if s.registered == "" {
		s.registered = l.Addr().String()
	}
	go s.accept()
	s.checkIn()
	go func() {
		for !s.ended.Load() {
			time.Sleep(heartbeat)
			s.checkIn()
		}
	}()
	return nil
}

func (s *searcher) key() string { return "servers/" + s.id }

// entry returns the searcher's entry in the store.
func (s *searcher) entry() map[string]any {
	return map[string]any{
		"service": s.service, "address": s.registered, "zone": s.zone, "version": "v1",
		"slots": s.slots, "state": s.state, "warmup-left-ms": 0, "sequence": s.beats,
	}
}

// checkIn writes the searcher's entry. The entry changes if more than its sequence does.
func (s *searcher) checkIn() {
	if s.ended.Load() {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.beats++
	mine := s.entry()
	if stored, ok := s.store.get(s.key()); ok {
		var now map[string]any
		if json.Unmarshal(stored, &now) == nil {
			now["sequence"] = mine["sequence"]
			a, _ := json.Marshal(now)
			b, _ := json.Marshal(mine)
			if string(a) == string(b) {
				return
			}
		}
	}
	value, _ := json.Marshal(mine)
	s.store.put(s.key(), value)
}

// drain reports the searcher as draining and returns the time of the store's confirmation.
func (s *searcher) drain() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state = "draining"
	value, _ := json.Marshal(s.entry())
	return s.store.put(s.key(), value)
}

// end ends the searcher: it removes its entry and closes its connections.
func (s *searcher) end() {
	if s.ended.Swap(true) {
		return
	}
	s.store.remove(s.key())
	_ = s.listener.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		_ = c.Close()
	}
}

const (
	// crashAfter is the time from the begin of the run of a deadly request to the crash.
	crashAfter = 130 * time.Millisecond
	// restartAfter is the time from a crash to the next start, under another id.
	restartAfter = 2 * time.Second
	// silence is the time without check-ins after which an entry is removed.
	silence = 3 * heartbeat
)

// crash ends the searcher at once. It sends nothing; its entry is removed later.
func (s *searcher) crash(id string) {
	if s.ended.Swap(true) {
		return
	}
	s.log.crashed(s, id)
	_ = s.listener.Close()
	s.mu.Lock()
	for c := range s.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
	}
	s.mu.Unlock()
	time.AfterFunc(silence, func() { s.store.remove(s.key()) })
	time.AfterFunc(restartAfter, func() {
		base, _, _ := strings.Cut(s.id, ".")
		next := &searcher{id: fmt.Sprintf("%s.%d", base, s.process+1), service: s.service, zone: s.zone, slots: s.slots, queue: s.queue,
			work: s.work, log: s.log, store: s.store, registered: s.registered, deadly: s.deadly, drops: s.drops, process: s.process + 1}
		if err := next.start(); err != nil {
			s.log.add("%s could not start again: %v", next.id, err)
		}
	})
}

func (s *searcher) accept() {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		s.conns[c] = true
		s.mu.Unlock()
		go s.serve(c)
	}
}

// serve serves one connection, one request after the other.
func (s *searcher) serve(c net.Conn) {
	defer func() {
		_ = c.Close()
		s.mu.Lock()
		delete(s.conns, c)
		s.mu.Unlock()
	}()
	in := bufio.NewReader(c)
	var extra []byte
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		if len(extra) > 0 {
			s.log.add("%s sends additional bytes on a connection on which %s is waiting", s.id, r.Header.Get("Request-Id"))
			if _, err := c.Write(extra); err != nil {
				return
			}
			extra = nil
		}
		answer, b := s.handle(r, len(body), func(d time.Duration) bool { return closedWithin(c, in, d) })
		if b.loseAnswer {
			if tcp, ok := c.(*net.TCPConn); ok {
				_ = tcp.SetLinger(0)
			}
			return
		}
		if s.ended.Load() {
			return
		}
		if _, err := c.Write(answer); err != nil {
			return
		}
		extra = b.extra
	}
}

// closedWithin waits for a time and reports whether the other side has closed the connection.
func closedWithin(c net.Conn, in *bufio.Reader, d time.Duration) bool {
	begin := time.Now()
	_ = c.SetReadDeadline(begin.Add(d))
	_, err := in.Peek(1)
	_ = c.SetReadDeadline(time.Time{})
	time.Sleep(d - time.Since(begin))
	var timeout net.Error
	return err != nil && !(errors.As(err, &timeout) && timeout.Timeout())
}

// message returns an answer with a status, headers and a body.
func message(status int, id string, headers []string, body []byte) []byte {
	var b strings.Builder
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	if id != "" {
		fmt.Fprintf(&b, "Request-Id: %s\r\n", id)
	}
	for _, h := range headers {
		b.WriteString(h + "\r\n")
	}
	fmt.Fprintf(&b, "Content-Length: %d\r\n\r\n", len(body))
	return append([]byte(b.String()), body...)
}

// handle serves a request and returns the answer. left waits for a time and reports whether
// the sender has closed the connection.
func (s *searcher) handle(r *http.Request, size int, left func(time.Duration) bool) ([]byte, behaviour) {
	if r.URL.Path == "/health" {
		status := http.StatusOK
		s.mu.Lock()
		if s.state != "ready" {
			status = http.StatusServiceUnavailable
		}
		s.mu.Unlock()
		return message(status, "", []string{"Instance-Id: " + s.id}, nil), behaviour{}
	}
	id := r.Header.Get("Request-Id")
	if want := r.Header.Get("Expected-Instance"); want != "" && want != s.id {
		return message(http.StatusMisdirectedRequest, id, []string{"Instance-Id: " + s.id}, nil), behaviour{}
	}
	var b behaviour
	if s.behave != nil {
		b = s.behave(r)
	}
	s.log.arrived(s, id)
	ms, _ := strconv.Atoi(r.Header.Get("Request-Deadline"))
	deadline := time.Now().Add(time.Duration(ms) * time.Millisecond)
	shed := message(http.StatusServiceUnavailable, id, []string{"Not-Executed: 1"}, nil)
	if s.waiting.Add(1) > int64(s.slots+s.queue) {
		s.waiting.Add(-1)
		b.loseAnswer = false
		s.log.add("%s rejects %s: full", s.id, id)
		return shed, b
	}
	defer s.waiting.Add(-1)
	select {
	case s.running <- struct{}{}:
	case <-time.After(time.Until(deadline)):
		b.loseAnswer = false
		return shed, b
	}
	defer func() { <-s.running }()
	s.log.ran(s, r.Method, id, r.URL.Path, size)
	if s.deadly != "" && r.URL.Path == s.deadly {
		if left(crashAfter) && s.drops {
			s.log.add("%s drops %s: its connection was closed", s.id, id)
			return nil, behaviour{loseAnswer: true}
		}
		s.crash(id)
		return nil, behaviour{loseAnswer: true}
	}
	time.Sleep(min(s.work(), time.Until(deadline)))
	signature := "Response-Signature: " + s.id + "." + id
	if !time.Now().Before(deadline) {
		return message(http.StatusGatewayTimeout, id, []string{signature}, nil), b
	}
	return message(http.StatusOK, id, []string{signature}, s.records()), b
}

// records returns the searcher's records.
func (s *searcher) records() []byte {
	h := fnv.New64a()
	_, _ = h.Write([]byte(s.id))
	var out []byte
	for i := range recordsPerAnswer {
		out = binary.BigEndian.AppendUint64(out, uint64(i)*2654435761)
		out = binary.BigEndian.AppendUint64(out, h.Sum64()+uint64(i))
	}
	return out
}

// around returns a function that draws times with a mean, between half and one and a half of
// it.
func around(mean time.Duration) func() time.Duration {
	return func() time.Duration { return mean/2 + rand.N(mean) }
}
