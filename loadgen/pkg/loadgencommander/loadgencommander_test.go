package loadgencommander

import (
	"bytes"
	"encoding/json"
	"errors"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"plantaincleat/loadgen/pkg/caller"
	"plantaincleat/loadgen/pkg/deploymentplanner"
	"plantaincleat/tier/gen/config"
	"plantaincleat/tier/gen/target"
	"plantaincleat/tier/pkg/loader"
	"plantaincleat/tier/pkg/synthesizer"
)

// tierServer answers searches with the reference result over all shards of a
// collection, and refuses mutations.
type tierServer struct {
	cfg *config.Config
	// corrupt modifies each answer. It may be nil.
	corrupt  func(*caller.Answer)
	requests atomic.Int64
}

// searchBody is the body of a search request.
type searchBody struct {
	Collection string   `json:"collection"`
	Class      string   `json:"class"`
	Prefix     string   `json:"prefix"`
	Terms      []string `json:"terms"`
	Limit      uint32   `json:"limit"`
	Cursor     string   `json:"cursor"`
}

func (s *tierServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.requests.Add(1)
	var body searchBody
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil || r.Header.Get("Institution") == "" || r.Header.Get("Deadline") == "" {
		http.Error(w, "bad request", http.StatusBadRequest)
		return
	}
	if r.URL.Path == "/v1/mutate" {
		w.Header().Set("Retry-After", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		w.Write([]byte(`{"error":{"kind":"unavailable","message":"claim: store is down","run":"no"}}`))
		return
	}
	a := s.answer(r.Header.Get("Request-Id"), &body)
	if s.corrupt != nil {
		s.corrupt(a)
	}
	json.NewEncoder(w).Encode(a)
}

func (s *tierServer) answer(id string, body *searchBody) *caller.Answer {
	q := &target.Query{
		Prefix: body.Prefix,
		Terms:  body.Terms,
		Limit:  body.Limit,
	}
	if body.Cursor != "" {
		q.After = &target.Place{}
		json.Unmarshal([]byte(body.Cursor), q.After)
	}
	a := &caller.Answer{
		Request:  id,
		Snapshot: "s1",
	}
	a.Coverage.Fraction = 1
	var shards []synthesizer.Shard
	for _, c := range s.cfg.GetCollections() {
		if c.GetName() != body.Collection {
			continue
		}
		for _, sh := range c.GetVersions()[0].GetSnapshots()[0].GetShards() {
			a.Coverage.Covered = append(a.Coverage.Covered, sh.GetId())
			shards = append(shards, synthesizer.Shard{
				Collection: c.GetName(),
				Version:    deploymentplanner.SchemaVersion,
				Snapshot:   "s1",
				ID:         sh.GetId(),
				From:       sh.GetFrom(),
				To:         sh.GetTo(),
			})
		}
	}
	for _, r := range synthesizer.Merge(shards, q) {
		a.Records = append(a.Records, caller.Record{
			Key:   r.GetKey(),
			Score: r.GetScore(),
			Text:  r.GetText(),
		})
	}
	if n := len(a.Records); n > 0 {
		last := a.Records[n-1]
		cursor, _ := json.Marshal(struct {
			Score float64 `json:"score"`
			Key   string  `json:"key"`
		}{
			Score: last.Score,
			Key:   last.Key,
		})
		a.Cursor = string(cursor)
	}
	return a
}

func execute(args ...string) (string, error) {
	var out bytes.Buffer
	cmd := New()
	cmd.SetOut(&out)
	cmd.SetErr(&out)
	cmd.SetArgs(args)
	err := cmd.Execute()
	return out.String(), err
}

// TestProfileRunCompare checks that each command accepts the files that the previous
// one writes: a profile, a run against a tier, a comparison and an audit.
func TestProfileRunCompare(t *testing.T) {
	dir := t.TempDir()
	if out, err := execute("profile", "kahikatea", "--output-dir", dir, "--scale", "0.1"); err != nil || !strings.Contains(out, "standin target --admin") {
		t.Fatalf("profile: %v\n%s", err, out)
	}
	file := filepath.Join(dir, deploymentplanner.ConfigFile)
	cfg, err := loader.LoadConfig(file)
	if err != nil {
		t.Fatal(err)
	}
	tests := []struct {
		name    string
		corrupt func(*caller.Answer)
		want    error
	}{
		{name: "correct"},
		{name: "duplicates", want: errViolations, corrupt: func(a *caller.Answer) { a.Records = append(a.Records, a.Records...) }},
	}
	for _, tt := range tests {
		h := &tierServer{
			cfg:     cfg,
			corrupt: tt.corrupt,
		}
		s := httptest.NewServer(h)
		report := filepath.Join(dir, tt.name+".json")
		out, err := execute("run", "--entry", s.URL, "--config", file, "--verify", "--rate", "200", "--duration", "250ms",
			"--steps", "1,2", "--report", report, "--plot", filepath.Join(dir, tt.name+".svg"), "--mutations", filepath.Join(dir, "outcomes.jsonl"))
		s.Close()
		if !errors.Is(err, tt.want) {
			t.Errorf("%s: run: %v\n%s", tt.name, err, out)
		}
		r, err := readReport(report)
		if err != nil {
			t.Fatal(err)
		}
		if n := r.Steps[0].Total.Sent + r.Steps[1].Total.Sent; n != h.requests.Load() || n == 0 {
			t.Errorf("%s: report of %d requests, want %d", tt.name, n, h.requests.Load())
		}
	}
	out, err := execute("compare", filepath.Join(dir, "correct.json"), filepath.Join(dir, "duplicates.json"), "--plot", filepath.Join(dir, "both.png"))
	if err != nil || !strings.Contains(out, "correct") {
		t.Errorf("compare: %v\n%s", err, out)
	}
	if out, err := execute("audit", "--mutations", filepath.Join(dir, "outcomes.jsonl")); err != nil {
		t.Errorf("audit: %v\n%s", err, out)
	}
}

func TestErrorsNameFlag(t *testing.T) {
	tests := []struct {
		args []string
		want string
	}{
		{args: []string{"profile"}, want: "corrib, kahikatea"},
		{args: []string{"profile", "other", "--output-dir", "x"}, want: `profile "other"`},
		{args: []string{"profile", "corrib"}, want: "--output-dir"},
		{args: []string{"profile", "corrib", "--output-dir", "x", "--scale", "-1"}, want: "--scale"},
		{args: []string{"profile", "corrib", "--output-dir", "x", "--snapshots", "s1"}, want: "--snapshots"},
		{args: []string{"run"}, want: "--entry"},
		{args: []string{"run", "--profile", "x"}, want: "--profile"},
		{args: []string{"run", "--classes", "x"}, want: "--classes"},
		{args: []string{"run", "--steps", "x"}, want: "--steps"},
		{args: []string{"run", "--steps", "0"}, want: "field steps[0]"},
		{args: []string{"run", "--verify"}, want: "--config"},
		{args: []string{"run", "--entry", "http://127.0.0.1:1", "--plot", "x.pdf"}, want: "--plot"},
		{args: []string{"compare", "no.json", "no.json"}, want: "no.json"},
		{args: []string{"audit", "--mutations", "no"}, want: "--mutations"},
	}
	for _, tt := range tests {
		if out, err := execute(tt.args...); err == nil || !strings.Contains(err.Error(), tt.want) {
			t.Errorf("%v: %v, want an error with %q\n%s", tt.args, err, tt.want, out)
		}
	}
}

func TestAuditExecutions(t *testing.T) {
	outcomes := []mutationLine{
		{RequestKey: "once", Executed: "yes"},
		{RequestKey: "twice", Executed: "yes"},
		{RequestKey: "refused", Executed: "no"},
		{RequestKey: "refused-run", Executed: "no"},
		{RequestKey: "absent", Executed: "yes"},
		{RequestKey: "unknown", Executed: "unknown"},
	}
	executions := []executionLine{{RequestKey: "once"}, {RequestKey: "twice"}, {RequestKey: "twice"}, {RequestKey: "refused-run"}, {RequestKey: "foreign"}}
	a := auditExecutions(outcomes, executions)
	tests := []struct {
		name string
		got  []string
		want string
	}{
		{name: "executed twice", got: a.executedTwice, want: "twice"},
		{name: "executed though refused", got: a.executedThoughRefused, want: "refused-run"},
		{name: "not executed though answered", got: a.notExecutedThoughAnswered, want: "absent"},
		{name: "without caller", got: a.withoutCaller, want: "foreign"},
	}
	for _, tt := range tests {
		if len(tt.got) != 1 || tt.got[0] != tt.want {
			t.Errorf("%s: %v, want %s", tt.name, tt.got, tt.want)
		}
	}
}

// TestMutateRefused checks that a refusal contains its kind, whether the request was
// executed, and Retry-After.
func TestMutateRefused(t *testing.T) {
	s := httptest.NewServer(&tierServer{})
	defer s.Close()
	c := caller.New(singleDaemon(s.URL))
	defer c.Close()
	_, err := c.Mutate(t.Context(), caller.Mutation{Institution: "kahikatea"})
	var r *caller.Refusal
	if !errors.As(err, &r) || r.Code != 503 || r.Kind != "unavailable" || r.Executed != "no" || r.RetryAfter != time.Second {
		t.Errorf("Mutate() = %v, %+v", err, r)
	}
}

// singleDaemon is a DaemonSelector that always selects the daemon at this URL.
type singleDaemon string

func (e singleDaemon) Next() string                { return string(e) }
func (e singleDaemon) MarkUnreachable(string) bool { return false }

func TestReadReportMalformed(t *testing.T) {
	file := filepath.Join(t.TempDir(), "r.json")
	if err := os.WriteFile(file, []byte("{"), fileMode); err != nil {
		t.Fatal(err)
	}
	if _, err := readReport(file); err == nil || !strings.Contains(err.Error(), file) {
		t.Errorf("readReport() = %v, want an error that names the file", err)
	}
}
