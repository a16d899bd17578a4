package httpsender

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
)

var headers = &Headers{
	Request:     "Request-Id",
	Deadline:    "Request-Deadline",
	Instance:    "Expected-Instance",
	NotExecuted: "Not-Executed",
}

// target accepts connections and answers each request with what script returns:
// bytes to write, and whether to close the connection after them.
type target struct {
	listener net.Listener
	script   func(n int, r *http.Request) (string, bool)

	mu       sync.Mutex
	requests int
	conns    int
}

func newTarget(t *testing.T, script func(n int, r *http.Request) (string, bool)) *target {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &target{
		listener: l,
		script:   script,
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			s.mu.Lock()
			s.conns++
			s.mu.Unlock()
			go s.serve(c)
		}
	}()
	return s
}

func (s *target) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	reader := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		s.mu.Lock()
		s.requests++
		n := s.requests
		s.mu.Unlock()
		text, closes := s.script(n, r)
		if _, err := io.WriteString(c, text); err != nil || closes {
			return
		}
	}
}

func (s *target) counts() (requests, conns int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.requests, s.conns
}

func (s *target) link(share int) *Client {
	var d net.Dialer
	l := NewClient(s.listener.Addr().String(), headers, d.DialContext, clockwork.NewRealClock())
	l.SetMaxConnections(share)
	return l
}

func request(id string) *Request {
	return &Request{
		ID:       id,
		Method:   http.MethodGet,
		Path:     "/x",
		Host:     "h",
		Target:   "t",
		Deadline: time.Now().Add(2 * time.Second),
	}
}

func do(l *Client, r *Request) (*Answer, error) {
	return l.Do(context.Background(), context.Background(), r)
}

func response(id, extra, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nRequest-Id: %s\r\n%sContent-Length: %d\r\n\r\n%s", id, extra, len(body), body)
}

func TestDoErrorTellsWhetherRequestMayHaveExecuted(t *testing.T) {
	tests := []struct {
		name   string
		answer string
		closes bool
		want   error
	}{
		{name: "whole", answer: response("a", "", "body")},
		{name: "whole until the end", answer: "HTTP/1.1 200 OK\r\n\r\nbody", closes: true},
		{name: "nothing", closes: true, want: ErrIncomplete},
		{name: "truncated", answer: "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nbody", closes: true, want: ErrIncomplete},
		{name: "no HTTP", answer: "garbage\r\n\r\n", closes: true, want: ErrIncomplete},
		{name: "chunk missing", answer: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n", closes: true, want: ErrIncomplete},
		{name: "shed", answer: "HTTP/1.1 503 x\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n", want: ErrNotExecuted},
		{name: "another target", answer: "HTTP/1.1 421 x\r\nContent-Length: 0\r\n\r\n", want: ErrWrongTarget},
		{name: "another request's", answer: response("b", "", "no") + response("a", "", "body")},
		{name: "only another request's", answer: response("b", "", "no"), closes: true, want: ErrIncomplete},
		{name: "interim", answer: "HTTP/1.1 103 Early\r\n\r\n" + response("a", "", "body")},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := newTarget(t, func(int, *http.Request) (string, bool) { return test.answer, test.closes })
			answer, err := do(s.link(1), request("a"))
			if !errors.Is(err, test.want) || test.want == nil && err != nil {
				t.Fatalf("error %v, want %v", err, test.want)
			}
			if test.want == nil && string(answer.Body) != "body" {
				t.Errorf("body %q", answer.Body)
			}
			if n, _ := s.counts(); n != 1 {
				t.Errorf("sent %d times", n)
			}
		})
	}
}

func TestDoUnreachableTarget(t *testing.T) {
	s := newTarget(t, nil)
	l := s.link(1)
	_ = s.listener.Close()
	if _, err := do(l, request("a")); !errors.Is(err, ErrNotSent) {
		t.Errorf("error %v", err)
	}
	if l.Open() != 0 {
		t.Errorf("%d connections counted", l.Open())
	}
}

// TestStrayAnswerIsDiscarded sends bytes after a whole answer: the next request
// goes over another connection.
func TestStrayAnswerIsDiscarded(t *testing.T) {
	s := newTarget(t, func(_ int, r *http.Request) (string, bool) {
		id := r.Header.Get("Request-Id")
		return response(id, "", "body of "+id) + response("stray", "", "stray"), false
	})
	l := s.link(1)
	for i := range 5 {
		id := fmt.Sprint(i)
		answer, err := do(l, request(id))
		if err != nil || string(answer.Body) != "body of "+id {
			t.Fatalf("request %d: %v, %v", i, answer, err)
		}
		time.Sleep(5 * time.Millisecond)
	}
}

func TestConnectionReuse(t *testing.T) {
	tests := []struct {
		name  string
		extra string
		wait  time.Duration
		conns int
	}{
		{name: "kept", conns: 1},
		{name: "close", extra: "Connection: close\r\n", conns: 3},
		{name: "no time left", extra: "Keep-Alive: timeout=0\r\n", conns: 3},
		{name: "time left", extra: "Keep-Alive: timeout=5, max=9\r\n", conns: 1},
		{name: "time over", extra: "Keep-Alive: timeout=1\r\n", wait: 850 * time.Millisecond, conns: 3},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := newTarget(t, func(_ int, r *http.Request) (string, bool) {
				return response(r.Header.Get("Request-Id"), test.extra, "x"), false
			})
			l := s.link(4)
			for range 3 {
				if _, err := do(l, request("a")); err != nil {
					t.Fatal(err)
				}
				time.Sleep(test.wait)
			}
			if _, n := s.counts(); n != test.conns {
				t.Errorf("%d connections, want %d", n, test.conns)
			}
		})
	}
}

// TestConnectionClosedWhileIdle has the target close its connections right after each
// answer: the requests that follow are not sent on them.
func TestConnectionClosedWhileIdle(t *testing.T) {
	s := newTarget(t, func(_ int, r *http.Request) (string, bool) {
		return response(r.Header.Get("Request-Id"), "", "x"), true
	})
	l := s.link(1)
	for range 3 {
		if _, err := do(l, request("a")); err != nil {
			t.Fatal(err)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

func TestMaxConnections(t *testing.T) {
	s := newTarget(t, func(_ int, r *http.Request) (string, bool) {
		time.Sleep(10 * time.Millisecond)
		return response(r.Header.Get("Request-Id"), "", "x"), false
	})
	l := s.link(2)
	var wg sync.WaitGroup
	var mu sync.Mutex
	busy := 0
	for range 30 {
		wg.Go(func() {
			_, err := do(l, request("a"))
			mu.Lock()
			defer mu.Unlock()
			if errors.Is(err, ErrBusy) {
				busy++
			} else if err != nil {
				t.Error(err)
			}
		})
	}
	wg.Wait()
	if _, n := s.counts(); n > 2 {
		t.Errorf("%d connections, want 2 at most", n)
	}
	if busy > 30-2*waitersPerConnection {
		t.Errorf("%d of 30 found the queue full", busy)
	}
	if l.Open() > 2 {
		t.Errorf("%d connections counted", l.Open())
	}
}

func TestQueueContextBoundsWait(t *testing.T) {
	release := make(chan struct{})
	s := newTarget(t, func(_ int, r *http.Request) (string, bool) {
		<-release
		return response(r.Header.Get("Request-Id"), "", "x"), false
	})
	l := s.link(1)
	first := make(chan error, 1)
	go func() {
		_, err := do(l, request("a"))
		first <- err
	}()
	time.Sleep(50 * time.Millisecond)
	queue, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
	defer cancel()
	if _, err := l.Do(context.Background(), queue, request("b")); !errors.Is(err, ErrNotSent) {
		t.Errorf("error %v", err)
	}
	close(release)
	if err := <-first; err != nil {
		t.Error(err)
	}
	if n, _ := s.counts(); n != 1 {
		t.Errorf("%d requests sent", n)
	}
}

func TestCancelledRequestReturnsAtOnce(t *testing.T) {
	s := newTarget(t, func(int, *http.Request) (string, bool) {
		time.Sleep(time.Second)
		return "", true
	})
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
	defer cancel()
	begin := time.Now()
	_, err := s.link(1).Do(ctx, ctx, request("a"))
	if !errors.Is(err, ErrIncomplete) || !errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("error %v", err)
	}
	if took := time.Since(begin); took > 300*time.Millisecond {
		t.Errorf("took %v", took)
	}
}

// TestClosedGatePreventsSending checks that a request which was withdrawn is never sent.
func TestClosedGatePreventsSending(t *testing.T) {
	s := newTarget(t, func(_ int, r *http.Request) (string, bool) {
		return response(r.Header.Get("Request-Id"), "", "x"), false
	})
	l := s.link(1)
	closed := request("a")
	closed.Gate = &Gate{}
	if !closed.Gate.Close() {
		t.Fatal("gate was not closed")
	}
	if _, err := do(l, closed); !errors.Is(err, ErrNotSent) {
		t.Errorf("error %v", err)
	}
	sent := request("b")
	sent.Gate = &Gate{}
	if _, err := do(l, sent); err != nil || sent.Gate.Close() {
		t.Errorf("error %v, and the gate of a sent request was closed", err)
	}
	if n, _ := s.counts(); n != 1 {
		t.Errorf("%d requests sent, want 1", n)
	}
}

// TestQueueOrder names the pattern: answers that are late anyway use what the
// others leave.
func TestQueueOrder(t *testing.T) {
	now := time.Unix(1000, 0)
	after := func(d time.Duration) time.Time { return now.Add(d) }
	tests := []struct {
		name  string
		goals []time.Time
		want  []int
	}{
		{name: "by goal", goals: []time.Time{after(3), after(1), after(2)}, want: []int{1, 2, 0}},
		{name: "late ones last", goals: []time.Time{after(-2), after(5), after(-1)}, want: []int{1, 0, 2}},
		{name: "all late: first come", goals: []time.Time{after(-1), after(-3)}, want: []int{0, 1}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var q queue
			var handed []chan *conn
			for _, g := range test.goals {
				handed = append(handed, q.add(g))
			}
			for _, want := range test.want {
				if q.next(now) != handed[want] {
					t.Fatalf("place %d is not next", want)
				}
			}
		})
	}
}
