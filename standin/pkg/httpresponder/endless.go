package httpresponder

import (
	"io"
	"net/http"
	"strings"
	"time"
)

// Stream is a sequence of bytes that does not end.
type Stream struct {
	// Head is sent once. The first %s in it stands for the id of the request, and the second
	// for the target's signature.
	Head string
	// Repeated is sent again and again. If it is empty, nothing follows the head, and the
	// connection stays open.
	Repeated string
}

// SetEndless sets the bytes that the fault Endless sends.
func (r *Responder) SetEndless(s Stream) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.endless = s
}

// Streaming returns the number of connections on which the target sends bytes without end.
func (r *Responder) Streaming() int { return int(r.streaming.Load()) }

const (
	// endlessInterval is the time between two writes of bytes without end, and endlessSize
	// their size at least.
	endlessInterval = time.Millisecond
	endlessSize     = 32 << 10
)

// writeEndless takes over the connection and writes until the caller closes it.
func (r *Responder) writeEndless(w http.ResponseWriter, id string) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer func() { _ = conn.Close() }()
	r.streaming.Add(1)
	defer r.streaming.Add(-1)
	r.mu.Lock()
	s := r.endless
	r.mu.Unlock()
	head := strings.Replace(strings.Replace(s.Head, "%s", id, 1), "%s", r.Signature(id), 1)
	if _, err := io.WriteString(conn, head); err != nil {
		return
	}
	if s.Repeated == "" {
		// Returns once the caller has closed the connection.
		_, _ = io.Copy(io.Discard, conn)
		return
	}
	part := strings.Repeat(s.Repeated, endlessSize/len(s.Repeated)+1)
	for !r.ended.Load() {
		if _, err := io.WriteString(conn, part); err != nil {
			return
		}
		time.Sleep(endlessInterval)
	}
}
