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
	"plantaincleat/entryd/pkg/gatekeeper"
	"plantaincleat/entryd/pkg/httphandler"
	"plantaincleat/tier/gen/config"
	"plantaincleat/tier/gen/settings"
	"plantaincleat/tier/pkg/indexer"
)

// pipeListener is a net.Listener whose connections are in-memory pipes.
type pipeListener struct {
	conns chan net.Conn
	done  chan struct{}
}

func newPipeListener() *pipeListener {
	return &pipeListener{
		conns: make(chan net.Conn),
		done:  make(chan struct{}),
	}
}

func (p *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-p.conns:
		return c, nil
	case <-p.done:
		return nil, net.ErrClosed
	}
}

func (p *pipeListener) Close() error {
	close(p.done)
	return nil
}

func (p *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

// dial opens a connection and returns the caller's end of it.
func (p *pipeListener) dial() net.Conn {
	server, client := net.Pipe()
	p.conns <- server
	return client
}

// serve runs f with a server for callers in a synctest bubble, which has fake time.
func serve(t *testing.T, h http.Handler, f func(t *testing.T, s *http.Server, l *pipeListener)) {
	synctest.Test(t, func(t *testing.T) {
		l := newPipeListener()
		s := newHTTPServer(h, gatekeeper.ForCallers(&settings.Entryd{}, clockwork.NewRealClock(), nil))
		go func() { _ = s.Serve(l) }()
		f(t, s, l)
		_ = s.Close()
	})
}

func TestSlowHeadersCloseConnection(t *testing.T) {
	serve(t, http.NotFoundHandler(), func(t *testing.T, _ *http.Server, l *pipeListener) {
		c, start := l.dial(), time.Now()
		_, _ = fmt.Fprint(c, "POST /v1/search HTTP/1.1\r\nHost: x\r\nInsti")
		_, _ = io.ReadAll(c)
		if took := time.Since(start); took != readHeaderTimeout {
			t.Errorf("connection closed after %v, want %v", took, readHeaderTimeout)
		}
	})
}

func TestIdleConnectionIsClosed(t *testing.T) {
	serve(t, http.NotFoundHandler(), func(t *testing.T, _ *http.Server, l *pipeListener) {
		c, start := l.dial(), time.Now()
		r := bufio.NewReader(c)
		ask(t, c, r)
		_, _ = io.ReadAll(r)
		if took := time.Since(start); took != idleTimeout {
			t.Errorf("connection closed after %v, want %v", took, idleTimeout)
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
	serve(t, h, func(t *testing.T, _ *http.Server, l *pipeListener) {
		c := l.dial()
		_, _ = fmt.Fprint(c, "POST /v1/search HTTP/1.1\r\nHost: x\r\nInstitution: club\r\nContent-Length: 100\r\n\r\n{")
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil {
			t.Fatal(err)
		}
		_ = resp.Body.Close()
		if resp.StatusCode != http.StatusBadRequest || !resp.Close {
			t.Errorf("status %d and connection closed %v, want status 400 and true", resp.StatusCode, resp.Close)
		}
	})
}

// TestStopClosesKeepAliveConnections checks that answers close their connections once
// the daemon stops: both an answer before the shutdown of the server and one to a request
// that is running during it. Otherwise a caller could send its next request on a
// connection that is about to be closed.
func TestStopClosesKeepAliveConnections(t *testing.T) {
	d := &Daemon{
		adminHandler: adminserver.New(nil, nil),
	}
	h := d.closeWhileStopping(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		time.Sleep(time.Second)
		_, _ = io.WriteString(w, "whole")
	}))
	serve(t, h, func(t *testing.T, s *http.Server, l *pipeListener) {
		running, draining, idle := l.dial(), l.dial(), l.dial()
		readers := map[net.Conn]*bufio.Reader{}
		for _, c := range []net.Conn{running, draining, idle} {
			readers[c] = bufio.NewReader(c)
			if ask(t, c, readers[c]) {
				t.Error("connection closed before the stop")
			}
		}
		d.adminHandler.Stop()
		if !ask(t, draining, readers[draining]) {
			t.Error("connection kept by an answer after the start of the stop")
		}
		put(t, running)
		synctest.Wait()
		stopped := make(chan error)
		go func() { stopped <- s.Shutdown(context.Background()) }()
		synctest.Wait()
		if !get(t, readers[running]) {
			t.Error("connection kept by an answer during the shutdown")
		}
		if _, err := readers[idle].ReadByte(); err != io.EOF {
			t.Errorf("read from the idle connection: %v, want EOF", err)
		}
		if err := <-stopped; err != nil {
			t.Errorf("shutdown: %v", err)
		}
	})
}

// ask sends a request on a connection, reads the whole answer, and reports whether the
// answer closes the connection.
func ask(t *testing.T, c net.Conn, r *bufio.Reader) bool {
	t.Helper()
	put(t, c)
	return get(t, r)
}

// put sends a request on a connection.
func put(t *testing.T, c net.Conn) {
	t.Helper()
	if _, err := fmt.Fprint(c, "GET / HTTP/1.1\r\nHost: x\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
}

// get reads a whole answer and reports whether it closes the connection.
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
