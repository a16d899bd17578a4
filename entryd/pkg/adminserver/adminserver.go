// Package adminserver serves operators and the balancer over HTTP:
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

// Status is what GET /status returns.
type Status struct {
	ID         string `json:"id"`
	DataCentre string `json:"datacentre"`
	// Revision of the configuration in force, 0 for none.
	Revision uint64 `json:"revision"`
	Ready    bool   `json:"ready"`
	// StaleSeconds is the number of seconds since the revision was last confirmed to
	// be the newest, -1 if it never was.
	StaleSeconds float64  `json:"stale"`
	Members      []Member `json:"members"`
	// Draining are the targets that get no new work.
	Draining []string `json:"leaving"`
}

// Member is a daemon as the answering one sees it.
type Member struct {
	ID         string `json:"id"`
	DataCentre string `json:"datacentre"`
	State      string `json:"state"`
	Revision   uint64 `json:"revision"`
	Admin      string `json:"admin"`
}

// Reporter tells the daemon's state.
type Reporter interface {
	Status() Status
}

// Server serves the operators' listener. The zero value is not ready.
type Server struct {
	mux      *http.ServeMux
	reporter Reporter
	recorder *explanationkeeper.Keeper[*httphandler.Explanation]
	stopping atomic.Bool
}

// New returns an administrator.
func New(r Reporter, rec *explanationkeeper.Keeper[*httphandler.Explanation]) *Server {
	a := &Server{
		mux:      http.NewServeMux(),
		reporter: r,
		recorder: rec,
	}
	a.mux.HandleFunc("GET /livez", a.live)
	a.mux.HandleFunc("GET /readyz", a.ready)
	a.mux.HandleFunc("GET /status", a.status)
	a.mux.HandleFunc("GET /explain/{trace}", a.explain)
	a.mux.Handle("GET /debug/vars", expvar.Handler())
	return a
}

// Handle adds a route.
func (a *Server) Handle(pattern string, f http.HandlerFunc) { a.mux.HandleFunc(pattern, f) }

// ServeHTTP implements http.Handler.
func (a *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { a.mux.ServeHTTP(w, r) }

// Stop makes readiness fail, so that the balancer sends no more callers.
func (a *Server) Stop() { a.stopping.Store(true) }

// Stopping reports whether Stop was called.
func (a *Server) Stopping() bool { return a.stopping.Load() }

func (a *Server) live(w http.ResponseWriter, _ *http.Request) {
	_, _ = w.Write([]byte("ok\n"))
}

func (a *Server) ready(w http.ResponseWriter, _ *http.Request) {
	switch {
	case a.stopping.Load():
		http.Error(w, "stopping", http.StatusServiceUnavailable)
	case !a.reporter.Status().Ready:
		http.Error(w, "no configuration", http.StatusServiceUnavailable)
	default:
		_, _ = w.Write([]byte("ok\n"))
	}
}

func (a *Server) status(w http.ResponseWriter, _ *http.Request) {
	WriteJSON(w, http.StatusOK, a.reporter.Status())
}

func (a *Server) explain(w http.ResponseWriter, r *http.Request) {
	e, ok := a.recorder.Find(r.PathValue("trace"))
	if !ok {
		WriteJSON(w, http.StatusNotFound, map[string]string{"error": "no such trace on this daemon"})
		return
	}
	WriteJSON(w, http.StatusOK, e)
}

// WriteJSON writes a value as JSON.
func WriteJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	_ = enc.Encode(body)
}
