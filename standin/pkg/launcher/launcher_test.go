package launcher

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	"plantaincleat/standin/pkg/searcher"
	"plantaincleat/tier/gen/config"
	"plantaincleat/tier/gen/target"
	"plantaincleat/tier/pkg/loader"
)

// freeAddress returns a loopback address whose port was free when checked. No
// other package uses this IP address.
func freeAddress(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.88.0.2:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

func launch(t *testing.T, g Group, o Options) (*Launcher, *config.Config) {
	t.Helper()
	cfg, err := loader.ParseConfig("test", []byte(`{
		// Two targets, one shard each.
		"targets": [
			{"id": "t1", "address": "`+freeAddress(t)+`", "datacentre": "dc1", "slots": 1, "connections": 4},
			{"id": "t2", "address": "`+freeAddress(t)+`", "datacentre": "dc1", "slots": 1, "connections": 4},
		],
		"collections": [{"name": "c", "versions": [{"name": "v", "snapshots": [
			{"id": "s1", "shards": [{"id": "a", "to": "m", "replicas": ["t1"]}, {"id": "b", "from": "m", "replicas": ["t2"]}]},
		]}]}],
	}`))
	if err != nil {
		t.Fatal(err)
	}
	o.Logger = slog.New(slog.NewTextHandler(io.Discard, nil))
	l, err := New(cfg, []Group{g}, o)
	if err != nil {
		t.Fatal(err)
	}
	if err := l.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(l.Stop)
	return l, cfg
}

func client(t *testing.T, address string) target.TargetClient {
	t.Helper()
	cc, err := grpc.NewClient(address, grpc.WithTransportCredentials(insecure.NewCredentials()))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { cc.Close() })
	return target.NewTargetClient(cc)
}

func mutation(key, text string) *target.Mutation {
	return &target.Mutation{
		Key:        key,
		Collection: "c",
		Version:    "v",
		Shard:      "a",
		Record: &target.Record{
			Key:  "a.1",
			Text: text,
		},
		Remaining: int64(time.Hour / time.Microsecond),
	}
}

func do(t *testing.T, h http.Handler, method, path, body string) *httptest.ResponseRecorder {
	t.Helper()
	w := httptest.NewRecorder()
	h.ServeHTTP(w, httptest.NewRequestWithContext(t.Context(), method, path, strings.NewReader(body)))
	return w
}

// A crashed target restarts with a higher incarnation. Its executions before the
// crash stay in the list of executions and in the journal.
func TestCrashRestartsOneTarget(t *testing.T) {
	var journal bytes.Buffer
	l, cfg := launch(t, Group{}, Options{
		RestartDelay: time.Nanosecond,
		Journal:      &journal,
	})
	c := client(t, cfg.GetTargets()[0].GetAddress())
	first, err := c.Mutate(t.Context(), mutation("k1", ""))
	if err != nil {
		t.Fatal(err)
	}
	if _, err := c.Mutate(t.Context(), mutation("k2", "!crash")); err == nil {
		t.Log("the outcome was sent before the crash closed the connection")
	}
	again, err := c.Mutate(t.Context(), mutation("k3", ""), grpc.WaitForReady(true))
	for err != nil || again.GetIncarnation() == first.GetIncarnation() {
		again, err = c.Mutate(t.Context(), mutation("k3", ""), grpc.WaitForReady(true))
	}
	if again.GetIncarnation() <= first.GetIncarnation() {
		t.Errorf("incarnation %d after the restart, want more than %d", again.GetIncarnation(), first.GetIncarnation())
	}
	if got := l.Executions(); got[0].Key != "k1" || got[1].Key != "k2" {
		t.Errorf("executions %v, want k1 and k2 first", got)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if n := bytes.Count(journal.Bytes(), []byte("\n")); n != len(l.executions) {
		t.Errorf("journal has %d lines, want %d", n, len(l.executions))
	}
}

func TestCrashEndsProcess(t *testing.T) {
	exited := make(chan int, 1)
	l, cfg := launch(t, Group{}, Options{
		Exit: func(status int) { exited <- status },
	})
	go client(t, cfg.GetTargets()[0].GetAddress()).Mutate(t.Context(), mutation("k1", "!crash"))
	if got := <-exited; got != CrashExitStatus {
		t.Errorf("exit status %d, want %d", got, CrashExitStatus)
	}
	l.Drain(t.Context())
}

func TestAdmin(t *testing.T) {
	l, _ := launch(t, Group{}, Options{})
	h := l.Handler()
	tests := []struct {
		name   string
		method string
		path   string
		body   string
		code   int
		want   string
	}{
		{name: "fault on one", method: "POST", path: "/faults?target=t1", body: `{"delay":10}`, code: 200, want: `"delay":10`},
		{name: "unknown target", method: "POST", path: "/faults?target=t9", body: `{}`, code: 404, want: `no target \"t9\"`},
		{name: "unknown field", method: "POST", path: "/faults", body: `{"dely":1}`, code: 400, want: `unknown field \"dely\"`},
		{name: "out of range", method: "POST", path: "/faults", body: `{"slow":2}`, code: 400, want: "field slow"},
		{name: "executions", method: "GET", path: "/executions", code: 200, want: "[]"},
		{name: "bad configuration", method: "POST", path: "/config", body: `{"targts":[]}`, code: 400, want: "targts"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			w := do(t, h, tt.method, tt.path, tt.body)
			if w.Code != tt.code || !strings.Contains(w.Body.String(), tt.want) {
				t.Errorf("status %d and body %s, want status %d and a body with %s", w.Code, w.Body, tt.code, tt.want)
			}
		})
	}
	var statuses []status
	if err := json.Unmarshal(do(t, h, "GET", "/targets", "").Body.Bytes(), &statuses); err != nil {
		t.Fatal(err)
	}
	if statuses[0].Faults.DelayFactor != 10 || statuses[1].Faults.DelayFactor != 0 {
		t.Errorf("delays %v and %v, want 10 and 0", statuses[0].Faults.DelayFactor, statuses[1].Faults.DelayFactor)
	}
}

// SetHoldings makes targets serve the snapshots of the new configuration and drop
// the others.
func TestSetHoldingsReplacesSnapshot(t *testing.T) {
	l, cfg := launch(t, Group{}, Options{})
	v := cfg.GetCollections()[0].GetVersions()[0]
	v.Snapshots[0].Id = "s2"
	l.SetHoldings(cfg)
	stream, err := client(t, cfg.GetTargets()[0].GetAddress()).Exchange(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	for nonce, snapshot := range []string{"s1", "s2"} {
		call := &target.Call{
			Nonce: uint64(nonce),
			Body: &target.Call_Search{Search: &target.Search{
				Collection: "c",
				Version:    "v",
				Snapshot:   snapshot,
				Shard:      "a",
				Remaining:  int64(time.Hour / time.Microsecond),
			}},
		}
		if err := stream.Send(&target.Calls{Calls: []*target.Call{call}}); err != nil {
			t.Fatal(err)
		}
		answers, err := stream.Recv()
		if err != nil {
			t.Fatal(err)
		}
		want := []target.Status{target.Status_STATUS_DROPPED, target.Status_STATUS_DONE}[nonce]
		if got := answers.GetAnswers()[0].GetStatus(); got != want {
			t.Errorf("snapshot %s: status %v, want %v", snapshot, got, want)
		}
	}
}

func TestDrainEndsWithContext(t *testing.T) {
	l, cfg := launch(t, Group{
		LatencyModel: searcher.LatencyModel{Median: time.Hour},
	}, Options{})
	go client(t, cfg.GetTargets()[0].GetAddress()).Mutate(t.Context(), mutation("k1", ""))
	s, _ := l.servers[0].current()
	for s.Idle() {
		time.Sleep(time.Millisecond)
	}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	l.Drain(ctx)
	if !s.Faults().Drain {
		t.Error("the target does not refuse new work after Drain")
	}
}

func TestUnknownTarget(t *testing.T) {
	g := Group{
		IDs: []string{"t9"},
	}
	if _, err := New(&config.Config{}, []Group{g}, Options{}); err == nil || !strings.Contains(err.Error(), `"t9"`) {
		t.Errorf("New() = %v, want an error that names t9", err)
	}
}

func TestParseGroup(t *testing.T) {
	g, err := ParseGroup([]byte(`{"ids": ["t1"], "queue": 4, "setup": "6ms", "median": "2ms", /* slow calls */ "slow": 0.02}`))
	if err != nil || g.SetupTime != 6*time.Millisecond || g.LatencyModel.Median != 2*time.Millisecond || g.LatencyModel.SlowFraction != 0.02 || g.QueueLimit != 4 {
		t.Errorf("ParseGroup() = %+v, %v", g, err)
	}
	if _, err := ParseGroup([]byte(`{"cold": "long"}`)); err == nil || !strings.Contains(err.Error(), "field cold") {
		t.Errorf("ParseGroup() = %v, want an error that names cold", err)
	}
}
