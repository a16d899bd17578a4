package kvserver

import (
	"encoding/json"
	"net/http"
	"strconv"
)

// maxBodyBytes is the size in bytes of the largest request to the admin handler.
const maxBodyBytes = 1 << 16

// dumpItem is an item in the answer to GET /dump.
type dumpItem struct {
	Key      string `json:"key"`
	Value    []byte `json:"value"`
	Created  int64  `json:"created"`
	Modified int64  `json:"modified"`
	Version  int64  `json:"version"`
	Lease    int64  `json:"lease,omitempty"`
}

// Admin returns the handler of the admin listener:
//
//	GET  /faults             returns the faults in force
//	POST /faults             replaces all faults; unknown fields are refused
//	GET  /counts             returns the number of calls by kind
//	GET  /dump?prefix=       returns items, with their values in base64
//	POST /compact?revision=  drops the history up to and including a revision
func (s *Server) Admin() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /faults", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, s.Faults())
	})
	mux.HandleFunc("POST /faults", s.postFaults)
	mux.HandleFunc("GET /counts", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, s.Counts())
	})
	mux.HandleFunc("GET /dump", s.getDump)
	mux.HandleFunc("POST /compact", s.postCompact)
	return mux
}

func (s *Server) postFaults(w http.ResponseWriter, r *http.Request) {
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	decoder.DisallowUnknownFields()
	var f Faults
	if err := decoder.Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetFaults(f)
	writeJSON(w, s.Faults())
}

func (s *Server) getDump(w http.ResponseWriter, r *http.Request) {
	items := []dumpItem{}
	for _, kv := range s.Dump(r.URL.Query().Get("prefix")) {
		items = append(items, dumpItem{
			Key:      string(kv.Key),
			Value:    kv.Value,
			Created:  kv.CreateRevision,
			Modified: kv.ModRevision,
			Version:  kv.Version,
			Lease:    kv.Lease,
		})
	}
	writeJSON(w, items)
}

func (s *Server) postCompact(w http.ResponseWriter, r *http.Request) {
	revision, err := strconv.ParseInt(r.URL.Query().Get("revision"), 10, 64)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.Compact(revision)
	w.WriteHeader(http.StatusNoContent)
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	// The write fails if the caller has disconnected, which needs no handling.
	_ = json.NewEncoder(w).Encode(v)
}
