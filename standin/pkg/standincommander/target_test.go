package standincommander

import (
	"bytes"
	"context"
	"encoding/json"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// writeTempFile writes a file to a temporary directory and returns its name.
func writeTempFile(t *testing.T, content string) string {
	t.Helper()
	name := filepath.Join(t.TempDir(), "file.json")
	if err := os.WriteFile(name, []byte(content), 0o600); err != nil {
		t.Fatal(err)
	}
	return name
}

// freeAddress returns a loopback address whose port was free when checked. No
// other package uses this IP address.
func freeAddress(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.88.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

func configFile(t *testing.T) string {
	t.Helper()
	return writeTempFile(t, `{
		"targets": [{"id": "t1", "address": "`+freeAddress(t)+`", "datacentre": "dc1", "slots": 1, "connections": 4}],
		"collections": [{"name": "c", "versions": [{"name": "v", "snapshots": [
			{"id": "s1", "shards": [{"id": "a", "replicas": ["t1"]}]},
		]}]}],
	}`)
}

func TestFlagErrorNamesFlag(t *testing.T) {
	cfg := configFile(t)
	tests := []struct {
		name string
		args []string
		want string
	}{
		{name: "no configuration", args: []string{"target", "--config", "absent.json"}, want: "--config"},
		{name: "unknown target", args: []string{"target", "--config", cfg, "--ids", "t9"}, want: `"t9"`},
		{name: "no group", args: []string{"target", "--config", cfg, "--group", "absent.json"}, want: "--group"},
		{name: "bad group", args: []string{"target", "--config", cfg, "--group", writeTempFile(t, `{"setup": "x"}`)}, want: "field setup"},
		{name: "host name", args: []string{"target", "--config", cfg, "--admin", "localhost:0"}, want: "--admin"},
		{name: "no plan", args: []string{"relay", "--plan", "absent.json"}, want: "--plan"},
		{name: "bad rule", args: []string{"relay", "--plan", writeTempFile(t, `{"rules": [{"action": "drop"}]}`)}, want: "field rules[0]: field action"},
	}
	for _, tt := range tests {
		cmd := New()
		cmd.SetOut(&bytes.Buffer{})
		cmd.SetErr(&bytes.Buffer{})
		cmd.SetArgs(tt.args)
		if err := cmd.ExecuteContext(t.Context()); err == nil || !strings.Contains(err.Error(), tt.want) {
			t.Errorf("%s: error %v, want one that contains %q", tt.name, err, tt.want)
		}
	}
}

// outputLines sends each write of a command to a channel.
type outputLines chan []byte

func (a outputLines) Write(b []byte) (int, error) {
	a <- bytes.Clone(b)
	return len(b), nil
}

// A command prints its admin address once it serves, and returns when its context
// ends.
func TestCommandsServeUntilStopped(t *testing.T) {
	tests := []struct {
		name string
		args []string
		path string
	}{
		{name: "target", args: []string{"target", "--config", configFile(t)}, path: "/targets"},
		{name: "relay", args: []string{"relay", "--plan", writeTempFile(t, `{"links": []}`)}, path: "/links"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			out := make(outputLines, 1)
			ended := make(chan error, 1)
			cmd := New()
			cmd.SetOut(out)
			cmd.SetArgs(tt.args)
			go func() { ended <- cmd.ExecuteContext(ctx) }()
			var r readyMessage
			if err := json.Unmarshal(<-out, &r); err != nil {
				t.Fatal(err)
			}
			resp, err := http.Get("http://" + r.Admin + tt.path)
			if err != nil {
				t.Fatal(err)
			}
			resp.Body.Close()
			if resp.StatusCode != http.StatusOK {
				t.Errorf("GET %s: status %s, want 200", tt.path, resp.Status)
			}
			cancel()
			if err := <-ended; err != nil {
				t.Errorf("command returned %v, want no error", err)
			}
		})
	}
}
