// Package httpresponder stands in for a target that speaks HTTP/1.1: it signs its
// answers, runs a few requests at once, refuses what it does not run, and
// misbehaves on demand.
package httpresponder

import (
	"bufio"
	"encoding/binary"
	"fmt"
	"hash/fnv"
	"io"
	"maps"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Headers of the targets' protocol.
const (
	headerRequest   = "Request-Id"
	headerDeadline  = "Request-Deadline"
	headerInstance  = "Expected-Instance"
	headerSelf      = "Instance-Id"
	headerUnrun     = "Not-Executed"
	headerSignature = "Response-Signature"
)

// RecordSize is the size in bytes of a record.
const RecordSize = 16

// Fault is how one request is treated.
type Fault int

// Faults of a target.
const (
	// NoFault answers.
	NoFault Fault = iota
	// Shed refuses the request unrun.
	Shed
	// Reset runs the request and breaks the connection.
	Reset
	// Truncate breaks off in the middle of the body.
	Truncate
	// ExtraAnswer sends a second answer after the whole one.
	ExtraAnswer
	// MismatchedAnswer sends an answer to another request first.
	MismatchedAnswer
	// NoContentLength answers without a length and closes the connection.
	NoContentLength
	// ServerError answers 500, signed.
	ServerError
	// Unsigned answers without a signature.
	Unsigned
	// Unresponsive runs the request and never answers.
	Unresponsive
)

// Responder is one target. Make it with New.
type Responder struct {
	id      string
	records int
	slots   chan struct{}

	mu    sync.Mutex
	work  time.Duration
	fault func(r *http.Request) Fault
	// runs counts the requests that were begun, by request id.
	runs     map[string]int
	bodies   map[string]string
	arrivals int
	deadline time.Duration
	pause    chan struct{}

	listener net.Listener
	server   *http.Server
}

// New starts a target on a loopback address. It answers with some records, all
// of which begin with a hash of its id.
func New(id string, slots, records int) (*Responder, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &Responder{
		id:       id,
		records:  records,
		slots:    make(chan struct{}, slots),
		fault:    func(*http.Request) Fault { return NoFault },
		runs:     make(map[string]int),
		bodies:   make(map[string]string),
		listener: l,
	}
	r.server = &http.Server{
		Handler: r,
	}
	go func() {
		// Ends with Close.
		_ = r.server.Serve(l)
	}()
	return r, nil
}

// ID returns the name of the target's process.
func (r *Responder) ID() string { return r.id }

// Address returns the address of the target.
func (r *Responder) Address() string { return r.listener.Addr().String() }

// Close ends the target and its connections.
func (r *Responder) Close() { _ = r.server.Close() }

// SetExecutionTime changes the time that a request takes.
func (r *Responder) SetExecutionTime(d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.work = d
}

// SetFault changes how requests are treated.
func (r *Responder) SetFault(f func(r *http.Request) Fault) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.fault = f
}

// Pause makes all requests wait until the returned function is called.
func (r *Responder) Pause() func() {
	ch := make(chan struct{})
	r.mu.Lock()
	defer r.mu.Unlock()
	r.pause = ch
	return sync.OnceFunc(func() { close(ch) })
}

// Arrivals returns the number of requests that have arrived.
func (r *Responder) Arrivals() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.arrivals
}

// Executions returns how often a request was begun.
func (r *Responder) Executions(request string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.runs[request]
}

// ExecutionCounts returns how often each request was begun.
func (r *Responder) ExecutionCounts() map[string]int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return maps.Clone(r.runs)
}

// RequestBody returns the body of a request that was begun.
func (r *Responder) RequestBody(request string) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.bodies[request]
}

// LastDeadline returns the time that the last request left to the target.
func (r *Responder) LastDeadline() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.deadline
}

// Records returns the records of the target's answer to each request.
func (r *Responder) Records() []byte {
	h := fnv.New64a()
	_, _ = h.Write([]byte(r.id))
	out := make([]byte, 0, r.records*RecordSize)
	for i := range r.records {
		out = binary.BigEndian.AppendUint64(out, uint64(i)*2654435761)
		out = binary.BigEndian.AppendUint64(out, h.Sum64()+uint64(i))
	}
	return out
}

// Signature returns that of the target's answer to a request.
func (r *Responder) Signature(request string) string { return r.id + "." + request }

// ServeHTTP implements http.Handler.
func (r *Responder) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	id := req.Header.Get(headerRequest)
	w.Header().Set(headerRequest, id)
	if want := req.Header.Get(headerInstance); want != "" && want != r.id {
		w.Header().Set(headerSelf, r.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	fault, work, pause := r.arrive(req)
	if fault == Shed || id == "" {
		w.Header().Set(headerUnrun, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	body, err := io.ReadAll(req.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	if pause != nil {
		<-pause
	}
	r.slots <- struct{}{}
	defer func() { <-r.slots }()
	r.mu.Lock()
	r.runs[id]++
	r.bodies[id] = string(body)
	r.mu.Unlock()
	time.Sleep(work)
	r.answer(w, req, fault)
}

// arrive counts a request and returns how it is treated.
func (r *Responder) arrive(req *http.Request) (Fault, time.Duration, chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.arrivals++
	if ms, err := strconv.Atoi(req.Header.Get(headerDeadline)); err == nil {
		r.deadline = time.Duration(ms) * time.Millisecond
	}
	return r.fault(req), r.work, r.pause
}

// answer sends the target's records, or what the fault makes of them.
func (r *Responder) answer(w http.ResponseWriter, req *http.Request, fault Fault) {
	id := req.Header.Get(headerRequest)
	switch fault {
	case Reset:
		panic(http.ErrAbortHandler)
	case Unresponsive:
		<-req.Context().Done()
		panic(http.ErrAbortHandler)
	case Truncate, ExtraAnswer, MismatchedAnswer, NoContentLength:
		r.raw(w, id, fault)
		return
	case ServerError:
		w.Header().Set(headerSignature, r.Signature(id))
		w.WriteHeader(http.StatusInternalServerError)
		return
	case Unsigned:
	default:
		w.Header().Set(headerSignature, r.Signature(id))
	}
	// A caller that has left needs no answer.
	_, _ = w.Write(r.Records())
}

// raw writes an answer that a correct server would not send.
func (r *Responder) raw(w http.ResponseWriter, id string, fault Fault) {
	conn, buffer, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer func() { _ = conn.Close() }()
	body := r.Records()
	whole := func(id string) {
		r.head(buffer.Writer, id, fmt.Sprintf("Content-Length: %d\r\n", len(body)))
		_, _ = buffer.Write(body)
	}
	switch fault {
	case Truncate:
		r.head(buffer.Writer, id, fmt.Sprintf("Content-Length: %d\r\n", len(body)))
		_, _ = buffer.Write(body[:len(body)/2])
	case NoContentLength:
		r.head(buffer.Writer, id, "Connection: close\r\n")
		_, _ = buffer.Write(body)
	case ExtraAnswer:
		whole(id)
		whole(id)
	case MismatchedAnswer:
		whole("another")
		whole(id)
	}
	_ = buffer.Flush()
	if fault == ExtraAnswer || fault == MismatchedAnswer {
		// The connection stays open for a while, as that of a sound target.
		time.Sleep(strayTime)
	}
}

// strayTime is how long a connection stays open after stray bytes.
const strayTime = 300 * time.Millisecond

func (r *Responder) head(w *bufio.Writer, id, framing string) {
	_, _ = fmt.Fprintf(w, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: %s\r\n%s\r\n", headerRequest, id, headerSignature, r.Signature(id), framing)
}
