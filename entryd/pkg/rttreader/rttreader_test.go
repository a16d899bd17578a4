package rttreader

import (
	"context"
	"net"
	"testing"
	"time"
)

// TestFirstRequestOnAConnection names the pattern: callers come on new
// connections, the making of which takes a round trip of their time.
func TestFirstRequestOnAConnection(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	out, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = out.Close() }()
	in, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = in.Close() }()
	ctx := ConnContext(t.Context(), in)
	first, second := NetworkTime(ctx), NetworkTime(ctx)
	if second <= 0 || second > maxRoundTrip || first != 2*second {
		t.Errorf("ways of two requests: %v and %v, want twice a round trip and one", first, second)
	}
}

func TestUnknownRoundTrip(t *testing.T) {
	a, b := net.Pipe()
	defer func() { _ = a.Close() }()
	defer func() { _ = b.Close() }()
	contexts := []struct {
		name string
		ctx  context.Context
	}{
		{name: "no connection", ctx: t.Context()},
		{name: "not over TCP", ctx: ConnContext(t.Context(), a)},
	}
	for _, one := range contexts {
		if w := NetworkTime(one.ctx); w != time.Duration(0) {
			t.Errorf("%s: way %v, want none", one.name, w)
		}
	}
}
