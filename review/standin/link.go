package main

import (
	"io"
	"net"
	"sync"
)

// links forwards connections to searchers and cuts those of some daemons. A daemon that is
// cut off gets no bytes and no end of a connection, as behind a partition.
type links struct {
	mu  sync.Mutex
	cut map[string]bool
	// healed is closed and replaced when all links are back.
	healed chan struct{}
}

func newLinks() *links {
	return &links{cut: make(map[string]bool), healed: make(chan struct{})}
}

// forward returns an address at which connections to another one are accepted.
func (l *links) forward() (address string, to func(string), err error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", nil, err
	}
	target := make(chan string, 1)
	go func() {
		to := <-target
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go l.serve(c, to)
		}
	}()
	return listener.Addr().String(), func(a string) { target <- a }, nil
}

func (l *links) serve(c net.Conn, to string) {
	from, _, _ := net.SplitHostPort(c.RemoteAddr().String())
	defer func() { _ = c.Close() }()
	if !l.open(from) {
		return
	}
	out, err := net.Dial("tcp", to)
	if err != nil {
		return
	}
	defer func() { _ = out.Close() }()
	var wg sync.WaitGroup
	wg.Go(func() {
		l.copy(out, c, from)
		_ = out.Close()
	})
	wg.Go(func() {
		l.copy(c, out, from)
		_ = c.Close()
	})
	wg.Wait()
}

// open waits while a daemon is cut off. It returns false if it was: a connection from then is
// not used any more.
func (l *links) open(from string) bool {
	l.mu.Lock()
	cut, healed := l.cut[from], l.healed
	l.mu.Unlock()
	if cut {
		<-healed
	}
	return !cut
}

func (l *links) copy(dst io.Writer, src io.Reader, from string) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := src.Read(buffer)
		if !l.open(from) || err != nil {
			return
		}
		if _, err := dst.Write(buffer[:n]); err != nil {
			return
		}
	}
}

// cutOff cuts a daemon off from all searchers.
func (l *links) cutOff(ip string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut[ip] = true
}

// heal ends all cuts.
func (l *links) heal() {
	l.mu.Lock()
	defer l.mu.Unlock()
	clear(l.cut)
	close(l.healed)
	l.healed = make(chan struct{})
}
