package ctlcommander

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/jonboulle/clockwork"

	"plantaincleat/plantainctl/pkg/adminclient"
	"plantaincleat/plantainctl/pkg/revisionwaiter"
	"plantaincleat/tier/pkg/storer"
)

// harness runs command lines against an in-memory store and one simulated daemon.
type harness struct {
	t          *testing.T
	store      *storer.Memory
	idCount    int
	statusBody string
	// answers contains the daemon's answers, other than to GET /status, by method
	// and path.
	answers map[string]answer
}

type answer struct {
	status int
	body   string
}

// ServeHTTP serves the daemon's answers.
func (b *harness) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/status" {
		_, _ = w.Write([]byte(b.statusBody))
		return
	}
	a, ok := b.answers[r.Method+" "+r.URL.Path]
	if !ok {
		a.status = http.StatusNotFound
	}
	w.WriteHeader(a.status)
	_, _ = w.Write([]byte(a.body))
}

// expiringClock is a clock on which the timeout of a command expires at its first wait.
type expiringClock struct {
	*clockwork.FakeClock
}

func (c expiringClock) After(time.Duration) <-chan time.Time {
	c.Advance(time.Hour)
	return nil
}

// TestCommands runs the scripts in testdata. Commands:
//
//	file NAME     writes the input to a file in $DIR
//	run           runs a command line, in which $DIR and $DAEMON are replaced
//	daemon        sets the daemon's answer to GET /status
//	answer M P    sets the daemon's answer, with status=N, to method M and path P
//	outage on|off makes the store unavailable or available
func TestCommands(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		b := &harness{
			t:       t,
			store:   &storer.Memory{},
			answers: map[string]answer{},
		}
		server := httptest.NewServer(b)
		defer server.Close()
		dir := t.TempDir()
		expand := strings.NewReplacer("$DIR", dir, "$DAEMON", strings.TrimPrefix(server.URL, "http://"))
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			switch d.Cmd {
			case "file":
				name := filepath.Join(dir, d.CmdArgs[0].Key)
				if err := os.WriteFile(name, []byte(d.Input), 0o600); err != nil {
					t.Fatal(err)
				}
			case "daemon":
				b.statusBody = d.Input
			case "answer":
				a := answer{
					status: http.StatusOK,
					body:   d.Input,
				}
				d.MaybeScanArgs(t, "status", &a.status)
				b.answers[d.CmdArgs[0].Key+" "+d.CmdArgs[1].Key] = a
			case "outage":
				b.store.SetUnavailable(d.CmdArgs[0].Key == "on")
			case "run":
				out := b.run(strings.Fields(expand.Replace(d.Input)))
				return strings.NewReplacer(dir, "$DIR", strings.TrimPrefix(server.URL, "http://"), "$DAEMON").Replace(out)
			default:
				d.Fatalf(t, "unknown command %q", d.Cmd)
			}
			return ""
		})
	})
}

// run executes one command line and returns its output followed by its exit code.
func (b *harness) run(args []string) string {
	clock := clockwork.NewFakeClockAt(time.Date(2030, 1, 2, 3, 4, 5, 0, time.UTC))
	tool := &tool{
		clock: clock,
		newID: func() (string, error) {
			b.idCount++
			return fmt.Sprintf("id%d", b.idCount), nil
		},
		newStore: func(*tool) (storer.Store, error) { return b.store, nil },
		newWaiter: func(*tool) (*revisionwaiter.Waiter, error) {
			return &revisionwaiter.Waiter{
				HTTPClient: &http.Client{},
				Scheme:     "http",
				Clock:      expiringClock{FakeClock: clock},
			}, nil
		},
		newAdminClient: func(*tool) (*adminclient.Client, error) {
			return &adminclient.Client{
				HTTPClient: &http.Client{},
				Scheme:     "http",
			}, nil
		},
	}
	stdout, stderr := &strings.Builder{}, &strings.Builder{}
	code := tool.run(context.Background(), args, stdout, stderr)
	return fmt.Sprintf("%s%sexit %d\n", stdout, stderr, code)
}
