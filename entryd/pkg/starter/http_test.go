package starter

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"

	"plantaincleat/entryd/pkg/adminserver"
	"plantaincleat/entryd/pkg/httphandler"
	"plantaincleat/tier/gen/config"
	"plantaincleat/tier/pkg/indexer"
)

// pipes is a listener whose connections are pipes in memory.
type pipes struct {
	conns chan net.Conn
	done  chan struct{}
}

func newPipes() *pipes {
	return &pipes{
		conns: make(chan net.Conn),
		done:  make(chan struct{}),
	}
}

func (p *pipes) Accept() (net.Conn, error) {
	select {
	case c := <-p.conns:
		return c, nil
	case <-p.done:
		return nil, net.ErrClosed
	}
}

func (p *pipes) Close() error {
	close(p.done)
	return nil
}

func (p *pipes) Addr() net.Addr { return &net.TCPAddr{} }

// dial returns the caller's end of a new connection.
func (p *pipes) dial() net.Conn {
	server, client := net.Pipe()
	p.conns <- server
	return client
}

// serve runs a server for callers in a bubble of fake time.
func serve(t *testing.T, h http.Handler, f func(t *testing.T, s *http.Server, l *pipes)) {
	synctest.Test(t, func(t *testing.T) {
		l := newPipes()
		s := newHTTPServer(h)
		go func() { _ = s.Serve(l) }()
		f(t, s, l)
		_ = s.Close()
	})
}

func TestSlowHeadersAreCut(t *testing.T) {
	serve(t, http.NotFoundHandler(), func(t *testing.T, _ *http.Server, l *pipes) {
		c, start := l.dial(), time.Now()
		_, _ = fmt.Fprint(c, "POST /v1/search HTTP/1.1\r\nHost: x\r\nInsti")
		_, _ = io.ReadAll(c)
		if took := time.Since(start); took != readHeaderTimeout {
			t.Errorf("cut after %v, want %v", took, readHeaderTimeout)
		}
	})
}

func TestIdleConnectionsAreCut(t *testing.T) {
	serve(t, http.NotFoundHandler(), func(t *testing.T, _ *http.Server, l *pipes) {
		c, start := l.dial(), time.Now()
		r := bufio.NewReader(c)
		ask(t, c, r)
		_, _ = io.ReadAll(r)
		if took := time.Since(start); took != idleTimeout {
			t.Errorf("cut after %v, want %v", took, idleTimeout)
		}
	})
}

func TestSlowBodyIsRefused(t *testing.T) {
	configs := newConfigs(time.Now)
	configs.index.Store(indexer.New(&config.Accepted{
		Head: &config.Head{
			Revision: 1,
		},
		Config: &config.Config{
			Institutions: []*config.Institution{{
				Name: "club",
			}},
		},
	}))
	h := httphandler.New(httphandler.Options{
		Configs: configs,
		Clock:   clockwork.NewRealClock(),
	})
	serve(t, h, func(t *testing.T, _ *http.Server, l *pipes) {
		c := l.dial()
		_, _ = fmt.Fprint(c, "POST /v1/search HTTP/1.1\r\nHost: x\r\nInstitution: club\r\nContent-Length: 100\r\n\r\n{")
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil {
			t.Fatal(err)
		}
		_ = resp.Body.Close()
		if resp.StatusCode != http.StatusBadRequest || !resp.Close {
			t.Errorf("status %d, connection closed %v", resp.StatusCode, resp.Close)
		}
	})
}

// TestKeepAliveAtStop has a request run while the daemon stops: its answer
// comes and ends the connection, and so does an answer before the shutdown.
func TestKeepAliveAtStop(t *testing.T) {
	d := &Daemon{
		admin: adminserver.New(nil, nil),
	}
	h := d.closing(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		time.Sleep(time.Second)
		_, _ = io.WriteString(w, "whole")
	}))
	serve(t, h, func(t *testing.T, s *http.Server, l *pipes) {
		running, lame, idle := l.dial(), l.dial(), l.dial()
		readers := map[net.Conn]*bufio.Reader{}
		for _, c := range []net.Conn{running, lame, idle} {
			readers[c] = bufio.NewReader(c)
			if ask(t, c, readers[c]) {
				t.Error("closed before the stop")
			}
		}
		d.admin.Stop()
		if !ask(t, lame, readers[lame]) {
			t.Error("an answer after the stop began keeps the connection")
		}
		put(t, running)
		synctest.Wait()
		stopped := make(chan error)
		go func() { stopped <- s.Shutdown(context.Background()) }()
		synctest.Wait()
		if !get(t, readers[running]) {
			t.Error("an answer during the shutdown keeps the connection")
		}
		if _, err := readers[idle].ReadByte(); err != io.EOF {
			t.Errorf("idle connection: %v, want its end", err)
		}
		if err := <-stopped; err != nil {
			t.Errorf("shutdown: %v", err)
		}
	})
}

// ask sends a request over a connection, reads the whole answer, and reports
// whether it ends the connection.
func ask(t *testing.T, c net.Conn, r *bufio.Reader) bool {
	t.Helper()
	put(t, c)
	return get(t, r)
}

func put(t *testing.T, c net.Conn) {
	t.Helper()
	if _, err := fmt.Fprint(c, "GET / HTTP/1.1\r\nHost: x\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
}

func get(t *testing.T, r *bufio.Reader) bool {
	t.Helper()
	resp, err := http.ReadResponse(r, nil)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	if b, err := io.ReadAll(resp.Body); err != nil || string(b) != "whole" && resp.StatusCode == http.StatusOK {
		t.Fatalf("body %q: %v", b, err)
	}
	return resp.Close
}
