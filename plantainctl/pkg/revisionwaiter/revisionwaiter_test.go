package revisionwaiter

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
)

// fakeDaemon serves one status for each round, and the last one for all further
// rounds.
type fakeDaemon struct {
	rounds []status
	calls  int
}

func (f *fakeDaemon) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	at := min(f.calls, len(f.rounds)-1)
	f.calls++
	_ = json.NewEncoder(w).Encode(f.rounds[at])
}

func serve(t *testing.T, rounds ...status) string {
	t.Helper()
	s := httptest.NewServer(&fakeDaemon{rounds: rounds})
	t.Cleanup(s.Close)
	return strings.TrimPrefix(s.URL, "http://")
}

// unusedAddress returns a loopback address on which nothing listens.
func unusedAddress(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

// steppedClock ends a number of waits immediately. The next wait cancels the context
// and does not end.
type steppedClock struct {
	clockwork.Clock
	waits  int
	cancel context.CancelFunc
}

func (c *steppedClock) After(time.Duration) <-chan time.Time {
	if c.waits--; c.waits < 0 {
		c.cancel()
		return nil
	}
	done := make(chan time.Time, 1)
	done <- time.Time{}
	return done
}

// waitRounds waits for revision 5 for up to the given number of rounds.
func waitRounds(t *testing.T, rounds int, addresses ...string) *Report {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	w := &Waiter{
		HTTPClient: &http.Client{},
		Scheme:     "http",
		Clock: &steppedClock{
			Clock:  clockwork.NewRealClock(),
			waits:  rounds - 1,
			cancel: cancel,
		},
	}
	return w.Wait(ctx, addresses, 5)
}

// unconfirmedNames formats the unconfirmed hosts as ID/STATE/REVISION.
func unconfirmedNames(r *Report) string {
	var names []string
	for _, h := range r.Unconfirmed() {
		names = append(names, fmt.Sprintf("%s/%s/%d", h.ID, h.State, h.HighestRevision))
	}
	return strings.Join(names, " ")
}

func daemonAt(id string, revision uint64, members ...member) status {
	return status{
		ID:         id,
		DataCentre: "wlg",
		Revision:   revision,
		Members:    members,
	}
}

func memberAt(id, state string, revision uint64, admin string) member {
	return member{
		ID:           id,
		DataCentre:   "wlg",
		State:        state,
		Revision:     revision,
		AdminAddress: admin,
	}
}

func TestWaiterWait(t *testing.T) {
	unused := unusedAddress(t)
	tests := []struct {
		name        string
		addresses   func(t *testing.T) []string
		rounds      int
		unconfirmed string
	}{
		{
			name: "confirmed in first round",
			addresses: func(t *testing.T) []string {
				return []string{serve(t, daemonAt("e1", 5, memberAt("e2", "alive", 6, "")))}
			},
			rounds: 1,
		},
		{
			name: "confirmed in second round",
			addresses: func(t *testing.T) []string {
				return []string{serve(t, daemonAt("e1", 4), daemonAt("e1", 5))}
			},
			rounds: 2,
		},
		{
			name: "lower revision on a member",
			addresses: func(t *testing.T) []string {
				return []string{serve(t, daemonAt("e1", 5, memberAt("e2", "alive", 4, unused)))}
			},
			rounds:      3,
			unconfirmed: "e2/alive/4",
		},
		{
			name: "member unreachable for its peer confirms itself",
			addresses: func(t *testing.T) []string {
				other := serve(t, daemonAt("e2", 5))
				return []string{serve(t, daemonAt("e1", 5, memberAt("e2", "unreachable", 4, other)))}
			},
			rounds: 2,
		},
		{
			name: "dead and left members do not count",
			addresses: func(t *testing.T) []string {
				return []string{serve(t, daemonAt("e1", 5,
					memberAt("e2", "dead", 4, unused), memberAt("e3", "left", 4, unused)))}
			},
			rounds: 1,
		},
		{
			name: "dead in one view, suspect in another",
			addresses: func(t *testing.T) []string {
				return []string{
					serve(t, daemonAt("e1", 5, memberAt("e3", "dead", 4, unused))),
					serve(t, daemonAt("e2", 5, memberAt("e3", "suspect", 4, unused))),
				}
			},
			rounds:      2,
			unconfirmed: "e3/suspect/4",
		},
		{
			name: "unreachable member",
			addresses: func(t *testing.T) []string {
				return []string{serve(t, daemonAt("e1", 5, memberAt("e2", "unreachable", 4, unused)))}
			},
			rounds:      2,
			unconfirmed: "e2/unreachable/4",
		},
		{
			name: "no answer from given address",
			addresses: func(*testing.T) []string {
				return []string{unused}
			},
			rounds:      2,
			unconfirmed: "/silent/0",
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			report := waitRounds(t, test.rounds, test.addresses(t)...)
			if got := unconfirmedNames(report); got != test.unconfirmed {
				t.Errorf("unconfirmed hosts %q, want %q", got, test.unconfirmed)
			}
			if report.InForceEverywhere() != (test.unconfirmed == "") {
				t.Errorf("InForceEverywhere() = %v", report.InForceEverywhere())
			}
		})
	}
}
