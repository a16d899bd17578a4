package gatekeeper

import (
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"plantaincleat/entryd/pkg/accountant"
)

const (
	// drainBytes and drainTime bound what is read of the rest of a body that nobody wants, so that
	// its connection can be used again.
	drainBytes = 16 << 10
	drainTime  = 20 * time.Millisecond
)

// connKey is the context key of a connection.
type connKey struct{}

// ConnContext stores the connection in the context of its requests. It must be called by the
// ConnContext hook of the http.Server.
func ConnContext(ctx context.Context, nc net.Conn) context.Context {
	if c := unwrap(nc); c != nil {
		return context.WithValue(ctx, connKey{}, c)
	}
	return ctx
}

// connOf returns the connection of a request, or nil.
func connOf(ctx context.Context) *conn {
	c, _ := ctx.Value(connKey{}).(*conn)
	return c
}

// Handler returns a handler that follows the requests which next handles. An answer to a request whose
// body next has not read to its end closes the connection, unless little of it is missing.
func Handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c := connOf(r.Context())
		if c == nil {
			next.ServeHTTP(w, r)
			return
		}
		defer c.keeper.releaseAll(c, accountant.Answering)
		if r.ContentLength == 0 {
			if !c.requestEnded() {
				refuse(w)
				return
			}
			next.ServeHTTP(w, r)
			return
		}
		body := &watchedBody{
			ReadCloser: r.Body,
		}
		r.Body = body
		next.ServeHTTP(&bodyWriter{
			ResponseWriter: w,
			request:        r,
			body:           body,
		}, r)
		if !body.ended {
			// The server would read the rest of the body, for however long that takes.
			c.answeredEarly.Store(true)
			_ = c.SetReadDeadline(past)
		}
	})
}

// refuse answers a request that makes way before it is passed on.
func refuse(w http.ResponseWriter) {
	w.Header().Set("Connection", "close")
	w.Header().Set("Retry-After", strconv.Itoa(int(retryAfter.Seconds())))
	w.WriteHeader(http.StatusServiceUnavailable)
}

// watchedBody is the body of a request.
type watchedBody struct {
	io.ReadCloser
	// ended is true once it was read to its end.
	ended bool
}

// Read implements io.Reader.
func (b *watchedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.ended = b.ended || err == io.EOF
	return n, err
}

// bodyWriter writes the answer to a request with a body.
type bodyWriter struct {
	http.ResponseWriter
	request *http.Request
	body    *watchedBody
	begun   bool
}

// Unwrap returns the writer below, for http.ResponseController.
func (w *bodyWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// WriteHeader implements http.ResponseWriter.
func (w *bodyWriter) WriteHeader(status int) {
	w.begin()
	w.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (w *bodyWriter) Write(p []byte) (int, error) {
	w.begin()
	return w.ResponseWriter.Write(p)
}

// begin closes the connection with the answer if the body is not read to its end.
func (w *bodyWriter) begin() {
	if w.begun {
		return
	}
	w.begun = true
	if !w.body.ended && !w.drain() {
		w.Header().Set("Connection", "close")
	}
}

// drain reads what is missing of a short body that has arrived already. It reports whether the body is
// read to its end.
func (w *bodyWriter) drain() bool {
	if w.request.ContentLength > drainBytes || w.request.Header.Get("Expect") != "" {
		return false
	}
	control := http.NewResponseController(w.ResponseWriter)
	_ = control.SetReadDeadline(time.Now().Add(drainTime))
	_, _ = io.CopyN(io.Discard, w.body, drainBytes+1)
	if w.body.ended {
		_ = control.SetReadDeadline(time.Time{})
	}
	return w.body.ended
}
