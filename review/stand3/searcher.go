package main

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// run is one execution of a request by a searcher.
type run struct {
	searcher string
	id       string
	method   string
	path     string
	body     string
	at       time.Time
	// answered is when the searcher had written its whole answer, or zero.
	answered time.Time
}

// runs holds the executions of all searchers by request id.
type runs struct {
	mu   sync.Mutex
	byID map[string][]*run
}

func newRuns() *runs {
	return &runs{
		byID: make(map[string][]*run),
	}
}

func (rs *runs) begin(r *run) {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	rs.byID[r.id] = append(rs.byID[r.id], r)
}

func (rs *runs) end(r *run) {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	r.answered = time.Now()
}

// of returns copies of the executions of a request.
func (rs *runs) of(id string) []run {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	var out []run
	for _, r := range rs.byID[id] {
		out = append(out, *r)
	}
	return out
}

// searcher is a server of a service.
type searcher struct {
	id, service, zone, address string
	slots                      int
	queue                      int64
	runs                       *runs
	// work returns how long a request takes, and the size of its answer in bytes.
	work func(r *http.Request) (time.Duration, int)

	server  *http.Server
	free    chan struct{}
	waiting atomic.Int64
	serial  atomic.Int64
}

// start makes the searcher listen on a free port, and registers it in the store.
func (s *searcher) start(st *store) error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	s.address = l.Addr().String()
	s.free = make(chan struct{}, s.slots)
	s.server = &http.Server{
		Handler: http.HandlerFunc(s.serve),
	}
	go func() { _ = s.server.Serve(l) }()
	s.register(st, "ready")
	return nil
}

// register writes the searcher's entry.
func (s *searcher) register(st *store, state string) {
	st.put("servers/"+s.id, map[string]any{
		"service": s.service, "address": s.address, "zone": s.zone, "version": "1", "slots": s.slots,
		"state": state, "warmup-left-ms": 0, "sequence": 1, "born": time.Now().UnixMilli(),
	})
}

func (s *searcher) sign(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
	w.Header().Set("Response-Signature", fmt.Sprintf("%s.%d", s.id, s.serial.Add(1)))
}

// reject answers a request that is not run.
func (s *searcher) reject(w http.ResponseWriter, r *http.Request, status int) {
	s.sign(w, r)
	w.Header().Set("Not-Executed", "1")
	w.WriteHeader(status)
}

func (s *searcher) serve(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/health" {
		w.Header().Set("Instance-Id", s.id)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if want := r.Header.Get("Expected-Instance"); want != "" && want != s.id {
		s.reject(w, r, http.StatusMisdirectedRequest)
		return
	}
	limit := time.Minute
	if ms, err := strconv.Atoi(r.Header.Get("Request-Deadline")); err == nil {
		limit = time.Duration(ms) * time.Millisecond
	}
	ctx, cancel := context.WithTimeout(r.Context(), limit)
	defer cancel()
	if s.waiting.Add(1) > s.queue+int64(s.slots) {
		s.waiting.Add(-1)
		s.reject(w, r, http.StatusServiceUnavailable)
		return
	}
	defer s.waiting.Add(-1)
	select {
	case s.free <- struct{}{}:
		defer func() { <-s.free }()
	case <-ctx.Done():
		s.reject(w, r, http.StatusServiceUnavailable)
		return
	}
	sum := sha256.Sum256(body)
	one := &run{
		searcher: s.id,
		id:       r.Header.Get("Request-Id"),
		method:   r.Method,
		path:     r.RequestURI,
		body:     hex.EncodeToString(sum[:]),
		at:       time.Now(),
	}
	s.runs.begin(one)
	took, size := s.work(r)
	select {
	case <-time.After(took):
	case <-ctx.Done():
		s.sign(w, r)
		w.WriteHeader(http.StatusGatewayTimeout)
		return
	}
	s.sign(w, r)
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Header().Set("Content-Length", strconv.Itoa(size))
	_, err = w.Write(make([]byte, size))
	if f, ok := w.(http.Flusher); ok {
		f.Flush()
	}
	if err == nil {
		s.runs.end(one)
	}
}
