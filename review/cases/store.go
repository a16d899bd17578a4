package main

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// storeItem is an item of the platform's store in an answer. Value is base64 in JSON.
type storeItem struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision int64  `json:"revision"`
	Created  int64  `json:"created,omitempty"`
	Lease    int64  `json:"lease"`
	Removed  bool   `json:"removed,omitempty"`
}

// store is a stand-in for the platform's store. It answers the calls that read; only the
// stand-ins write, by put and remove.
type store struct {
	address string
	server  *http.Server

	mu       sync.Mutex
	revision int64
	items    map[string]storeItem
	history  []storeItem
	// changed is closed and replaced at each change.
	changed chan struct{}
}

// storeLatency is the time that the store needs for an answer.
const storeLatency = 4 * time.Millisecond

func newStore() (*store, error) {
	l, err := listen()
	if err != nil {
		return nil, err
	}
	s := &store{
		address:  l.Addr().String(),
		revision: 1,
		items:    make(map[string]storeItem),
		changed:  make(chan struct{}),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /plantaincleat/kv-key", s.serveKey)
	mux.HandleFunc("GET /plantaincleat/kv-range", s.serveRange)
	mux.HandleFunc("GET /plantaincleat/kv-watch", s.serveWatch)
	s.server = &http.Server{Handler: mux}
	go func() { _ = s.server.Serve(l) }()
	return s, nil
}

func (s *store) close() { _ = s.server.Close() }

// put writes a key.
func (s *store) put(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	item := storeItem{Key: key, Value: value, Revision: s.revision, Created: s.revision}
	if old, ok := s.items[key]; ok {
		item.Created = old.Created
	}
	s.items[key] = item
	s.record(item)
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
	s.record(storeItem{Key: key, Revision: s.revision, Removed: true})
}

// record adds an event to the history. The caller holds s.mu.
func (s *store) record(event storeItem) {
	s.history = append(s.history, event)
	close(s.changed)
	s.changed = make(chan struct{})
}

func answerJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}

func (s *store) serveKey(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeLatency)
	s.mu.Lock()
	defer s.mu.Unlock()
	item, ok := s.items[r.URL.Query().Get("key")]
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	answerJSON(w, struct {
		storeItem
		StoreRevision int64 `json:"store-revision"`
	}{item, s.revision})
}

func (s *store) serveRange(w http.ResponseWriter, r *http.Request) {
	const pageItems = 500
	time.Sleep(storeLatency)
	query := r.URL.Query()
	s.mu.Lock()
	defer s.mu.Unlock()
	out := struct {
		Items         []storeItem `json:"items"`
		Truncated     bool        `json:"truncated"`
		StoreRevision int64       `json:"store-revision"`
	}{Items: []storeItem{}, StoreRevision: s.revision}
	for key, item := range s.items {
		if strings.HasPrefix(key, query.Get("prefix")) && key > query.Get("after") {
			out.Items = append(out.Items, item)
		}
	}
	slices.SortFunc(out.Items, func(a, b storeItem) int { return strings.Compare(a.Key, b.Key) })
	if len(out.Items) > pageItems {
		out.Items, out.Truncated = out.Items[:pageItems], true
	}
	answerJSON(w, out)
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeLatency)
	query := r.URL.Query()
	after, _ := strconv.ParseInt(query.Get("after"), 10, 64)
	waitMillis, _ := strconv.ParseInt(query.Get("wait-ms"), 10, 64)
	end := time.NewTimer(time.Duration(waitMillis) * time.Millisecond)
	defer end.Stop()
	for {
		s.mu.Lock()
		events, revision, changed := s.eventsAfter(query.Get("prefix"), after), s.revision, s.changed
		s.mu.Unlock()
		expired := false
		if len(events) == 0 {
			select {
			case <-changed:
				continue
			case <-r.Context().Done():
				return
			case <-end.C:
				expired = true
			}
		}
		if expired || len(events) > 0 {
			answerJSON(w, struct {
				Events        []storeItem `json:"events"`
				StoreRevision int64       `json:"store-revision"`
			}{events, revision})
			return
		}
	}
}

// eventsAfter returns the events of a prefix after a revision. The caller holds s.mu.
func (s *store) eventsAfter(prefix string, after int64) []storeItem {
	out := []storeItem{}
	for _, e := range s.history {
		if e.Revision > after && strings.HasPrefix(e.Key, prefix) {
			out = append(out, e)
		}
	}
	return out
}
