package idlecloser

import (
	"errors"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

func TestUnusedConnectionsAreClosed(t *testing.T) {
	const limit = 80 * time.Millisecond
	tests := []struct {
		name  string
		limit time.Duration
		state http.ConnState
		wait  time.Duration
		open  bool
	}{
		{name: "idle for longer than the timeout", limit: limit, state: http.StateIdle, wait: 3 * limit},
		{name: "idle for less than the timeout", limit: limit, state: http.StateIdle, wait: 4 * limit / 5, open: true},
		{name: "in use", limit: limit, state: http.StateActive, wait: 3 * limit, open: true},
		{name: "no headers within the timeout", limit: limit, state: http.StateNew, wait: 3 * limit},
		{name: "headers not yet due", limit: limit, state: http.StateNew, wait: 4 * limit / 5, open: true},
		{name: "no header timeout", state: http.StateNew, wait: 3 * limit, open: true},
		{name: "no idle timeout", state: http.StateIdle, wait: 3 * limit, open: true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var i Closer
			i.SetIdleTimeout(test.limit)
			i.SetHeaderTimeout(test.limit)
			a, b := net.Pipe()
			i.ObserveConnState(a, test.state)
			if err := b.SetReadDeadline(time.Now().Add(test.wait)); err != nil {
				t.Fatal(err)
			}
			_, err := b.Read(make([]byte, 1))
			if closed := errors.Is(err, io.EOF); closed == test.open {
				t.Errorf("closed %v, want %v; read error %v", closed, !test.open, err)
			}
		})
	}
}
