// Package platformsimulator is a stand-in for a platform whose store is served over
// HTTP. It provides the store, and services whose targets register in it.
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
	"github.com/rotisserie/eris"

	"plantaincleat/tier/pkg/storer"
)

const (
	// pathPrefix is the prefix of the paths of all calls.
	pathPrefix = "/plantaincleat/"
	// defaultPageSize is the maximum number of items in one answer.
	defaultPageSize = 500
	// maxWatchWait is the maximum time that one call of a watch waits for events.
	maxWatchWait = 30 * time.Second
	// headerEra is the header of all answers that counts how often the store has returned
	// from a copy.
	headerEra = "Store-Era"
	// maxTxnEntries is the maximum number of conditions and writes in a transaction.
	maxTxnEntries = 32
)

// Fault is the way in which the store mishandles calls.
type Fault int32

// Faults of the store.
const (
	// NoFault executes and answers every call.
	NoFault Fault = iota
	// Unavailable answers 503 without executing the call.
	Unavailable
	// TooManyRequests answers 429 without executing the call.
	TooManyRequests
	// Reset aborts the connection without executing the call.
	Reset
	// Unresponsive neither executes nor answers calls.
	Unresponsive
	// LoseWriteAnswers executes every call and aborts the connection of each write
	// before the answer.
	LoseWriteAnswers
)

// Store serves the platform's store over HTTP. Create it with NewStore. It is safe
// for concurrent use.
type Store struct {
	memory   storer.Memory
	clock    clockwork.Clock
	fault    atomic.Int32
	pageSize atomic.Int32
	// returns is the number of returns from a copy.
	returns atomic.Int64

	mu         sync.Mutex
	leases     map[int64]leaseTimer
	callCounts map[string]int
}

// NewStore returns an empty store.
func NewStore(clock clockwork.Clock) *Store {
	s := &Store{
		clock:      clock,
		leases:     make(map[int64]leaseTimer),
		callCounts: make(map[string]int),
	}
	s.pageSize.Store(defaultPageSize)
	return s
}

// Memory returns the in-memory store behind the HTTP interface.
func (s *Store) Memory() *storer.Memory { return &s.memory }

// SetFault sets the fault of later calls.
func (s *Store) SetFault(f Fault) { s.fault.Store(int32(f)) }

// SetPageSize sets the maximum number of items in one answer.
func (s *Store) SetPageSize(n int) { s.pageSize.Store(int32(n)) }

// CallCount returns the number of calls of a kind, such as kv-watch.
func (s *Store) CallCount(kind string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.callCounts[kind]
}

// Put writes one item directly, without the HTTP interface and its faults.
func (s *Store) Put(key string, value []byte) error {
	_, err := s.memory.Commit(context.Background(), storer.Txn{
		Writes: []storer.Write{{
			Key:   key,
			Value: value,
		}},
	})
	return err
}

// Delete removes one item directly, without the HTTP interface and its faults.
func (s *Store) Delete(key string) error {
	_, err := s.memory.Commit(context.Background(), storer.Txn{
		Writes: []storer.Write{{
			Key:    key,
			Delete: true,
		}},
	})
	return err
}

// ReturnFromCopy replaces the content by a copy from earlier. Watches that go on after the
// copy's revision are answered with 410.
func (s *Store) ReturnFromCopy(c *storer.Snapshot) {
	s.returns.Add(1)
	s.memory.Restore(c)
}

// setEra sets the header with the present era, which starts at 1.
func (s *Store) setEra(w http.ResponseWriter) {
	w.Header().Set(headerEra, strconv.FormatInt(1+s.returns.Load(), 10))
}

// ServeHTTP implements http.Handler.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.setEra(w)
	kind, id, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, pathPrefix), "/")
	s.mu.Lock()
	s.callCounts[kind]++
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
		// net/http detects that the caller has disconnected only once the
		// body is read.
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
		s.serveKey(w, r)
	case "GET kv-range":
		s.serveRange(w, r)
	case "GET kv-watch":
		s.serveWatch(w, r)
	case "POST kv-txn":
		s.serveTxn(w, r)
	case "POST kv-lease":
		s.serveLeaseGrant(w, r)
	case "POST kv-keep":
		s.serveLeaseRenewal(w, id)
	case "DELETE kv-lease-end":
		s.serveLeaseRevocation(w, id)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

// itemMessage is the JSON form of an item or an event.
type itemMessage struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision int64  `json:"revision"`
	Created  int64  `json:"created,omitempty"`
	Removed  bool   `json:"removed,omitempty"`
}

func newItemMessage(i storer.Item) itemMessage {
	return itemMessage{
		Key:      i.Key,
		Value:    i.Value,
		Revision: i.ModRevision,
		Created:  i.CreateRevision,
	}
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// The write fails if the caller has disconnected, which needs no handling.
	_ = json.NewEncoder(w).Encode(body)
}

func (s *Store) serveKey(w http.ResponseWriter, r *http.Request) {
	stored, found, err := s.memory.Get(r.Context(), r.URL.Query().Get("key"))
	if err != nil || !found {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	page, err := s.memory.Read(r.Context(), stored.Key)
	if err != nil {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	writeJSON(w, http.StatusOK, struct {
		itemMessage
		StoreRevision int64 `json:"store-revision"`
	}{
		itemMessage:   newItemMessage(stored),
		StoreRevision: page.Revision,
	})
}

func (s *Store) serveRange(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	page, err := s.memory.Read(r.Context(), query.Get("prefix"))
	if err != nil {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	answer := struct {
		Items         []itemMessage `json:"items"`
		Truncated     bool          `json:"truncated"`
		StoreRevision int64         `json:"store-revision"`
	}{
		Items:         []itemMessage{},
		StoreRevision: page.Revision,
	}
	for _, stored := range page.Items {
		if stored.Key <= query.Get("after") {
			continue
		}
		if len(answer.Items) == int(s.pageSize.Load()) {
			answer.Truncated = true
			break
		}
		answer.Items = append(answer.Items, newItemMessage(stored))
	}
	writeJSON(w, http.StatusOK, answer)
}

// serveWatch answers with all events after the given revision as soon as there is one,
// or without events when the waiting time has passed.
func (s *Store) serveWatch(w http.ResponseWriter, r *http.Request) {
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
	wait := min(time.Duration(ms)*time.Millisecond, maxWatchWait)
	ctx, cancel := clockwork.WithTimeout(r.Context(), s.clock, wait)
	defer cancel()
	events, revision, err := s.awaitEvents(ctx, query.Get("prefix"), after)
	s.setEra(w)
	if errors.Is(err, storer.ErrCompacted) {
		w.WriteHeader(http.StatusGone)
		return
	}
	if err != nil {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	answer := struct {
		Events        []itemMessage `json:"events"`
		StoreRevision int64         `json:"store-revision"`
	}{
		Events:        []itemMessage{},
		StoreRevision: revision,
	}
	for _, e := range events {
		event := newItemMessage(e.Item)
		event.Removed = e.Deleted
		answer.Events = append(answer.Events, event)
	}
	writeJSON(w, http.StatusOK, answer)
}

// awaitEvents returns the events under a prefix after a revision, and the revision up to
// which they are complete. It waits until there is one or ctx ends.
func (s *Store) awaitEvents(ctx context.Context, prefix string, after int64) ([]storer.Event, int64, error) {
	for {
		events, revision, changed, err := s.memory.EventsSince(prefix, after)
		if err != nil || len(events) > 0 {
			return events, revision, err
		}
		if after > revision {
			return nil, 0, eris.Wrapf(storer.ErrCompacted, "revision %d is higher than the store's %d", after, revision)
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil, revision, nil
		}
	}
}

type txnRequest struct {
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

func (s *Store) serveTxn(w http.ResponseWriter, r *http.Request) {
	var in txnRequest
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil || len(in.Expect)+len(in.Puts)+len(in.Deletes) > maxTxnEntries {
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
		writeJSON(w, http.StatusOK, map[string]int64{"revision": result.Revision})
	}
}

// leaseTimer holds the time to live of a lease and the timer that expires it.
type leaseTimer struct {
	ttl   time.Duration
	timer *time.Timer
}

type leaseMessage struct {
	Lease int64 `json:"lease,omitempty"`
	TTL   int64 `json:"ttl-ms"`
}

func (s *Store) serveLeaseGrant(w http.ResponseWriter, r *http.Request) {
	var in leaseMessage
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
	s.leases[id] = leaseTimer{
		ttl:   ttl,
		timer: time.AfterFunc(ttl, func() { s.memory.ExpireLease(id) }),
	}
	s.mu.Unlock()
	writeJSON(w, http.StatusOK, in)
}

func (s *Store) serveLeaseRenewal(w http.ResponseWriter, id string) {
	n, err := strconv.ParseInt(id, 10, 64)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	remaining, err := s.memory.RenewLease(context.Background(), n)
	s.mu.Lock()
	defer s.mu.Unlock()
	lease, ok := s.leases[n]
	if err != nil || remaining == 0 || !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	lease.timer.Reset(lease.ttl)
	writeJSON(w, http.StatusOK, leaseMessage{TTL: lease.ttl.Milliseconds()})
}

func (s *Store) serveLeaseRevocation(w http.ResponseWriter, id string) {
	n, err := strconv.ParseInt(id, 10, 64)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if err := s.memory.RevokeLease(context.Background(), n); err != nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	writeJSON(w, http.StatusOK, struct{}{})
}
