// Package adminserver serves operators and load balancers over HTTP: liveness,
// readiness, metrics, status and explanations.
package adminserver

import (
	"encoding/json"
	"expvar"
	"net/http"
	"sync/atomic"

	"plantaincleat/entryd/pkg/explanationkeeper"
	"plantaincleat/entryd/pkg/httphandler"
)

// Status is the body of the answer to GET /status.
type Status struct {
	ID         string `json:"id"`
	DataCentre string `json:"datacentre"`
	// Revision is that of the configuration in force, or 0 if there is none.
	Revision uint64 `json:"revision"`
	Ready    bool   `json:"ready"`
	// StaleSeconds is the number of seconds since the revision was last confirmed to
	// be the newest, -1 if it never was.
	StaleSeconds float64  `json:"stale"`
	Members      []Member `json:"members"`
	// Draining are the ids of the targets that get no new requests.
	Draining []string `json:"leaving"`
}

// Member is a daemon of the fleet as seen by the daemon that answers.
type Member struct {
	ID         string `json:"id"`
	DataCentre string `json:"datacentre"`
	State      string `json:"state"`
	Revision   uint64 `json:"revision"`
	Admin      string `json:"admin"`
}

// Reporter returns the daemon's status.
type Reporter interface {
	Status() Status
}

// Server is the handler of the admin listener. It must be created with New.
type Server struct {
	mux          *http.ServeMux
	reporter     Reporter
	explanations *explanationkeeper.Keeper[*httphandler.Explanation]
	stopping     atomic.Bool
}

// New returns a server of a daemon's status and explanations.
func New(r Reporter, explanations *explanationkeeper.Keeper[*httphandler.Explanation]) *Server {
	s := &Server{
		mux:          http.NewServeMux(),
		reporter:     r,
		explanations: explanations,
	}
	s.mux.HandleFunc("GET /livez", s.live)
	s.mux.HandleFunc("GET /readyz", s.ready)
	s.mux.HandleFunc("GET /status", s.status)
	s.mux.HandleFunc("GET /explain/{trace}", s.explain)
	s.mux.Handle("GET /debug/vars", expvar.Handler())
	return s
}

// Handle adds a route with a pattern of http.ServeMux.
func (s *Server) Handle(pattern string, f http.HandlerFunc) { s.mux.HandleFunc(pattern, f) }

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// Stop makes the readiness check fail, so that load balancers send no more callers.
func (s *Server) Stop() { s.stopping.Store(true) }

// Stopping reports whether Stop was called.
func (s *Server) Stopping() bool { return s.stopping.Load() }

func (s *Server) live(w http.ResponseWriter, _ *http.Request) {
	_, _ = w.Write([]byte("ok\n"))
}

func (s *Server) ready(w http.ResponseWriter, _ *http.Request) {
	switch {
	case s.stopping.Load():
		http.Error(w, "stopping", http.StatusServiceUnavailable)
	case !s.reporter.Status().Ready:
		http.Error(w, "no configuration, view of the fleet or placement yet", http.StatusServiceUnavailable)
	default:
		_, _ = w.Write([]byte("ok\n"))
	}
}

func (s *Server) status(w http.ResponseWriter, _ *http.Request) {
	WriteJSON(w, http.StatusOK, s.reporter.Status())
}

func (s *Server) explain(w http.ResponseWriter, r *http.Request) {
	e, ok := s.explanations.Find(r.PathValue("trace"))
	if !ok {
		WriteJSON(w, http.StatusNotFound, map[string]string{"error": "no such trace on this daemon"})
		return
	}
	WriteJSON(w, http.StatusOK, e)
}

// WriteJSON writes an answer with a status code and a value as indented JSON.
func WriteJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	_ = enc.Encode(body)
}
