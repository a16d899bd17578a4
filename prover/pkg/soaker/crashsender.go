package soaker

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"plantaincleat/standin/pkg/platformsimulator"
)

const (
	// crashMark is in the path of each request that crashes the targets that
	// execute it.
	crashMark = "crash"
	// crashesUntilKnown is the number of targets that a request may crash before
	// the daemons have to recognise it, and stableWindow the time that they have
	// for that. maxLateSends is the number of later sends that may still reach a
	// target.
	crashesUntilKnown = 3
	stableWindow      = 4 * time.Second
	maxLateSends      = 3
	// quarantined is in the body of the refusal of a request that crashes targets.
	quarantined = "QUARANTINED"
	// crashSendGap is the pause between two sends of a request that crashes.
	crashSendGap = 250 * time.Millisecond
	// crashDelay is the time that a target executes such a request before it crashes.
	crashDelay = 100 * time.Millisecond
	// hastyPatience is the time after which a caller leaves who does not wait for a crash.
	hastyPatience = 60 * time.Millisecond
)

// crashSender sends one request again and again, each time with a new id and to another
// daemon.
type crashSender struct {
	crashingRequest
	soak *Soak
	// clients send from one address each. The next one is used once the request has to be
	// known and is refused because it crashes targets.
	clients []*http.Client
	// callers is the number of callers that send the request at the same time. Zero means one.
	callers int
	// hasty is true if every second send is left by its caller after hastyPatience.
	hasty bool

	// mu guards what follows and clients.
	mu      sync.Mutex
	sends   []crashSend
	begun   int
	knownBy time.Time
}

// crashSend is one send of a request that crashes targets.
type crashSend struct {
	id     string
	daemon int
	at     time.Time
	status int
	took   time.Duration
}

// crashingRequest is a request that crashes targets.
type crashingRequest struct {
	method string
	path   string
	body   string
}

// newCrashSender returns a sender whose connections come from the given addresses.
func newCrashSender(s *Soak, r crashingRequest, from ...string) *crashSender {
	c := &crashSender{
		soak:            s,
		crashingRequest: r,
	}
	for _, address := range from {
		dialer := &net.Dialer{
			LocalAddr: &net.TCPAddr{IP: net.ParseIP(address)},
		}
		c.clients = append(c.clients, &http.Client{
			Transport: &http.Transport{
				DialContext:       dialer.DialContext,
				DisableKeepAlives: true,
			},
			Timeout: callerDeadline + closeSlack,
		})
	}
	return c
}

// run sends the request until stop is closed.
func (c *crashSender) run(stop <-chan struct{}) {
	var callers sync.WaitGroup
	for range max(c.callers, 1) {
		callers.Go(func() { c.runCaller(stop) })
	}
	callers.Wait()
}

// runCaller sends the request again and again, to one daemon after the other.
func (c *crashSender) runCaller(stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(crashSendGap):
		}
		c.send()
		known := c.executions() >= crashesUntilKnown
		c.mu.Lock()
		if c.knownBy.IsZero() && known {
			c.knownBy = time.Now().Add(stableWindow)
		}
		c.mu.Unlock()
	}
}

// send sends the request once, to the next daemon. A daemon that does not run is passed over.
func (c *crashSender) send() {
	c.mu.Lock()
	n, client := c.begun, c.clients[0]
	c.begun++
	c.mu.Unlock()
	d := c.soak.fleet.daemons[n%len(c.soak.fleet.daemons)]
	s := crashSend{
		id:     fmt.Sprintf("%s-%d", strings.Trim(c.path, "/"), n),
		at:     time.Now(),
		daemon: d.number,
	}
	ctx := context.Background()
	if c.hasty && n%2 == 1 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, hastyPatience)
		defer cancel()
	}
	req, err := http.NewRequestWithContext(ctx, c.method, "http://"+d.callerAddress+c.path, strings.NewReader(c.body))
	if err != nil {
		c.soak.ledger.addFinding("build request: %v", err)
		return
	}
	req.Host = platformsimulator.RouteHost
	req.Header.Set("Request-Id", s.id)
	req.Header.Set("Request-Deadline", fmt.Sprint(callerDeadline.Milliseconds()))
	refused := false
	if resp, err := client.Do(req); err == nil {
		body, _ := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		s.status = resp.StatusCode
		refused = strings.Contains(string(body), quarantined)
	}
	s.took = time.Since(s.at)
	c.mu.Lock()
	defer c.mu.Unlock()
	known := !c.knownBy.IsZero() && s.at.After(c.knownBy)
	if known && refused && client == c.clients[0] && len(c.clients) > 1 {
		c.clients = c.clients[1:]
	}
	c.sends = append(c.sends, s)
}

// executions returns how often targets have begun to execute the request.
func (c *crashSender) executions() int {
	c.mu.Lock()
	sends := slices.Clone(c.sends)
	c.mu.Unlock()
	n := 0
	for _, s := range sends {
		n += c.soak.fleet.platform.Executions(s.id)
	}
	return n
}

// check returns what is wrong with the sends: those that reached targets although the
// request had to be known, refusals of requests that were executed, and executions beyond
// the first of a request that is not idempotent. Only sends for which counts returns true
// can be late.
func (c *crashSender) check(counts func(s crashSend) bool) (summary string, findings []string) {
	var late []string
	for _, s := range c.sends {
		n := c.soak.fleet.platform.Executions(s.id)
		if n > 0 && !c.knownBy.IsZero() && s.at.After(c.knownBy) && counts(s) {
			late = append(late, s.id)
		}
		if n > 0 && slices.Contains(notExecutedStatuses, s.status) {
			findings = append(findings, fmt.Sprintf("%s %s: send %s was answered with status %d but executed %d times", c.method, c.path, s.id, s.status, n))
		}
		if n > 1 && c.method == http.MethodPost {
			findings = append(findings, fmt.Sprintf("%s %s: send %s is not idempotent but was executed %d times", c.method, c.path, s.id, n))
		}
	}
	if len(late) > maxLateSends {
		findings = append(findings, fmt.Sprintf("%s %s: %d sends were executed later than %v after the request had crashed %d targets, want at most %d: %v",
			c.method, c.path, len(late), stableWindow, crashesUntilKnown, maxLateSends, late))
	}
	summary = fmt.Sprintf("%s %s: %d sends, %d executions, %d late sends executed", c.method, c.path, len(c.sends), c.executions(), len(late))
	return summary, findings
}

// maxCrashSenders bounds the crashing requests of a run.
const maxCrashSenders = 2

// maxCrashCallers bounds the callers that send one crashing request at the same time.
const maxCrashCallers = 3

// crashTargets begins to send a request that crashes targets, which goes on until the end
// of the run. It is done at most maxCrashSenders times in a run.
func (s *Soak) crashTargets(r *rand.Rand, _ time.Duration) {
	requests := []crashingRequest{
		{method: http.MethodGet, path: routeOne},
		{method: http.MethodPost, path: routeWrite, body: "body"},
		{method: http.MethodGet, path: routeAll},
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	n := len(s.crashSenders)
	if n == maxCrashSenders {
		return
	}
	request := requests[r.IntN(len(requests))]
	request.path += fmt.Sprintf("%s-%d", crashMark, n)
	c := newCrashSender(s, request, fmt.Sprintf("127.0.9.%d", 1+n))
	c.callers, c.hasty = 1+r.IntN(maxCrashCallers), r.IntN(2) == 0
	s.crashSenders = append(s.crashSenders, c)
	s.background.Go(func() { c.run(s.ended) })
}

// checkCrashSenders checks the sends of the crashing requests. A send to a daemon that was
// disrupted within stableWindow before it does not count as late.
func (s *Soak) checkCrashSenders() {
	undisrupted := func(send crashSend) bool {
		return s.ledger.undisrupted(send.daemon, send.at.Add(-stableWindow), send.at.Add(send.took))
	}
	for _, c := range s.crashSenders {
		summary, findings := c.check(undisrupted)
		s.events = append(s.events, summary)
		for _, f := range findings {
			s.ledger.addFinding("%s", f)
		}
	}
}
