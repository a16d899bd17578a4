package connlimiter

import (
	"errors"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
)

func listen(t *testing.T, o Options) *Listener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	limited := New(l, o)
	t.Cleanup(func() { limited.Close() })
	return limited
}

func dial(t *testing.T, l *Listener) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	return c
}

func TestLimit(t *testing.T) {
	l := listen(t, Options{MaxConns: 1})
	dial(t, l)
	first, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	// The reset may arrive before Dial returns.
	excess, err := net.Dial("tcp", l.Addr().String())
	if err == nil {
		defer excess.Close()
		_, err = excess.Read(make([]byte, 1))
	}
	if !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("connection beyond the limit: %v, want a reset", err)
	}
	first.Close()
	first.Close()
	if l.OpenConns() != 0 || l.RefusedConns() != 1 || l.PeakConns() != 1 {
		t.Errorf("open %d refused %d peak %d, want 0 1 1", l.OpenConns(), l.RefusedConns(), l.PeakConns())
	}
	dial(t, l)
	if _, err := l.Accept(); err != nil {
		t.Errorf("Accept() after a connection was closed: %v", err)
	}
}

func TestSetup(t *testing.T) {
	clock := clockwork.NewFakeClock()
	l := listen(t, Options{
		SetupTime: 6 * time.Millisecond,
		Clock:     clock,
	})
	dial(t, l)
	accepted := make(chan net.Conn)
	go func() {
		c, _ := l.Accept()
		accepted <- c
	}()
	if err := clock.BlockUntilContext(t.Context(), 1); err != nil {
		t.Fatal(err)
	}
	select {
	case <-accepted:
		t.Fatal("accepted before the set-up time")
	default:
	}
	clock.Advance(6 * time.Millisecond)
	if c := <-accepted; c == nil {
		t.Error("no connection after the set-up time")
	}
}

func TestCloseEndsAccept(t *testing.T) {
	l := listen(t, Options{})
	l.Close()
	if _, err := l.Accept(); !errors.Is(err, net.ErrClosed) {
		t.Errorf("Accept() = %v, want %v", err, net.ErrClosed)
	}
}
