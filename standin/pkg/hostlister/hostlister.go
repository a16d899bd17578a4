// Package hostlister is a stand-in for the platform's list of live and leaving hosts.
// Its faults make the list outdated, unavailable or malformed.
package hostlister

import (
	"encoding/json"
	"errors"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rotisserie/eris"
)

// Errors of changes to the list.
var (
	// ErrUnknownHost is returned for a host that is not in the list.
	ErrUnknownHost = errors.New("unknown host")
	// ErrInvalidHost is returned for an entry without id or address, or with an
	// unknown role or state.
	ErrInvalidHost = errors.New("invalid host")
)

// maxBodyBytes is the size in bytes of the largest request to the admin handler.
const maxBodyBytes = 4 << 20

// Host is one entry of the list.
type Host struct {
	ID         string `json:"id"`
	Address    string `json:"address"`
	DataCentre string `json:"datacentre"`
	// Role is "daemon" or "target".
	Role string `json:"role"`
	// State is "live" or "leaving".
	State string `json:"state"`
}

// Faults are the faults of the list. The zero value has none.
type Faults struct {
	// LagMillis is the time in milliseconds after which a change is served.
	LagMillis int64 `json:"lag"`
	// Outage makes every request for the list fail with status 503.
	Outage bool `json:"outage"`
	// Garbled serves a body that is not a list of hosts.
	Garbled bool `json:"garbled"`
}

// snapshot is the list as it was from a time until the next snapshot.
type snapshot struct {
	since time.Time
	hosts []Host
}

// Server serves and changes the list. Create it with New. It is safe for concurrent
// use.
type Server struct {
	clock clockwork.Clock

	mu        sync.Mutex
	snapshots []snapshot
	faults    Faults
	reads     uint64
}

// New returns a server whose list consists of hosts.
func New(clock clockwork.Clock, hosts []Host) (*Server, error) {
	s := &Server{
		clock: clock,
	}
	for _, h := range hosts {
		if err := validate(h); err != nil {
			return nil, err
		}
	}
	s.snapshots = []snapshot{{
		since: clock.Now(),
		hosts: slices.Clone(hosts),
	}}
	return s, nil
}

func validate(h Host) error {
	role := h.Role == "daemon" || h.Role == "target"
	state := h.State == "live" || h.State == "leaving"
	if h.ID == "" || h.Address == "" || !role || !state {
		return eris.Wrapf(ErrInvalidHost, "host %q: role %q, state %q, address %q", h.ID, h.Role, h.State, h.Address)
	}
	return nil
}

// Put adds hosts to the list. It replaces entries that have the same ids.
func (s *Server) Put(hosts []Host) error {
	for _, h := range hosts {
		if err := validate(h); err != nil {
			return err
		}
	}
	s.update(func(list []Host) []Host {
		for _, h := range hosts {
			if i := slices.IndexFunc(list, func(o Host) bool { return o.ID == h.ID }); i >= 0 {
				list[i] = h
			} else {
				list = append(list, h)
			}
		}
		return list
	})
	return nil
}

// SetState changes the state of a host.
func (s *Server) SetState(id, state string) error {
	for _, h := range s.latest() {
		if h.ID == id {
			h.State = state
			return s.Put([]Host{h})
		}
	}
	return eris.Wrapf(ErrUnknownHost, "host %q", id)
}

// Remove removes a host from the list. An unknown id is ignored.
func (s *Server) Remove(id string) {
	s.update(func(list []Host) []Host {
		return slices.DeleteFunc(list, func(h Host) bool { return h.ID == id })
	})
}

func (s *Server) latest() []Host {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.snapshots[len(s.snapshots)-1].hosts)
}

// update applies f to a copy of the latest list and stores the result as a new
// snapshot.
func (s *Server) update(f func([]Host) []Host) {
	s.mu.Lock()
	defer s.mu.Unlock()
	last := s.snapshots[len(s.snapshots)-1]
	s.snapshots = append(s.snapshots, snapshot{
		since: s.clock.Now(),
		hosts: f(slices.Clone(last.hosts)),
	})
}

// SetFaults replaces all faults.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Faults returns the faults in force.
func (s *Server) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// servedSnapshot returns the snapshot that a reader gets under the present lag, and
// its index. It counts the read.
func (s *Server) servedSnapshot() (snapshot, int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reads++
	limit := s.clock.Now().Add(-time.Duration(s.faults.LagMillis) * time.Millisecond)
	for i := len(s.snapshots) - 1; i > 0; i-- {
		if !s.snapshots[i].since.After(limit) {
			return s.snapshots[i], i
		}
	}
	return s.snapshots[0], 0
}

// Handler returns the handler that serves the list at GET /hosts, with an entity tag.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /hosts", func(w http.ResponseWriter, r *http.Request) {
		list, number := s.servedSnapshot()
		faults := s.Faults()
		tag := strconv.Quote(strconv.Itoa(number))
		switch {
		case faults.Outage:
			http.Error(w, "host list is unavailable: fault outage is set", http.StatusServiceUnavailable)
		case faults.Garbled:
			_, _ = w.Write([]byte("<html>not a list</html>"))
		case r.Header.Get("If-None-Match") == tag:
			w.WriteHeader(http.StatusNotModified)
		default:
			w.Header().Set("ETag", tag)
			writeJSON(w, list.hosts)
		}
	})
	return mux
}

// Admin returns the handler of the admin listener:
//
//	GET    /hosts       returns the latest list, regardless of the lag
//	POST   /hosts       adds or replaces an array of hosts
//	POST   /state       sets the state of one host: {"id":"t1","state":"leaving"}
//	DELETE /hosts/{id}  removes a host from the list
//	GET    /faults      returns the faults in force
//	POST   /faults      replaces all faults; unknown fields are refused
//	GET    /counts      returns the number of reads of the list
func (s *Server) Admin() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /hosts", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.latest()) })
	mux.HandleFunc("POST /hosts", decodeAndApply(s.Put))
	mux.HandleFunc("POST /state", decodeAndApply(func(c stateChange) error { return s.SetState(c.ID, c.State) }))
	mux.HandleFunc("DELETE /hosts/{id}", func(w http.ResponseWriter, r *http.Request) {
		s.Remove(r.PathValue("id"))
		w.WriteHeader(http.StatusNoContent)
	})
	mux.HandleFunc("GET /faults", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.Faults()) })
	mux.HandleFunc("POST /faults", decodeAndApply(func(f Faults) error {
		s.SetFaults(f)
		return nil
	}))
	mux.HandleFunc("GET /counts", func(w http.ResponseWriter, _ *http.Request) {
		s.mu.Lock()
		defer s.mu.Unlock()
		writeJSON(w, counts{
			Reads: s.reads,
		})
	})
	return mux
}

// stateChange is the body of POST /state.
type stateChange struct {
	ID    string `json:"id"`
	State string `json:"state"`
}

// counts is the answer to GET /counts.
type counts struct {
	Reads uint64 `json:"reads"`
}

// decodeAndApply returns a handler that decodes the body of a request as JSON and
// passes the result to apply. Unknown fields are refused.
func decodeAndApply[T any](apply func(T) error) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes))
		decoder.DisallowUnknownFields()
		var v T
		if err := decoder.Decode(&v); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		err := apply(v)
		switch {
		case errors.Is(err, ErrUnknownHost):
			http.Error(w, err.Error(), http.StatusNotFound)
		case err != nil:
			http.Error(w, err.Error(), http.StatusBadRequest)
		default:
			w.WriteHeader(http.StatusNoContent)
		}
	}
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
