package reachdetector

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"plantaincleat/entryd/pkg/cataloger"
	"plantaincleat/entryd/pkg/httpsender"
	"plantaincleat/tier/gen/config"
)

// linkState is what becomes of a new connection to a target.
type linkState int

const (
	answers linkState = iota
	// refuses fails at once, hangs never connects, and silent connects without an answer,
	// like an intermediary without a target behind it. At replaced, another process answers.
	refuses
	hangs
	silent
	replaced
)

// network connects a daemon with targets in three data centres.
type network struct {
	mu    sync.Mutex
	links map[string]linkState
}

func (n *network) set(state linkState, targets ...string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, t := range targets {
		n.links[t] = state
	}
}

// Dial opens a connection to the target with the given address, which is also its id.
func (n *network) Dial(ctx context.Context, _, address string) (net.Conn, error) {
	n.mu.Lock()
	state := n.links[address]
	n.mu.Unlock()
	switch state {
	case refuses:
		return nil, errors.New("refused")
	case hangs:
		<-ctx.Done()
		return nil, ctx.Err()
	}
	client, server := net.Pipe()
	go func() {
		defer func() { _ = server.Close() }()
		if _, err := http.ReadRequest(bufio.NewReader(server)); err != nil || state == silent {
			<-ctx.Done()
			return
		}
		process := address
		if state == replaced {
			process = "another"
		}
		// The daemon may have given the probe up.
		_, _ = fmt.Fprintf(server, "HTTP/1.1 200 OK\r\nProcess: %s\r\nContent-Length: 0\r\n\r\n", process)
	}()
	return client, nil
}

// newTargets returns a network with targets in pools of two, their ids, and a detector that
// runs until the end of the test.
func newTargets(t *testing.T, pools int) (*network, []string, *Detector) {
	t.Helper()
	n := &network{
		links: make(map[string]linkState),
	}
	catalogs := cataloger.New(cataloger.Options{
		Clock:   clockwork.NewRealClock(),
		Dial:    n.Dial,
		Headers: &httpsender.Headers{},
	})
	cfg := &config.Config{}
	var ids []string
	for p := range pools {
		name := fmt.Sprintf("pool-%d", p)
		cfg.Pools = append(cfg.Pools, &config.Pool{
			Name:  name,
			Probe: "/health",
		})
		for i := range 2 {
			id := fmt.Sprintf("%s-%d", name, i)
			ids = append(ids, id)
			cfg.Targets = append(cfg.Targets, &config.Target{
				Id:         id,
				Address:    id,
				Datacentre: fmt.Sprintf("dc-%d", (p+i)%3),
				Pool:       name,
			})
		}
	}
	catalogs.Adopt(&config.Accepted{
		Head:   &config.Head{Revision: 1},
		Config: cfg,
	})
	d := New(Options{
		Clock:         clockwork.NewRealClock(),
		Catalogs:      catalogs,
		ProcessHeader: "Process",
	})
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { d.Run(ctx) })
	t.Cleanup(func() {
		cancel()
		wg.Wait()
	})
	return n, ids, d
}

// sendAll sends a request to each target in turn until the given time has passed, and lets
// those that answers selects answer.
func sendAll(d *Detector, ids []string, length time.Duration, answers func(id string) bool) {
	for end := time.Now().Add(length); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		for _, id := range ids {
			d.RecordSent(id, 10*time.Millisecond)
			if answers(id) {
				d.RecordHeard(id)
			} else {
				d.RecordDropped(id)
			}
		}
	}
}

// detectionTime is the time within which an isolation is detected under load.
const detectionTime = 800 * time.Millisecond

// TestDetectorIsolated guards against a daemon that goes on as if it reached targets although
// it reaches none, and against one that takes itself for isolated because some targets fail.
func TestDetectorIsolated(t *testing.T) {
	none := func(string) bool { return false }
	tests := []struct {
		name string
		// state is that of the links to the first targets, as many as cut says.
		state linkState
		cut   int
		// answers reports which targets answer the requests.
		answers func(id string) bool
		want    bool
	}{
		{name: "all links hang", state: hangs, cut: 8, answers: none, want: true},
		{name: "all links refuse", state: refuses, cut: 8, answers: none, want: true},
		{name: "intermediaries accept", state: silent, cut: 8, answers: none, want: true},
		{name: "requests unanswered, targets reached", answers: none},
		{name: "links hang, open connections work", state: hangs, cut: 8, answers: func(string) bool { return true }},
		{name: "one pool", state: hangs, cut: 2, answers: func(id string) bool { return id >= "pool-1" }},
		{name: "all but one target", state: refuses, cut: 7, answers: func(id string) bool { return id == "pool-3-1" }},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			n, ids, d := newTargets(t, 4)
			sendAll(d, ids, 100*time.Millisecond, func(string) bool { return true })
			n.set(test.state, ids[:test.cut]...)
			lost := d.Lost()
			sendAll(d, ids, detectionTime, test.answers)
			if d.Isolated() != test.want {
				t.Errorf("isolated %v, want %v", d.Isolated(), test.want)
			}
			select {
			case <-lost:
				if !test.want {
					t.Error("channel of Lost was closed")
				}
			default:
				if test.want {
					t.Error("channel of Lost was not closed")
				}
			}
		})
	}
}

// TestDetectorRecovers guards against a daemon that stays isolated once its links are back, or
// that goes on to avoid targets because of what it saw meanwhile.
func TestDetectorRecovers(t *testing.T) {
	n, ids, d := newTargets(t, 4)
	n.set(hangs, ids...)
	sendAll(d, ids, detectionTime, func(string) bool { return false })
	if !d.Isolated() {
		t.Fatal("daemon is not isolated")
	}
	estimator := d.Catalogs.Catalog().Pool("pool-0").Replicas()[0].Estimator()
	for range 5 {
		estimator.Send(time.Now())
		estimator.Fail(time.Now())
	}
	n.set(answers, ids...)
	time.Sleep(time.Second)
	if d.Isolated() {
		t.Error("daemon is isolated a second after its links are back")
	}
	if estimator.Suspected() {
		t.Error("target is suspected after the isolation")
	}
	select {
	case <-d.Lost():
		t.Error("channel of Lost is closed after the isolation")
	default:
	}
}

// TestDetectorWithFewTargets guards against a daemon that takes itself for isolated because
// the only two targets fail, which is as likely.
func TestDetectorWithFewTargets(t *testing.T) {
	n, ids, d := newTargets(t, 1)
	n.set(refuses, ids...)
	sendAll(d, ids, detectionTime, func(string) bool { return false })
	if d.Isolated() {
		t.Error("daemon with two targets is isolated")
	}
}

// TestReachesTarget guards against the end of a target that is taken for a lost link, because
// another process or an intermediary accepts connections at its address.
func TestReachesTarget(t *testing.T) {
	tests := []struct {
		name  string
		state linkState
		want  bool
	}{
		{name: "answers", state: answers, want: true},
		{name: "refuses", state: refuses},
		{name: "hangs", state: hangs},
		{name: "intermediary", state: silent},
		{name: "another process", state: replaced},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			n, ids, d := newTargets(t, 2)
			n.set(test.state, ids[0])
			if got := d.ReachesTarget(t.Context(), ids[0]); got != test.want {
				t.Errorf("target reached %v, want %v", got, test.want)
			}
		})
	}
}
