package main

import (
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"io"
	mathrand "math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// searcher is a stand-in for a searcher of the users. It executes as many requests at once as
// it has slots and queues a few more.
type searcher struct {
	id      string
	service string
	zone    string
	slots   int
	queue   int
	work    time.Duration
	// zones cuts the searcher off from daemons. It may be nil.
	zones *zones
	// execute does the work and writes the answer. If it is nil, the work takes its time and the
	// answer is sound, unless respond writes another one.
	execute func(w http.ResponseWriter, r *http.Request)
	// respond writes the answer to a request that was executed. It is nil for a sound answer.
	respond func(w http.ResponseWriter, r *http.Request) bool

	// address is where the searcher listens. It is set before the start only for a process that
	// takes the address of an earlier one.
	address  string
	server   *http.Server
	store    *store
	record   *record
	born     int64
	sequence atomic.Int64
	running  chan struct{}
	waiting  atomic.Int32

	mu      sync.Mutex
	state   string
	stop    chan struct{}
	closing sync.Once
}

// heartbeat is the time between two check-ins of a searcher.
const heartbeat = 1200 * time.Millisecond

func (s *searcher) start(st *store, rec *record) error {
	var l net.Listener
	var err error
	if s.address == "" {
		l, err = listen()
	} else {
		l, err = net.Listen("tcp", s.address)
	}
	if err != nil {
		return err
	}
	if s.zones != nil {
		l = &zoneListener{Listener: l, zones: s.zones, zone: s.zone}
	}
	s.address, s.store, s.record = l.Addr().String(), st, rec
	s.born, s.state, s.stop = time.Now().UnixMilli(), "ready", make(chan struct{})
	s.running = make(chan struct{}, s.slots)
	mux := http.NewServeMux()
	mux.HandleFunc("GET /health", s.serveHealth)
	mux.HandleFunc("/", s.serve)
	s.server = &http.Server{Handler: mux}
	go func() { _ = s.server.Serve(l) }()
	s.register()
	go s.renew()
	return nil
}

// renew checks in until the searcher ends.
func (s *searcher) renew() {
	ticker := time.NewTicker(heartbeat)
	defer ticker.Stop()
	for {
		select {
		case <-s.stop:
			return
		case <-ticker.C:
			s.register()
		}
	}
}

// register writes the entry of the searcher to the store.
func (s *searcher) register() {
	s.mu.Lock()
	state := s.state
	s.mu.Unlock()
	value, _ := json.Marshal(map[string]any{
		"service": s.service, "address": s.address, "zone": s.zone, "version": "v1", "slots": s.slots,
		"state": state, "warmup-left-ms": 0, "sequence": s.sequence.Add(1), "born": s.born,
	})
	s.store.put("servers/"+s.id, value)
}

// close ends the searcher: its connections break, and its address refuses new ones.
func (s *searcher) close() {
	s.closing.Do(func() {
		close(s.stop)
		_ = s.server.Close()
	})
}

// take waits for a slot. It returns false if the queue is full, or if the caller leaves or the
// time limit passes while the request waits.
func (s *searcher) take(r *http.Request, limit time.Duration) bool {
	select {
	case s.running <- struct{}{}:
		return true
	default:
	}
	if s.waiting.Add(1) > int32(s.queue) {
		s.waiting.Add(-1)
		return false
	}
	defer s.waiting.Add(-1)
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case s.running <- struct{}{}:
		return true
	case <-timer.C:
	case <-r.Context().Done():
	}
	return false
}

func (s *searcher) serveHealth(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Instance-Id", s.id)
	if !s.take(r, time.Second) {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer func() { <-s.running }()
	time.Sleep(time.Millisecond)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.state != "ready" {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

func (s *searcher) serve(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Request-Id")
	w.Header().Set("Request-Id", id)
	w.Header().Set("Instance-Id", s.id)
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	if expected := r.Header.Get("Expected-Instance"); expected != "" && expected != s.id {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	limit := 5 * time.Second
	if ms, err := strconv.Atoi(r.Header.Get("Request-Deadline")); err == nil {
		limit = time.Duration(ms) * time.Millisecond
	}
	if !s.take(r, limit) {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer func() { <-s.running }()
	s.record.ran(id, s.id, r.Header.Get("Tenant-Id"))
	if s.execute != nil {
		s.execute(w, r)
		return
	}
	s.answer(w, r)
}

// answer works on a request and answers it.
func (s *searcher) answer(w http.ResponseWriter, r *http.Request) {
	timer := time.NewTimer(time.Duration(float64(s.work) * (0.5 + mathrand.Float64())))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-r.Context().Done():
		return
	}
	if s.respond != nil && s.respond(w, r) {
		return
	}
	var mac [8]byte
	_, _ = rand.Read(mac[:])
	id := r.Header.Get("Request-Id")
	w.Header().Set("Response-Signature", id+"."+hex.EncodeToString(mac[:]))
	_, _ = w.Write([]byte("answer to " + id))
}
