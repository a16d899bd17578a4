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

// maxBody bounds the size of an operator's request in bytes.
const maxBody = 16 << 20

// status is one target in the answer to GET /targets.
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

// failure is the answer to a request that was refused.
type failure struct {
	Error string `json:"error"`
}

// Handler serves the faults and the records of the process:
//
//	GET  /targets?target=ID     state and counts of targets
//	GET  /executions            runs of mutations
//	POST /faults?target=ID      replaces the faults of targets
//	POST /config                replaces what the targets hold
//	POST /crash?target=ID       crashes targets
//
// The parameter target may be repeated; without it all targets are meant.
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
	servers, err := l.find(r.URL.Query()["target"])
	if err != nil {
		refuse(w, http.StatusNotFound, err)
		return
	}
	statuses := make([]status, 0, len(servers))
	for _, s := range servers {
		statuses = append(statuses, s.status())
	}
	reply(w, http.StatusOK, statuses)
}

func (s *server) status() status {
	s.mu.Lock()
	defer s.mu.Unlock()
	return status{
		ID:          s.target.GetId(),
		Address:     s.target.GetAddress(),
		Incarnation: s.searcher.Incarnation(),
		Connections: s.listener.Open(),
		Peak:        s.listener.Peak(),
		Refused:     s.listener.Refused(),
		Crashes:     s.crashes,
		Counts:      s.searcher.Counts(),
		Faults:      s.searcher.Faults(),
	}
}

func (l *Launcher) serveExecutions(w http.ResponseWriter, _ *http.Request) {
	reply(w, http.StatusOK, l.Executions())
}

func (l *Launcher) serveFaults(w http.ResponseWriter, r *http.Request) {
	servers, err := l.find(r.URL.Query()["target"])
	if err != nil {
		refuse(w, http.StatusNotFound, err)
		return
	}
	var f searcher.Faults
	d := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBody))
	d.DisallowUnknownFields()
	if err := d.Decode(&f); err != nil {
		refuse(w, http.StatusBadRequest, eris.Wrap(err, "decode faults"))
		return
	}
	for _, s := range servers {
		current, _ := s.current()
		if err := current.SetFaults(f); err != nil {
			refuse(w, http.StatusBadRequest, err)
			return
		}
	}
	reply(w, http.StatusOK, f)
}

func (l *Launcher) serveConfig(w http.ResponseWriter, r *http.Request) {
	cfg, err := readConfig(http.MaxBytesReader(w, r.Body, maxBody))
	if err != nil {
		refuse(w, http.StatusBadRequest, err)
		return
	}
	l.SetHoldings(cfg)
	reply(w, http.StatusOK, struct{}{})
}

func (l *Launcher) serveCrash(w http.ResponseWriter, r *http.Request) {
	servers, err := l.find(r.URL.Query()["target"])
	if err != nil {
		refuse(w, http.StatusNotFound, err)
		return
	}
	for _, s := range servers {
		s.crash()
	}
	reply(w, http.StatusOK, struct{}{})
}

func reply(w http.ResponseWriter, code int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(code)
	// The caller is gone if this fails.
	_ = json.NewEncoder(w).Encode(body)
}

func refuse(w http.ResponseWriter, code int, err error) {
	reply(w, code, failure{Error: err.Error()})
}

func readConfig(r io.Reader) (*config.Config, error) {
	b, err := io.ReadAll(r)
	if err != nil {
		return nil, eris.Wrap(err, "read configuration")
	}
	return loader.ParseConfig("body", b)
}
