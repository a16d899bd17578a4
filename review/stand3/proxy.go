package main

import (
	"net"
	"sync"
)

// proxy passes connections on to an address, and can cut them: while it is cut, nothing is passed on in
// either direction and new connections hang.
type proxy struct {
	address, target string

	mu sync.Mutex
	// open is closed while the proxy passes bytes on.
	open chan struct{}
}

func newProxy(target string) (*proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{
		address: l.Addr().String(),
		target:  target,
		open:    make(chan struct{}),
	}
	close(p.open)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go p.serve(c)
		}
	}()
	return p, nil
}

// cut begins or ends a cut.
func (p *proxy) cut(on bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if on {
		p.open = make(chan struct{})
	} else {
		close(p.open)
	}
}

// await waits until the proxy passes bytes on.
func (p *proxy) await() {
	p.mu.Lock()
	open := p.open
	p.mu.Unlock()
	<-open
}

func (p *proxy) serve(c net.Conn) {
	defer c.Close()
	p.await()
	t, err := net.Dial("tcp", p.target)
	if err != nil {
		return
	}
	defer t.Close()
	go p.pass(c, t)
	p.pass(t, c)
}

// pass copies from one connection to another, and closes both at the end.
func (p *proxy) pass(from, to net.Conn) {
	defer from.Close()
	defer to.Close()
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		p.await()
		if n > 0 {
			if _, werr := to.Write(buffer[:n]); werr != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}
