package launcher

import (
	"encoding/json"
	"io"
	"net/http"

	"github.com/rotisserie/eris"

	"plantaincleat/standin/pkg/searcher"
	"plantaincleat/tier/gen/config"
	"plantaincleat/tier/pkg/loader"
)

// maxBodyBytes is the size in bytes of the largest request to the admin handler.
const maxBodyBytes = 16 << 20

// status is the state of one target in the answer to GET /targets.
type status struct {
	ID          string          `json:"id"`
	Address     string          `json:"address"`
	Incarnation uint64          `json:"incarnation"`
	Connections int64           `json:"connections"`
	Peak        int64           `json:"peak"`
	Refused     int64           `json:"refused"`
	Crashes     int64           `json:"crashes"`
	Counts      searcher.Counts `json:"counts"`
	Faults      searcher.Faults `json:"faults"`
}

// errorResponse is the body of an answer to a refused request.
type errorResponse struct {
	Error string `json:"error"`
}

// Handler returns the handler of the admin listener:
//
//	GET  /targets?target=ID     returns state and counts of targets
//	GET  /executions            returns the executions of mutations
//	POST /faults?target=ID      replaces the faults of targets
//	POST /config                replaces the snapshots and shards of all targets
//	POST /crash?target=ID       crashes targets
//
// The parameter target may be repeated. Without it, a request applies to all
// targets.
func (l *Launcher) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /targets", l.serveTargets)
	mux.HandleFunc("GET /executions", l.serveExecutions)
	mux.HandleFunc("POST /faults", l.serveFaults)
	mux.HandleFunc("POST /config", l.serveConfig)
	mux.HandleFunc("POST /crash", l.serveCrash)
	return mux
}

func (l *Launcher) serveTargets(w http.ResponseWriter, r *http.Request) {
	servers, err := l.findServers(r.URL.Query()["target"])
	if err != nil {
		writeError(w, http.StatusNotFound, err)
		return
	}
	statuses := make([]status, 0, len(servers))
	for _, s := range servers {
		statuses = append(statuses, s.status())
	}
	writeJSON(w, http.StatusOK, statuses)
}

func (s *server) status() status {
	s.mu.Lock()
	defer s.mu.Unlock()
	return status{
		ID:          s.target.GetId(),
		Address:     s.target.GetAddress(),
		Incarnation: s.searcher.Incarnation(),
		Connections: s.listener.OpenConns(),
		Peak:        s.listener.PeakConns(),
		Refused:     s.listener.RefusedConns(),
		Crashes:     s.crashes,
		Counts:      s.searcher.Counts(),
		Faults:      s.searcher.Faults(),
	}
}

func (l *Launcher) serveExecutions(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, l.Executions())
}

func (l *Launcher) serveFaults(w http.ResponseWriter, r *http.Request) {
	servers, err := l.findServers(r.URL.Query()["target"])
	if err != nil {
		writeError(w, http.StatusNotFound, err)
		return
	}
	var f searcher.Faults
	d := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	d.DisallowUnknownFields()
	if err := d.Decode(&f); err != nil {
		writeError(w, http.StatusBadRequest, eris.Wrap(err, "decode faults"))
		return
	}
	for _, s := range servers {
		current, _ := s.current()
		if err := current.SetFaults(f); err != nil {
			writeError(w, http.StatusBadRequest, err)
			return
		}
	}
	writeJSON(w, http.StatusOK, f)
}

func (l *Launcher) serveConfig(w http.ResponseWriter, r *http.Request) {
	cfg, err := readConfig(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		writeError(w, http.StatusBadRequest, err)
		return
	}
	l.SetHoldings(cfg)
	writeJSON(w, http.StatusOK, struct{}{})
}

func (l *Launcher) serveCrash(w http.ResponseWriter, r *http.Request) {
	servers, err := l.findServers(r.URL.Query()["target"])
	if err != nil {
		writeError(w, http.StatusNotFound, err)
		return
	}
	for _, s := range servers {
		s.crash()
	}
	writeJSON(w, http.StatusOK, struct{}{})
}

func writeJSON(w http.ResponseWriter, code int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(code)
	// The write fails if the caller has disconnected, which needs no handling.
	_ = json.NewEncoder(w).Encode(body)
}

func writeError(w http.ResponseWriter, code int, err error) {
	writeJSON(w, code, errorResponse{Error: err.Error()})
}

func readConfig(r io.Reader) (*config.Config, error) {
	b, err := io.ReadAll(r)
	if err != nil {
		return nil, eris.Wrap(err, "read configuration")
	}
	return loader.ParseConfig("body", b)
}
