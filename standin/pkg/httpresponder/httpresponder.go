// Package httpresponder is a stand-in for a target that serves HTTP/1.1. It signs
// its answers, executes a bounded number of requests at once, reports requests that
// it did not execute, and can be told to misbehave.
package httpresponder

import (
	"encoding/binary"
	"hash/fnv"
	"io"
	"maps"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Headers of the protocol between daemons and targets.
const (
	headerRequestID        = "Request-Id"
	headerDeadline         = "Request-Deadline"
	headerExpectedInstance = "Expected-Instance"
	headerInstanceID       = "Instance-Id"
	headerNotExecuted      = "Not-Executed"
	headerSignature        = "Response-Signature"
	headerLeaving          = "Server-Leaving"
	headerRetryAfter       = "Retry-After"
	headerLimit            = "Server-Limit"
	headerInstitution      = "Tenant-Id"
	headerAuthorization    = "Authorization"
)

// HealthPath is the path at which a target answers whether it is healthy.
const HealthPath = "/health"

// RecordSize is the size in bytes of a record.
const RecordSize = 16

// Responder is one target. Create it with New. It is safe for concurrent use.
type Responder struct {
	id      string
	records int
	slots   chan struct{}

	mu            sync.Mutex
	executionTime time.Duration
	fault         func(r *http.Request) Fault
	// executions counts the executions that were begun, by request id.
	executions map[string]int
	bodies     map[string]string
	arrivals   []Arrival
	leaving    bool
	// limit is what the target names as its limit, or empty.
	limit string
	// pauses holds, by the address of the sender, the end of the pause that the target has
	// asked it for. pauseLength is the length of further pauses, and zero if the target asks
	// for none.
	pauses       map[string]time.Time
	pauseLength  time.Duration
	lastDeadline time.Duration
	pause        chan struct{}
	endless      Stream
	crashesOn    func(r *http.Request) bool
	crashDelay   time.Duration
	onCrash      func()
	warmup       warmup
	load         func(running, waiting, slots int) string

	listener net.Listener
	server   *http.Server
	ended    atomic.Bool
	// streaming is the number of connections on which the target sends bytes without end.
	streaming atomic.Int64
	// waiting is the number of requests that wait for a slot.
	waiting atomic.Int64
}

// New starts a target on a loopback address. It executes at most slots requests at
// once. Its answers consist of the given number of records, which are derived from
// its id.
func New(id string, slots, records int) (*Responder, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &Responder{
		id:         id,
		records:    records,
		slots:      make(chan struct{}, slots),
		fault:      func(*http.Request) Fault { return NoFault },
		executions: make(map[string]int),
		bodies:     make(map[string]string),
		listener:   l,
	}
	r.server = &http.Server{
		Handler: r,
	}
	go func() {
		// Serve returns after Close.
		_ = r.server.Serve(l)
	}()
	return r, nil
}

// ID returns the id of the target's instance.
func (r *Responder) ID() string { return r.id }

// Address returns the address of the target.
func (r *Responder) Address() string { return r.listener.Addr().String() }

// Close closes the listener and all connections.
func (r *Responder) Close() {
	r.ended.Store(true)
	_ = r.server.Close()
}

// Ended reports whether the target was closed or has crashed.
func (r *Responder) Ended() bool { return r.ended.Load() }

// CrashOn sets which requests crash the target as soon as their execution begins, in
// addition to those that the fault function mishandles.
func (r *Responder) CrashOn(f func(r *http.Request) bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.crashesOn = f
}

// SetCrashDelay sets the time from the begin of the execution of a request that crashes the
// target to the crash, which happens also if the connection is closed meanwhile.
func (r *Responder) SetCrashDelay(d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.crashDelay = d
}

// OnCrash sets the function that is called when the target crashes, before its
// connections are closed.
func (r *Responder) OnCrash(f func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.onCrash = f
}

// Crash ends the target like a crash of its process. Only the first call has an effect.
func (r *Responder) Crash() {
	if r.ended.Swap(true) {
		return
	}
	r.mu.Lock()
	onCrash := r.onCrash
	r.mu.Unlock()
	if onCrash != nil {
		onCrash()
	}
	_ = r.server.Close()
}

// SetExecutionTime sets the execution time of later requests.
func (r *Responder) SetExecutionTime(d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.executionTime = d
}

// SetRecords sets the number of records in later answers.
func (r *Responder) SetRecords(n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.records = n
}

// SetFault sets the function that chooses the fault of each request.
func (r *Responder) SetFault(f func(r *http.Request) Fault) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.fault = f
}

// Pause makes later requests wait, before their execution, until the returned
// function is called.
func (r *Responder) Pause() func() {
	ch := make(chan struct{})
	r.mu.Lock()
	defer r.mu.Unlock()
	r.pause = ch
	return sync.OnceFunc(func() { close(ch) })
}

// SetLeaving sets whether the target announces in all its answers that it is leaving.
func (r *Responder) SetLeaving(leaving bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.leaving = leaving
}

// SetLimit makes the target name a limit in all its answers, in requests a second of all
// senders. Text that is no number is sent as it is. An empty text ends it.
func (r *Responder) SetLimit(text string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.limit = text
}

// Executions returns how often the execution of a request was begun.
func (r *Responder) Executions(request string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.executions[request]
}

// ExecutionCounts returns how often the execution of each request was begun, by
// request id.
func (r *Responder) ExecutionCounts() map[string]int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return maps.Clone(r.executions)
}

// RequestBody returns the body of a request whose execution was begun.
func (r *Responder) RequestBody(request string) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.bodies[request]
}

// LastDeadline returns the time allowed to the target by the last request that had a
// deadline.
func (r *Responder) LastDeadline() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lastDeadline
}

// Records returns the body of every answer: the records, one after the other. A record
// consists of a sort key, which is the same for record i of every target, and a number
// that depends on the target. The factor of the sort key is the constant of Knuth's
// multiplicative hash.
func (r *Responder) Records() []byte {
	h := fnv.New64a()
	_, _ = h.Write([]byte(r.id))
	r.mu.Lock()
	n := r.records
	r.mu.Unlock()
	out := make([]byte, 0, n*RecordSize)
	for i := range n {
		out = binary.BigEndian.AppendUint64(out, uint64(i)*2654435761)
		out = binary.BigEndian.AppendUint64(out, h.Sum64()+uint64(i))
	}
	return out
}

// Signature returns the signature of the target's answer to a request.
func (r *Responder) Signature(request string) string { return r.id + "." + request }

// ServeHTTP implements http.Handler.
func (r *Responder) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	if req.URL.Path == HealthPath {
		w.Header().Set(headerInstanceID, r.id)
		r.tellState(w.Header(), true)
		return
	}
	id := req.Header.Get(headerRequestID)
	w.Header().Set(headerRequestID, id)
	arrival, handling := r.recordArrival(req)
	if handling.limit != "" {
		w.Header().Set(headerLimit, handling.limit)
	}
	if arrival.Leaving {
		w.Header().Set(headerLeaving, "1")
	}
	if want := req.Header.Get(headerExpectedInstance); want != "" && want != r.id {
		w.Header().Set(headerInstanceID, r.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if handling.overrun {
		r.Crash()
		panic(http.ErrAbortHandler)
	}
	r.tellState(w.Header(), false)
	if arrival.Pause > 0 {
		w.Header().Set(headerRetryAfter, strconv.FormatFloat(arrival.Pause.Seconds(), 'f', -1, 64))
	}
	if arrival.Pause > 0 || handling.fault == Shed || id == "" {
		w.Header().Set(headerNotExecuted, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	body, err := io.ReadAll(req.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	if handling.pause != nil {
		<-handling.pause
	}
	r.waiting.Add(1)
	r.slots <- struct{}{}
	r.waiting.Add(-1)
	defer func() { <-r.slots }()
	if r.ended.Load() {
		panic(http.ErrAbortHandler)
	}
	r.mu.Lock()
	r.executions[id]++
	r.bodies[id] = string(body)
	crashes, delay := r.crashesOn != nil && r.crashesOn(req), r.crashDelay
	r.mu.Unlock()
	if crashes {
		time.Sleep(delay)
		r.Crash()
		panic(http.ErrAbortHandler)
	}
	time.Sleep(handling.executionTime)
	r.answer(w, req, handling.fault)
}

// handling is how a target handles a request.
type handling struct {
	fault         Fault
	limit         string
	executionTime time.Duration
	// pause is the channel that the request waits for, or nil.
	pause chan struct{}
	// overrun is true if the target is cold and crashes since it gets too many requests.
	overrun bool
}

// recordArrival records a request, unless it is meant for another target, and returns how
// it is handled.
func (r *Responder) recordArrival(req *http.Request) (Arrival, handling) {
	from, _, err := net.SplitHostPort(req.RemoteAddr)
	if err != nil {
		from = req.RemoteAddr
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	a := Arrival{
		Request:     req.Header.Get(headerRequestID),
		Path:        req.RequestURI,
		Institution: strings.Join(req.Header.Values(headerInstitution), ","),
		KeyPassed:   req.Header.Get(headerAuthorization) != "",
		From:        from,
		At:          now,
		Leaving:     r.leaving,
	}
	if limit, err := strconv.ParseFloat(r.limit, 64); err == nil {
		a.Limit = limit
	}
	if want := req.Header.Get(headerExpectedInstance); want != "" && want != r.id {
		return a, handling{}
	}
	a.Pause = r.pauseFor(from, now)
	r.arrivals = append(r.arrivals, a)
	if ms, err := strconv.Atoi(req.Header.Get(headerDeadline)); err == nil {
		r.lastDeadline = time.Duration(ms) * time.Millisecond
	}
	return a, handling{
		fault:         r.fault(req),
		limit:         r.limit,
		executionTime: r.executionTime,
		pause:         r.pause,
		overrun:       r.warmup.overrun(now),
	}
}

// answer writes the answer that the fault prescribes.
func (r *Responder) answer(w http.ResponseWriter, req *http.Request, fault Fault) {
	id := req.Header.Get(headerRequestID)
	switch fault {
	case Reset:
		panic(http.ErrAbortHandler)
	case Unresponsive:
		<-req.Context().Done()
		panic(http.ErrAbortHandler)
	case Truncate, TruncateHead, ExtraAnswer, MismatchedAnswer, StrayRefusal, NoContentLength:
		r.writeMalformed(w, id, fault)
		return
	case Endless:
		r.writeEndless(w, id)
		return
	case ServerError:
		w.Header().Set(headerSignature, r.Signature(id))
		w.WriteHeader(http.StatusInternalServerError)
		return
	case Unsigned:
	default:
		w.Header().Set(headerSignature, r.Signature(id))
	}
	// The write fails if the caller has disconnected, which needs no handling.
	_, _ = w.Write(r.Records())
}
