package rttreader

import (
	"context"
	"net"
	"testing"
	"time"
)

// TestNetworkTimeFirstRequest checks that the first request on a connection counts a
// second round trip: callers open new connections, and wait one round trip until a
// connection is established.
func TestNetworkTimeFirstRequest(t *testing.T) {
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
	if second <= 0 || second > maxRTT || first != 2*second {
		t.Errorf("NetworkTime() of two requests = %v and %v, want twice the round trip time and once", first, second)
	}
}

func TestNetworkTimeUnknownRTT(t *testing.T) {
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
			t.Errorf("%s: NetworkTime() = %v, want 0", one.name, w)
		}
	}
}
