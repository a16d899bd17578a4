package httpsender

import (
	"cmp"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
)

// TestDoReportsEndedTarget guards against taking the end of a target for a broken
// answer of a target that goes on, and the reverse.
func TestDoReportsEndedTarget(t *testing.T) {
	tests := []struct {
		name   string
		answer string
		ends   bool
	}{
		{name: "target ends before the answer", ends: true},
		{name: "target ends within the answer", answer: "HTTP/1.1 200 OK\r\nRequest-Id: a\r\nContent-Length: 9\r\n\r\nbody", ends: true},
		{name: "target closes one connection"},
		{name: "target truncates one answer", answer: "HTTP/1.1 200 OK\r\nRequest-Id: a\r\nContent-Length: 9\r\n\r\nbody"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var s *target
			s = newTarget(t, func(int, *http.Request) (string, bool) {
				if test.ends {
					_ = s.listener.Close()
				}
				return test.answer, true
			})
			c := s.client(1)
			_, err := do(c, request("a"))
			if !errors.Is(err, ErrIncomplete) || errors.Is(err, ErrEnded) != test.ends {
				t.Fatalf("error %v, want ErrIncomplete, and ErrEnded: %v", err, test.ends)
			}
			if !test.ends && c.Open() != 1 {
				t.Errorf("%d connections are open, want the one of the check", c.Open())
			}
		})
	}
}

// TestDoReportsEndedTargetBehindProxy guards against a target whose end is not noticed
// because its address goes on to accept connections, and against taking a target for ended
// that breaks off some answers or has no room for a new connection.
func TestDoReportsEndedTargetBehindProxy(t *testing.T) {
	tests := []struct {
		name string
		// others is the number of other connections that stay open.
		others int
		// closes is whether the address closes each new connection, and accepts whether it
		// accepts any.
		accepts, closes bool
		// silent is true if the target has not answered since the connection was opened.
		silent bool
		// unread is true if the request was not read before the connection was closed.
		unread bool
		// lasted is how long the connection was open.
		lasted time.Duration
		// dialError is the error of new connections that are not accepted. Nil means that
		// they time out.
		dialError error
		ended     bool
	}{
		{name: "new connections are closed", accepts: true, closes: true, ended: true},
		{name: "new connections are not accepted", ended: true},
		{name: "only new connections are closed", others: 1, accepts: true, closes: true},
		{name: "only new connections are not accepted", others: 1},
		{name: "new connections stay open", accepts: true},
		{name: "daemon has no descriptor for a new connection", dialError: syscall.EMFILE},
		{name: "ended before the request was sent", accepts: true, closes: true, silent: true, unread: true, lasted: time.Second},
		{name: "connection was open no longer than another one now", accepts: true, closes: true, silent: true},
		{name: "request was read, and the connection open for longer", accepts: true, closes: true, silent: true, lasted: time.Second, ended: true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := newTarget(t, func(_ int, r *http.Request) (string, bool) {
				return response(r.Header.Get("Request-Id"), "", "body"), false
			})
			c := s.client(2)
			var broken net.Conn
			dial := c.dial
			opened := 0
			c.dial = func(ctx context.Context, network, address string) (net.Conn, error) {
				opened++
				if opened <= 1+test.others {
					nc, err := dial(ctx, network, address)
					broken = nc
					return nc, err
				}
				if !test.accepts {
					return nil, cmp.Or(test.dialError, context.DeadlineExceeded)
				}
				nc, err := dial(ctx, network, address)
				if err == nil && test.closes {
					err = nc.(*net.TCPConn).CloseRead()
				}
				return nc, err
			}
			var last *conn
			for range 1 + test.others {
				nc, err := c.connect(context.Background())
				if err != nil {
					t.Fatal(err)
				}
				c.idle = append(c.idle, nc)
				c.open++
				last = nc
			}
			if !test.silent {
				c.recordAnswer(time.Now())
			}
			last.opened = last.opened.Add(-test.lasted)
			// The target closes the connection that was opened last.
			if err := broken.(*net.TCPConn).CloseRead(); err != nil {
				t.Fatal(err)
			}
			err := io.ErrUnexpectedEOF
			if test.unread {
				err = syscall.ECONNRESET
			}
			if got := c.endedDuring(last, err); got != test.ended {
				t.Errorf("ended %v, want %v", got, test.ended)
			}
		})
	}
}

// TestDoWaitsBeforeFirstRequest guards against requests that are sent to an address at
// which no process is, and that count as executed, because an intermediary accepts the
// connection and closes it.
func TestDoWaitsBeforeFirstRequest(t *testing.T) {
	s := newTarget(t, func(_ int, r *http.Request) (string, bool) {
		return response(r.Header.Get("Request-Id"), "", "body"), false
	})
	c := s.client(1)
	dial, gone := c.dial, true
	c.dial = func(ctx context.Context, network, address string) (net.Conn, error) {
		nc, err := dial(ctx, network, address)
		if err == nil && gone {
			err = nc.(*net.TCPConn).CloseRead()
		}
		return nc, err
	}
	if _, err := do(c, request("a")); !errors.Is(err, ErrNotSent) || errors.Is(err, ErrIncomplete) {
		t.Errorf("error %v, want ErrNotSent", err)
	}
	gone = false
	if _, err := do(c, request("b")); err != nil {
		t.Errorf("request to a target that has returned: %v", err)
	}
}

// TestDoRefusesAnswerBeforeRequest guards against bytes that a target sends on a new
// connection before any request, and that are taken for the answer to the first one.
func TestDoRefusesAnswerBeforeRequest(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	go func() {
		for {
			nc, err := l.Accept()
			if err != nil {
				return
			}
			_, _ = io.WriteString(nc, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody")
		}
	}()
	var d net.Dialer
	c := NewClient(l.Addr().String(), headers, d.DialContext, clockwork.NewRealClock())
	if _, err := do(c, request("a")); !errors.Is(err, ErrNotSent) {
		t.Errorf("error %v, want ErrNotSent", err)
	}
}
