package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// firstRevision is the revision of the store at its start.
	firstRevision = 1000
	// pageItems is the greatest number of items in an answer to kv-range.
	pageItems = 500
	// maxWait is the longest time that a watch waits.
	maxWait = 30 * time.Second
)

// item is a key of the store with its value, or its removal.
type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision int64  `json:"revision"`
	Created  int64  `json:"created,omitempty"`
	Lease    int64  `json:"lease"`
	Removed  bool   `json:"removed,omitempty"`
}

// store is the platform's store.
type store struct {
	address string
	server  *http.Server

	mu       sync.Mutex
	revision int64
	// era counts the returns of the store from a copy. It is stated in the answers if it is positive.
	era     int64
	items   map[string]item
	history []item
	changed chan struct{}
}

func newStore() (*store, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{
		address:  l.Addr().String(),
		revision: firstRevision,
		items:    make(map[string]item),
		changed:  make(chan struct{}),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /plantaincleat/kv-key", s.serveKey)
	mux.HandleFunc("GET /plantaincleat/kv-range", s.serveRange)
	mux.HandleFunc("GET /plantaincleat/kv-watch", s.serveWatch)
	s.server = &http.Server{
		Handler: mux,
	}
	go func() { _ = s.server.Serve(l) }()
	return s, nil
}

// put writes a key and returns its revision.
func (s *store) put(key string, value any) int64 {
	data, ok := value.([]byte)
	if !ok {
		var err error
		if data, err = json.Marshal(value); err != nil {
			panic(err)
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	i := item{
		Key:      key,
		Value:    data,
		Revision: s.revision,
		Created:  s.revision,
	}
	if old, ok := s.items[key]; ok {
		i.Created = old.Created
	}
	s.items[key] = i
	s.record(i)
	return s.revision
}

// remove removes a key.
func (s *store) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.items[key]; !ok {
		return
	}
	s.revision++
	delete(s.items, key)
	s.record(item{
		Key:      key,
		Revision: s.revision,
		Removed:  true,
	})
}

// record adds a change to the history and wakes the watches. The caller holds s.mu.
func (s *store) record(i item) {
	s.history = append(s.history, i)
	close(s.changed)
	s.changed = make(chan struct{})
}

// answer writes an answer in JSON. The caller holds s.mu.
func (s *store) answer(w http.ResponseWriter, status int, body any) {
	if s.era > 0 {
		w.Header().Set("Store-Era", strconv.FormatInt(s.era, 10))
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *store) serveKey(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	i, ok := s.items[r.URL.Query().Get("key")]
	if !ok {
		s.answer(w, http.StatusNotFound, map[string]any{"error": "no such key"})
		return
	}
	s.answer(w, http.StatusOK, struct {
		item
		StoreRevision int64 `json:"store-revision"`
	}{i, s.revision})
}

func (s *store) serveRange(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
	var keys []string
	for key := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	truncated := len(keys) > pageItems
	items := []item{}
	for _, key := range keys[:min(len(keys), pageItems)] {
		items = append(items, s.items[key])
	}
	s.answer(w, http.StatusOK, map[string]any{"items": items, "truncated": truncated, "store-revision": s.revision})
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request) {
	prefix := r.URL.Query().Get("prefix")
	after, _ := strconv.ParseInt(r.URL.Query().Get("after"), 10, 64)
	waitMS, _ := strconv.Atoi(r.URL.Query().Get("wait-ms"))
	deadline := time.After(min(time.Duration(waitMS)*time.Millisecond, maxWait))
	for {
		s.mu.Lock()
		if after > s.revision {
			s.answer(w, http.StatusGone, map[string]any{"error": "no such revision"})
			s.mu.Unlock()
			return
		}
		events := []item{}
		for _, i := range s.history {
			if i.Revision > after && strings.HasPrefix(i.Key, prefix) {
				events = append(events, i)
			}
		}
		changed, revision := s.changed, s.revision
		if len(events) > 0 {
			s.answer(w, http.StatusOK, map[string]any{"events": events, "store-revision": revision})
			s.mu.Unlock()
			return
		}
		s.mu.Unlock()
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-deadline:
			s.mu.Lock()
			s.answer(w, http.StatusOK, map[string]any{"events": []item{}, "store-revision": revision})
			s.mu.Unlock()
			return
		}
	}
}
