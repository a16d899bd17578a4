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
		{name: "unused for too long", limit: limit, state: http.StateIdle, wait: 3 * limit},
		{name: "unused for four fifths", limit: limit, state: http.StateIdle, wait: 4 * limit / 5, open: true},
		{name: "in use", limit: limit, state: http.StateActive, wait: 3 * limit, open: true},
		{name: "no headers", limit: limit, state: http.StateNew, wait: 3 * limit},
		{name: "headers may come", limit: limit, state: http.StateNew, wait: 4 * limit / 5, open: true},
		{name: "no limit for headers", state: http.StateNew, wait: 3 * limit, open: true},
		{name: "no limit", state: http.StateIdle, wait: 3 * limit, open: true},
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
				t.Errorf("closed %v, error %v", closed, err)
			}
		})
	}
}
