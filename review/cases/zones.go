package main

import (
	"io"
	"net"
	"sync"
)

// zones knows which loopback address is in which zone, and cuts one zone off from the others.
type zones struct {
	mu    sync.Mutex
	zones map[string]string
	cut   string
	conns map[*zoneConn]struct{}
}

func newZones() *zones {
	return &zones{zones: make(map[string]string), conns: make(map[*zoneConn]struct{})}
}

// assign records the zone of an address.
func (z *zones) assign(ip, zone string) {
	z.mu.Lock()
	defer z.mu.Unlock()
	z.zones[ip] = zone
}

// setCut partitions a zone from the others: connections between them are reset, and new ones too.
// An empty name ends the partition.
func (z *zones) setCut(zone string) {
	z.mu.Lock()
	defer z.mu.Unlock()
	z.cut = zone
	for c := range z.conns {
		if z.parted(c.from, c.to) {
			c.reset()
		}
	}
}

// parted reports whether the partition lies between two zones. The caller holds z.mu.
func (z *zones) parted(a, b string) bool {
	return z.cut != "" && a != b && (a == z.cut || b == z.cut)
}

// zoneConn is a connection from a zone to another one.
type zoneConn struct {
	net.Conn
	zones    *zones
	from, to string
}

func (c *zoneConn) reset() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Conn.Close()
}

// Close implements net.Conn.
func (c *zoneConn) Close() error {
	c.zones.mu.Lock()
	delete(c.zones.conns, c)
	c.zones.mu.Unlock()
	return c.Conn.Close()
}

// zoneListener accepts the connections that reach a zone.
type zoneListener struct {
	net.Listener
	zones *zones
	zone  string
}

// Accept implements net.Listener.
func (l *zoneListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		ip := conn.RemoteAddr().(*net.TCPAddr).IP.String()
		l.zones.mu.Lock()
		c := &zoneConn{Conn: conn, zones: l.zones, from: l.zones.zones[ip], to: l.zone}
		parted := l.zones.parted(c.from, c.to)
		if !parted {
			l.zones.conns[c] = struct{}{}
		}
		l.zones.mu.Unlock()
		if !parted {
			return c, nil
		}
		c.reset()
	}
}

// forward passes the connections of a listener on to an address until the listener is closed.
func forward(l net.Listener, address string) {
	for {
		in, err := l.Accept()
		if err != nil {
			return
		}
		go func() {
			defer func() { _ = in.Close() }()
			out, err := net.Dial("tcp", address)
			if err != nil {
				return
			}
			defer func() { _ = out.Close() }()
			go func() {
				_, _ = io.Copy(out, in)
				_ = out.Close()
			}()
			_, _ = io.Copy(in, out)
		}()
	}
}
