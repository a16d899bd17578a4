package httpsender

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"plantaincleat/entryd/pkg/valuer"
)

var headers = &Headers{
	Request:     "Request-Id",
	Deadline:    "Request-Deadline",
	Instance:    "Expected-Instance",
	NotExecuted: "Not-Executed",
}

// target is a server that answers the n-th request with what script returns: the
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

func (s *target) client(maxOpen int) *Client {
	var d net.Dialer
	c := NewClient(s.listener.Addr().String(), headers, d.DialContext, clockwork.NewRealClock())
	c.SetMaxConnections(maxOpen)
	return c
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

func do(c *Client, r *Request) (*Answer, error) {
	return c.Do(context.Background(), context.Background(), r)
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
		{name: "complete", answer: response("a", "", "body")},
		{name: "complete, ends with the connection", answer: "HTTP/1.1 200 OK\r\nRequest-Id: a\r\n\r\nbody", closes: true},
		{name: "closed without response", closes: true, want: ErrIncomplete},
		{name: "truncated", answer: "HTTP/1.1 200 OK\r\nRequest-Id: a\r\nContent-Length: 9\r\n\r\nbody", closes: true, want: ErrIncomplete},
		{name: "not HTTP", answer: "garbage\r\n\r\n", closes: true, want: ErrIncomplete},
		{name: "last chunk missing", answer: "HTTP/1.1 200 OK\r\nRequest-Id: a\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n", closes: true, want: ErrIncomplete},
		{name: "endless head", answer: "HTTP/1.1 200 OK\r\nRequest-Id: a\r\nX: " + strings.Repeat("x", 4*headLimit) + "\r\nContent-Length: 4\r\n\r\nbody", want: ErrIncomplete},
		{name: "endless trailer", answer: "HTTP/1.1 200 OK\r\nRequest-Id: a\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nX: " + strings.Repeat("x", 4*bodyLimit) + "\r\n\r\n", want: ErrIncomplete},
		{name: "shed", answer: "HTTP/1.1 503 x\r\nRequest-Id: a\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n", want: ErrNotExecuted},
		{name: "wrong target", answer: "HTTP/1.1 421 x\r\nRequest-Id: a\r\nContent-Length: 0\r\n\r\n", want: ErrWrongTarget},
		{name: "response to another request first", answer: response("b", "", "no") + response("a", "", "body")},
		{name: "only response to another request", answer: response("b", "", "no"), closes: true, want: ErrIncomplete},
		{name: "interim response first", answer: "HTTP/1.1 103 Early\r\n\r\n" + response("a", "", "body")},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := newTarget(t, func(int, *http.Request) (string, bool) { return test.answer, test.closes })
			answer, err := do(s.client(1), request("a"))
			if !errors.Is(err, test.want) || test.want == nil && err != nil {
				t.Fatalf("error %v, want %v", err, test.want)
			}
			if test.want == nil && string(answer.Body) != "body" {
				t.Errorf("body %q", answer.Body)
			}
			if n, _ := s.counts(); n != 1 {
				t.Errorf("request sent %d times, want 1", n)
			}
		})
	}
}

func TestDoUnreachableTarget(t *testing.T) {
	s := newTarget(t, nil)
	c := s.client(1)
	_ = s.listener.Close()
	if _, err := do(c, request("a")); !errors.Is(err, ErrNotSent) {
		t.Errorf("error %v, want ErrNotSent", err)
	}
	if c.Open() != 0 {
		t.Errorf("%d connections open after a failed connect, want 0", c.Open())
	}
}

// TestStrayAnswerIsDiscarded sends a second response after each response. The client
// must not take it as the response to the next request.
func TestStrayAnswerIsDiscarded(t *testing.T) {
	s := newTarget(t, func(_ int, r *http.Request) (string, bool) {
		id := r.Header.Get("Request-Id")
		return response(id, "", "body of "+id) + response("stray", "", "stray"), false
	})
	c := s.client(1)
	for i := range 5 {
		id := fmt.Sprint(i)
		answer, err := do(c, request(id))
		if err != nil || string(answer.Body) != "body of "+id {
			t.Fatalf("request %d: %v, %v", i, answer, err)
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// TestCutAnswerIsIncomplete guards against an answer that a target has broken off, in its head or
// its body, and that counts as a whole one with a shorter body or none.
func TestCutAnswerIsIncomplete(t *testing.T) {
	chunked := "HTTP/1.1 200 OK\r\nRequest-Id: cut\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n"
	tests := []struct {
		name string
		// whole is the answer that is cut after each of its bytes.
		whole string
	}{
		{name: "length", whole: response("cut", "", "hello")},
		{name: "length above the other headers", whole: "HTTP/1.1 200 OK\r\nContent-Length: 120\r\nRequest-Id: cut\r\n\r\n" + strings.Repeat("x", 120)},
		{name: "chunks", whole: chunked},
		{name: "interim answer before", whole: "HTTP/1.1 100 Continue\r\n\r\n" + response("cut", "", "hello")},
		{name: "answer to another request before", whole: response("other", "", "other") + response("cut", "", "hello")},
		{name: "no body", whole: "HTTP/1.1 200 OK\r\nRequest-Id: cut\r\nContent-Length: 0\r\n\r\n"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			for _, first := range []bool{true, false} {
				for n := range len(test.whole) {
					s := newTarget(t, func(_ int, r *http.Request) (string, bool) {
						if id := r.Header.Get("Request-Id"); id != "cut" {
							return response(id, "", "first"), false
						}
						return test.whole[:n], true
					})
					c := s.client(1)
					if !first {
						if _, err := do(c, request("first")); err != nil {
							t.Fatal(err)
						}
					}
					if a, err := do(c, request("cut")); !errors.Is(err, ErrIncomplete) {
						t.Errorf("%q: answer %+v, error %v", test.whole[:n], a, err)
					}
				}
			}
		})
	}
}

// TestAnswerWithoutIDBelongsToNoRequest guards against additional bytes of a target that count as
// the answer to the request that waits: it would be sent again, or refused, while the target
// executes it, or its caller would get another request's answer.
func TestAnswerWithoutIDBelongsToNoRequest(t *testing.T) {
	tests := []struct {
		name  string
		stray string
	}{
		{name: "refusal", stray: "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"},
		{name: "refusal for a limit", stray: "HTTP/1.1 429 Too Many Requests\r\nNot-Executed: 1\r\nContent-Length: 4\r\n\r\nfull"},
		{name: "another target", stray: "HTTP/1.1 421 Misdirected Request\r\nInstance-Id: other\r\nContent-Length: 0\r\n\r\n"},
		{name: "answer", stray: "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstray"},
		{name: "empty id", stray: response("", "", "stray")},
		{name: "two", stray: response("", "", "stray") + response("", "Not-Executed: 1\r\n", "")},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := newTarget(t, func(n int, r *http.Request) (string, bool) {
				id := r.Header.Get("Request-Id")
				whole := response(id, "", "body of "+id)
				if n == 1 {
					return whole, false
				}
				return test.stray + whole, false
			})
			c := s.client(1)
			for i := range 3 {
				id := fmt.Sprint(i)
				a, err := do(c, request(id))
				if err != nil || string(a.Body) != "body of "+id {
					t.Errorf("request %d: answer %+v, error %v", i, a, err)
				}
			}
		})
	}
}

func TestConnectionReuse(t *testing.T) {
	tests := []struct {
		name  string
		extra string
		wait  time.Duration
		conns int
	}{
		{name: "no idle timeout", conns: 1},
		{name: "Connection: close", extra: "Connection: close\r\n", conns: 3},
		{name: "idle timeout of zero", extra: "Keep-Alive: timeout=0\r\n", conns: 3},
		{name: "within idle timeout", extra: "Keep-Alive: timeout=5, max=9\r\n", conns: 1},
		{name: "after idle timeout", extra: "Keep-Alive: timeout=1\r\n", wait: 850 * time.Millisecond, conns: 3},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := newTarget(t, func(_ int, r *http.Request) (string, bool) {
				return response(r.Header.Get("Request-Id"), test.extra, "x"), false
			})
			c := s.client(4)
			for range 3 {
				if _, err := do(c, request("a")); err != nil {
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

// TestConnectionClosedWhileIdle checks that no request is sent on a connection that
// the target has closed after the previous response.
func TestConnectionClosedWhileIdle(t *testing.T) {
	s := newTarget(t, func(_ int, r *http.Request) (string, bool) {
		return response(r.Header.Get("Request-Id"), "", "x"), true
	})
	c := s.client(1)
	for range 3 {
		if _, err := do(c, request("a")); err != nil {
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
	c := s.client(2)
	var wg sync.WaitGroup
	var mu sync.Mutex
	busy := 0
	for range 30 {
		wg.Go(func() {
			_, err := do(c, request("a"))
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
		t.Errorf("queue was full for %d of 30 requests", busy)
	}
	if c.Open() > 2 {
		t.Errorf("%d connections open, want at most 2", c.Open())
	}
}

func TestQueueContextBoundsWait(t *testing.T) {
	release := make(chan struct{})
	s := newTarget(t, func(_ int, r *http.Request) (string, bool) {
		<-release
		return response(r.Header.Get("Request-Id"), "", "x"), false
	})
	c := s.client(1)
	first := make(chan error, 1)
	go func() {
		_, err := do(c, request("a"))
		first <- err
	}()
	time.Sleep(50 * time.Millisecond)
	queue, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
	defer cancel()
	if _, err := c.Do(context.Background(), queue, request("b")); !errors.Is(err, ErrNotSent) {
		t.Errorf("error %v, want ErrNotSent", err)
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
	_, err := s.client(1).Do(ctx, ctx, request("a"))
	if !errors.Is(err, ErrIncomplete) || !errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("error %v, want ErrIncomplete and DeadlineExceeded", err)
	}
	if took := time.Since(begin); took > 300*time.Millisecond {
		t.Errorf("cancelled request returned after %v, want at most 300ms", took)
	}
}

// TestClosedGatePreventsSending checks that a withdrawn request is never sent.
func TestClosedGatePreventsSending(t *testing.T) {
	s := newTarget(t, func(_ int, r *http.Request) (string, bool) {
		return response(r.Header.Get("Request-Id"), "", "x"), false
	})
	c := s.client(1)
	closed := request("a")
	closed.Gate = &Gate{}
	if !closed.Gate.Close() {
		t.Fatal("Close of an undecided gate returned false")
	}
	if _, err := do(c, closed); !errors.Is(err, ErrNotSent) {
		t.Errorf("error %v, want ErrNotSent", err)
	}
	sent := request("b")
	sent.Gate = &Gate{}
	if _, err := do(c, sent); err != nil || sent.Gate.Close() {
		t.Errorf("error %v, want none, and Close of an entered gate must return false", err)
	}
	if n, _ := s.counts(); n != 1 {
		t.Errorf("%d requests sent, want 1", n)
	}
}

// TestQueueOrder checks that requests whose goal has passed are served last.
func TestQueueOrder(t *testing.T) {
	now := time.Unix(1000, 0)
	after := func(d time.Duration) time.Time { return now.Add(d) }
	tests := []struct {
		name  string
		goals []time.Time
		want  []int
	}{
		{name: "by goal", goals: []time.Time{after(3), after(1), after(2)}, want: []int{1, 2, 0}},
		{name: "passed goals last", goals: []time.Time{after(-2), after(5), after(-1)}, want: []int{1, 0, 2}},
		{name: "all goals passed, first come first served", goals: []time.Time{after(-1), after(-3)}, want: []int{0, 1}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var q queue
			var channels []chan *conn
			for _, g := range test.goals {
				channels = append(channels, q.add(now, valuer.Offer{Goal: g}))
			}
			for _, want := range test.want {
				if q.next(now) != channels[want] {
					t.Fatalf("next did not return request %d", want)
				}
			}
		})
	}
}
