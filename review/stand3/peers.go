package main

import (
	"fmt"
	"net"
	"sync"
)

// peerLink passes connections on to the listener of a daemon for other daemons, which know the daemon by
// the address of the link. It knows a caller by its address.
type peerLink struct {
	address string
	target  string
	// own is the address from which the daemon behind the link opens connections.
	own  string
	cuts *cuts
}

// cuts holds the machine that is cut off from the others, by the address of its connections.
type cuts struct {
	mu   sync.Mutex
	off  string
	open chan struct{}
}

// await waits while the connection between two machines is cut.
func (c *cuts) await(a, b string) {
	c.mu.Lock()
	cut, open := c.off != "" && (c.off == a || c.off == b), c.open
	c.mu.Unlock()
	if cut {
		<-open
	}
}

func (c *cuts) set(off string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.off = off; off != "" {
		c.open = make(chan struct{})
		return
	}
	close(c.open)
}

func (l *peerLink) listen() error {
	address, held, err := holdAddress()
	if err != nil {
		return err
	}
	l.address = address
	go func() {
		for {
			c, err := held.Accept()
			if err != nil {
				return
			}
			go l.serve(c)
		}
	}()
	return nil
}

func (l *peerLink) serve(c net.Conn) {
	defer c.Close()
	from := c.RemoteAddr().(*net.TCPAddr).IP.String()
	l.cuts.await(from, l.own)
	t, err := net.Dial("tcp", l.target)
	if err != nil {
		return
	}
	defer t.Close()
	go l.pass(c, t, from)
	l.pass(t, c, from)
}

func (l *peerLink) pass(from, to net.Conn, caller string) {
	defer from.Close()
	defer to.Close()
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		l.cuts.await(caller, l.own)
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

// linkPeers puts a link before the listener of each daemon for other daemons, and gives each machine an
// address of its own for its connections.
func (f *fleet) linkPeers() error {
	f.cuts = &cuts{}
	f.seeds = nil
	for i, d := range f.daemons {
		d.source = fmt.Sprintf("127.0.0.%d", 11+i)
		l := &peerLink{
			target: d.peer,
			own:    d.source,
			cuts:   f.cuts,
		}
		if err := l.listen(); err != nil {
			return err
		}
		d.advertised = l.address
		if i%4 == 0 && len(f.seeds) < 3 {
			f.seeds = append(f.seeds, l.address)
		}
	}
	for _, d := range f.daemons {
		if err := f.settle(d, f.store.address); err != nil {
			return err
		}
	}
	return nil
}

// cutPeers begins or ends the cut between a machine and all others.
func (f *fleet) cutPeers(d *daemon, on bool) {
	if on {
		f.cuts.set(d.source)
	} else {
		f.cuts.set("")
	}
}
