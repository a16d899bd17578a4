// Package platformsimulator stands in for a platform whose store is reached over HTTP:
// the store itself, and a small world of services that register there.
package platformsimulator

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"

	"plantaincleat/tier/pkg/storer"
)

const (
	prefix = "/plantaincleat/"
	// defaultPage is the number of items in one answer.
	defaultPage = 500
	// maxWait bounds the time that a watch waits.
	maxWait = 30 * time.Second
	// maxEntries bounds the entries of a transaction.
	maxEntries = 32
)

// Fault is how the store treats calls.
type Fault int32

// Faults of the store.
const (
	// NoFault answers every call.
	NoFault Fault = iota
	// Unavailable answers 503, and nothing is done.
	Unavailable
	// TooManyRequests answers 429, and nothing is done.
	TooManyRequests
	// Reset breaks the connection, and nothing is done.
	Reset
	// Unresponsive does not answer until the caller leaves.
	Unresponsive
	// LoseWriteAnswers does what is asked and breaks the connection of each write.
	LoseWriteAnswers
)

// Store serves the platform's store over HTTP. Make it with NewStore.
type Store struct {
	memory storer.Memory
	clock  clockwork.Clock
	fault  atomic.Int32
	page   atomic.Int32

	mu     sync.Mutex
	leases map[int64]running
	calls  map[string]int
}

// NewStore returns an empty store.
func NewStore(clock clockwork.Clock) *Store {
	s := &Store{
		clock:  clock,
		leases: make(map[int64]running),
		calls:  make(map[string]int),
	}
	s.page.Store(defaultPage)
	return s
}

// Memory returns the content.
func (s *Store) Memory() *storer.Memory { return &s.memory }

// SetFault changes how calls are treated.
func (s *Store) SetFault(f Fault) { s.fault.Store(int32(f)) }

// SetPageSize changes the number of items in one answer.
func (s *Store) SetPageSize(n int) { s.page.Store(int32(n)) }

// CallCount returns the number of calls of a kind, such as kv-watch.
func (s *Store) CallCount(kind string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls[kind]
}

// Put writes one item, as the platform's operators and services do.
func (s *Store) Put(key string, value []byte) error {
	_, err := s.memory.Commit(context.Background(), storer.Txn{
		Writes: []storer.Write{{
			Key:   key,
			Value: value,
		}},
	})
	return err
}

// Delete removes one item.
func (s *Store) Delete(key string) error {
	_, err := s.memory.Commit(context.Background(), storer.Txn{
		Writes: []storer.Write{{
			Key:    key,
			Delete: true,
		}},
	})
	return err
}

// ServeHTTP implements http.Handler.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	kind, id, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, prefix), "/")
	s.mu.Lock()
	s.calls[kind]++
	s.mu.Unlock()
	switch Fault(s.fault.Load()) {
	case Unavailable:
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case TooManyRequests:
		w.WriteHeader(http.StatusTooManyRequests)
		return
	case Reset:
		panic(http.ErrAbortHandler)
	case Unresponsive:
		// The server notices that a caller has left once the body is read.
		_, _ = io.Copy(io.Discard, r.Body)
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	s.route(w, r, kind, id)
	if Fault(s.fault.Load()) == LoseWriteAnswers && r.Method != http.MethodGet {
		panic(http.ErrAbortHandler)
	}
}

func (s *Store) route(w http.ResponseWriter, r *http.Request, kind, id string) {
	switch r.Method + " " + kind {
	case "GET kv-key":
		s.key(w, r)
	case "GET kv-range":
		s.list(w, r)
	case "GET kv-watch":
		s.watch(w, r)
	case "POST kv-txn":
		s.txn(w, r)
	case "POST kv-lease":
		s.grant(w, r)
	case "POST kv-keep":
		s.keep(w, id)
	case "DELETE kv-lease-end":
		s.end(w, id)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

// item is a key with its value on the wire.
type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision int64  `json:"revision"`
	Created  int64  `json:"created,omitempty"`
	Removed  bool   `json:"removed,omitempty"`
}

func encode(i storer.Item) item {
	return item{
		Key:      i.Key,
		Value:    i.Value,
		Revision: i.ModRevision,
		Created:  i.CreateRevision,
	}
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// A caller that has left needs no answer.
	_ = json.NewEncoder(w).Encode(body)
}

func (s *Store) key(w http.ResponseWriter, r *http.Request) {
	one, found, err := s.memory.Get(r.Context(), r.URL.Query().Get("key"))
	if err != nil || !found {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	page, err := s.memory.Read(r.Context(), one.Key)
	if err != nil {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	reply(w, http.StatusOK, struct {
		item
		StoreRevision int64 `json:"store-revision"`
	}{
		item:          encode(one),
		StoreRevision: page.Revision,
	})
}

func (s *Store) list(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	page, err := s.memory.Read(r.Context(), query.Get("prefix"))
	if err != nil {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	answer := struct {
		Items         []item `json:"items"`
		Truncated     bool   `json:"truncated"`
		StoreRevision int64  `json:"store-revision"`
	}{
		Items:         []item{},
		StoreRevision: page.Revision,
	}
	for _, one := range page.Items {
		if one.Key <= query.Get("after") {
			continue
		}
		if len(answer.Items) == int(s.page.Load()) {
			answer.Truncated = true
			break
		}
		answer.Items = append(answer.Items, encode(one))
	}
	reply(w, http.StatusOK, answer)
}

// watch answers once there is an event, or when the time to wait is over.
func (s *Store) watch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, err := strconv.ParseInt(query.Get("after"), 10, 64)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	ms, err := strconv.ParseInt(query.Get("wait-ms"), 10, 64)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	wait := min(time.Duration(ms)*time.Millisecond, maxWait)
	ctx, cancel := clockwork.WithTimeout(r.Context(), s.clock, wait)
	defer cancel()
	answer := struct {
		Events        []item `json:"events"`
		StoreRevision int64  `json:"store-revision"`
	}{
		Events:        []item{},
		StoreRevision: after,
	}
	for e := range s.memory.Watch(ctx, query.Get("prefix"), after) {
		if errors.Is(e.Err, storer.ErrCompacted) {
			w.WriteHeader(http.StatusGone)
			return
		}
		if e.Err != nil {
			break
		}
		one := encode(e.Item)
		one.Removed = e.Deleted
		answer.Events = append(answer.Events, one)
		answer.StoreRevision = e.Item.ModRevision
		cancel()
	}
	reply(w, http.StatusOK, answer)
}

type txn struct {
	Expect []struct {
		Key      string `json:"key"`
		Revision int64  `json:"revision"`
	} `json:"expect"`
	Puts []struct {
		Key   string `json:"key"`
		Value []byte `json:"value"`
		Lease int64  `json:"lease"`
	} `json:"puts"`
	Deletes []string `json:"deletes"`
}

func (s *Store) txn(w http.ResponseWriter, r *http.Request) {
	var in txn
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil || len(in.Expect)+len(in.Puts)+len(in.Deletes) > maxEntries {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	var out storer.Txn
	for _, e := range in.Expect {
		out.Conditions = append(out.Conditions, storer.Condition{
			Key:         e.Key,
			ModRevision: e.Revision,
		})
	}
	for _, p := range in.Puts {
		out.Writes = append(out.Writes, storer.Write{
			Key:     p.Key,
			Value:   p.Value,
			LeaseID: p.Lease,
		})
	}
	for _, key := range in.Deletes {
		out.Writes = append(out.Writes, storer.Write{
			Key:    key,
			Delete: true,
		})
	}
	result, err := s.memory.Commit(r.Context(), out)
	switch {
	case err != nil:
		w.WriteHeader(http.StatusServiceUnavailable)
	case !result.Applied:
		w.WriteHeader(http.StatusPreconditionFailed)
	default:
		reply(w, http.StatusOK, map[string]int64{"revision": result.Revision})
	}
}

// running is a lease with the timer of its end.
type running struct {
	ttl   time.Duration
	timer *time.Timer
}

type lease struct {
	Lease int64 `json:"lease,omitempty"`
	TTL   int64 `json:"ttl-ms"`
}

func (s *Store) grant(w http.ResponseWriter, r *http.Request) {
	var in lease
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil || in.TTL <= 0 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	id, err := s.memory.GrantLease(r.Context(), in.TTL)
	if err != nil {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	in.Lease = id
	s.mu.Lock()
	ttl := time.Duration(in.TTL) * time.Millisecond
	s.leases[id] = running{
		ttl:   ttl,
		timer: time.AfterFunc(ttl, func() { s.memory.ExpireLease(id) }),
	}
	s.mu.Unlock()
	reply(w, http.StatusOK, in)
}

func (s *Store) keep(w http.ResponseWriter, id string) {
	n, err := strconv.ParseInt(id, 10, 64)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	left, err := s.memory.RenewLease(context.Background(), n)
	s.mu.Lock()
	defer s.mu.Unlock()
	one, ok := s.leases[n]
	if err != nil || left == 0 || !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	one.timer.Reset(one.ttl)
	reply(w, http.StatusOK, lease{TTL: one.ttl.Milliseconds()})
}

func (s *Store) end(w http.ResponseWriter, id string) {
	n, err := strconv.ParseInt(id, 10, 64)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if err := s.memory.RevokeLease(context.Background(), n); err != nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	reply(w, http.StatusOK, struct{}{})
}
