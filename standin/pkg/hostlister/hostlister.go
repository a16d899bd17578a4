// Package hostlister stands in for the platform's list of live and leaving
// hosts. The list lags by a settable time, and can be out or garbled.
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

// Errors of requests to the switches.
var (
	// ErrUnknown reports a host that is not in the list.
	ErrUnknown = errors.New("unknown host")
	// ErrInvalid reports an entry that the list cannot hold.
	ErrInvalid = errors.New("invalid host")
)

// bodyLimit is the size in bytes of the largest request to the switches.
const bodyLimit = 4 << 20

// Host is one entry of the list.
type Host struct {
	ID         string `json:"id"`
	Address    string `json:"address"`
	DataCentre string `json:"datacentre"`
	// Role is daemon or target.
	Role string `json:"role"`
	// State is live or leaving.
	State string `json:"state"`
}

// Faults are the list's switches. The zero value has none.
type Faults struct {
	// Lag is the age in milliseconds of the list that is served.
	Lag int64 `json:"lag"`
	// Outage refuses every request for the list.
	Outage bool `json:"outage"`
	// Garbled serves something that is no list.
	Garbled bool `json:"garbled"`
}

// edition is the list as it was from a time on.
type edition struct {
	since time.Time
	hosts []Host
}

// Server is the list. It is safe for concurrent use.
type Server struct {
	clock clockwork.Clock

	mu       sync.Mutex
	editions []edition
	faults   Faults
	reads    uint64
}

// New returns a list with hosts.
func New(clock clockwork.Clock, hosts []Host) (*Server, error) {
	s := &Server{
		clock: clock,
	}
	for _, h := range hosts {
		if err := check(h); err != nil {
			return nil, err
		}
	}
	s.editions = []edition{{
		since: clock.Now(),
		hosts: slices.Clone(hosts),
	}}
	return s, nil
}

func check(h Host) error {
	role := h.Role == "daemon" || h.Role == "target"
	state := h.State == "live" || h.State == "leaving"
	if h.ID == "" || h.Address == "" || !role || !state {
		return eris.Wrapf(ErrInvalid, "host %q: role %q, state %q, address %q", h.ID, h.Role, h.State, h.Address)
	}
	return nil
}

// Put adds hosts, or replaces those with the same ids.
func (s *Server) Put(hosts []Host) error {
	for _, h := range hosts {
		if err := check(h); err != nil {
			return err
		}
	}
	s.edit(func(list []Host) []Host {
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
	for _, h := range s.newest() {
		if h.ID == id {
			h.State = state
			return s.Put([]Host{h})
		}
	}
	return eris.Wrapf(ErrUnknown, "host %q", id)
}

// Remove takes a host off the list.
func (s *Server) Remove(id string) {
	s.edit(func(list []Host) []Host {
		return slices.DeleteFunc(list, func(h Host) bool { return h.ID == id })
	})
}

func (s *Server) newest() []Host {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.editions[len(s.editions)-1].hosts)
}

// edit makes a new edition.
func (s *Server) edit(f func([]Host) []Host) {
	s.mu.Lock()
	defer s.mu.Unlock()
	last := s.editions[len(s.editions)-1]
	s.editions = append(s.editions, edition{
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

// Faults returns the present faults.
func (s *Server) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// served returns the edition that a reader gets now, and its number.
func (s *Server) served() (edition, int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reads++
	limit := s.clock.Now().Add(-time.Duration(s.faults.Lag) * time.Millisecond)
	for i := len(s.editions) - 1; i > 0; i-- {
		if !s.editions[i].since.After(limit) {
			return s.editions[i], i
		}
	}
	return s.editions[0], 0
}

// Handler serves the list at GET /hosts, with an entity tag.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /hosts", func(w http.ResponseWriter, r *http.Request) {
		list, number := s.served()
		faults := s.Faults()
		tag := strconv.Quote(strconv.Itoa(number))
		switch {
		case faults.Outage:
			http.Error(w, "outage", http.StatusServiceUnavailable)
		case faults.Garbled:
			_, _ = w.Write([]byte("<html>not a list</html>"))
		case r.Header.Get("If-None-Match") == tag:
			w.WriteHeader(http.StatusNotModified)
		default:
			w.Header().Set("ETag", tag)
			reply(w, list.hosts)
		}
	})
	return mux
}

// Admin returns the handler of the switches:
//
//	GET    /hosts       the newest list, whatever the lag
//	POST   /hosts       adds or replaces an array of hosts
//	POST   /state       sets the state of one host: {"id":"t1","state":"leaving"}
//	DELETE /hosts/{id}  takes a host off the list
//	GET    /faults      the present faults
//	POST   /faults      replaces all faults; unknown fields are refused
//	GET    /counts      the number of reads of the list
func (s *Server) Admin() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /hosts", func(w http.ResponseWriter, _ *http.Request) { reply(w, s.newest()) })
	mux.HandleFunc("POST /hosts", accept(s.Put))
	mux.HandleFunc("POST /state", accept(func(c change) error { return s.SetState(c.ID, c.State) }))
	mux.HandleFunc("DELETE /hosts/{id}", func(w http.ResponseWriter, r *http.Request) {
		s.Remove(r.PathValue("id"))
		w.WriteHeader(http.StatusNoContent)
	})
	mux.HandleFunc("GET /faults", func(w http.ResponseWriter, _ *http.Request) { reply(w, s.Faults()) })
	mux.HandleFunc("POST /faults", accept(func(f Faults) error {
		s.SetFaults(f)
		return nil
	}))
	mux.HandleFunc("GET /counts", func(w http.ResponseWriter, _ *http.Request) {
		s.mu.Lock()
		defer s.mu.Unlock()
		reply(w, counts{
			Reads: s.reads,
		})
	})
	return mux
}

// change is the body of POST /state.
type change struct {
	ID    string `json:"id"`
	State string `json:"state"`
}

// counts is the answer to GET /counts.
type counts struct {
	Reads uint64 `json:"reads"`
}

// accept decodes the body of a request and passes it on.
func accept[T any](take func(T) error) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, bodyLimit))
		decoder.DisallowUnknownFields()
		var v T
		if err := decoder.Decode(&v); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		err := take(v)
		switch {
		case errors.Is(err, ErrUnknown):
			http.Error(w, err.Error(), http.StatusNotFound)
		case err != nil:
			http.Error(w, err.Error(), http.StatusBadRequest)
		default:
			w.WriteHeader(http.StatusNoContent)
		}
	}
}

func reply(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
