package relayer

import (
	"encoding/json"
	"net/http"

	"github.com/rotisserie/eris"
)

// maxBodyBytes is the size in bytes of the largest request to the admin handler.
const maxBodyBytes = 1 << 20

// ruleList is the body of requests and answers that carry rules.
type ruleList struct {
	Rules []Rule `json:"rules"`
}

// errorResponse is the body of an answer to a refused request.
type errorResponse struct {
	Error string `json:"error"`
}

// Handler returns the handler of the admin listener:
//
//	GET  /rules   returns the rules in force
//	POST /rules   replaces the base rules
//	POST /faults  replaces the fault rules, which take precedence over the base rules
//	GET  /links   returns the links with their counts
func (r *Relayer) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /rules", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, ruleList{Rules: r.Rules()})
	})
	mux.HandleFunc("POST /rules", serveRules(r.SetRules))
	mux.HandleFunc("POST /faults", serveRules(r.SetFaults))
	mux.HandleFunc("GET /links", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, r.Counts())
	})
	return mux
}

// serveRules returns a handler that decodes a list of rules and calls set with it.
func serveRules(set func([]Rule) error) http.HandlerFunc {
	return func(w http.ResponseWriter, req *http.Request) {
		var list ruleList
		d := json.NewDecoder(http.MaxBytesReader(w, req.Body, maxBodyBytes))
		d.DisallowUnknownFields()
		if err := d.Decode(&list); err != nil {
			writeJSON(w, http.StatusBadRequest, errorResponse{Error: eris.Wrap(err, "decode rules").Error()})
			return
		}
		if err := set(list.Rules); err != nil {
			writeJSON(w, http.StatusBadRequest, errorResponse{Error: err.Error()})
			return
		}
		writeJSON(w, http.StatusOK, list)
	}
}

func writeJSON(w http.ResponseWriter, code int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(code)
	// The write fails if the caller has disconnected, which needs no handling.
	_ = json.NewEncoder(w).Encode(body)
}
