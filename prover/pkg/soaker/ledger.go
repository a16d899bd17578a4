package soaker

import (
	"bytes"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"

	"plantaincleat/standin/pkg/platformsimulator"
)

const (
	// maxExecutions is the number of targets of a shard that a request may run on.
	maxExecutions = 2
	// toleratedExcess is the number of requests that may exceed it.
	toleratedExcess = 3
	// minCoverage is the part of the shards that an answer has to cover.
	minCoverage = 0.75
	// topK is the number of records of a merged answer.
	topK = 10
	// maxFindings bounds the findings of one run.
	maxFindings = 20
)

// notExecutedStatuses are the statuses by which a daemon says that a request has not run.
var notExecutedStatuses = []int{
	http.StatusServiceUnavailable,
	http.StatusTooManyRequests,
	http.StatusRequestTimeout,
	http.StatusMisdirectedRequest,
}

// disruptionPeriod is a stretch of time in which a daemon was disrupted. A zero end means
// that it still is.
type disruptionPeriod struct {
	daemon     int
	begin, end time.Time
}

// ledger holds what callers saw, what was disrupted, and what was found wrong.
type ledger struct {
	mu       sync.Mutex
	calls    []*callRecord
	periods  []*disruptionPeriod
	findings []string
}

func (l *ledger) addCall(rec *callRecord) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.calls = append(l.calls, rec)
}

// addFinding records that a promise was broken.
func (l *ledger) addFinding(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.findings) < maxFindings {
		l.findings = append(l.findings, fmt.Sprintf(format, args...))
	}
}

// beginDisruption notes that daemons are disrupted until the returned function is
// called.
func (l *ledger) beginDisruption(daemons ...int) func() {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	var open []*disruptionPeriod
	for _, d := range daemons {
		s := &disruptionPeriod{
			daemon: d,
			begin:  now,
		}
		open = append(open, s)
		l.periods = append(l.periods, s)
	}
	return func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		for _, s := range open {
			s.end = time.Now()
		}
	}
}

// undisrupted reports whether a daemon was not disrupted from begin to end.
func (l *ledger) undisrupted(daemon int, begin, end time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return !slices.ContainsFunc(l.periods, func(s *disruptionPeriod) bool {
		return s.daemon == daemon && s.begin.Before(end) && (s.end.IsZero() || s.end.After(begin))
	})
}

// callsSince returns the calls that were sent after a time.
func (l *ledger) callsSince(since time.Time) []*callRecord {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []*callRecord
	for _, c := range l.calls {
		if c.sent.After(since) {
			out = append(out, c)
		}
	}
	return out
}

// summary counts the calls by route and status; 0 stands for no answer.
func (l *ledger) summary() string {
	count := make(map[string]int)
	for _, c := range l.callsSince(time.Time{}) {
		count[fmt.Sprintf("%s %d", c.route, c.status)]++
	}
	return fmt.Sprintf("calls: %v", count)
}

// check compares all calls with what the targets ran.
func (l *ledger) check(p *platformsimulator.Platform) {
	a := &audit{
		ledger:        l,
		executions:    make(map[string]map[string][]int),
		extraRequests: make(map[string]int),
	}
	for _, t := range p.AllTargets() {
		for id, n := range t.ExecutionCounts() {
			a.addExecutions(t, id, n)
		}
	}
	for _, c := range l.callsSince(time.Time{}) {
		a.checkCall(p, c)
	}
	a.checkAttempts()
	a.checkExtraRequests(len(l.callsSince(time.Time{})))
}

// audit compares calls with runs.
type audit struct {
	*ledger
	// executions holds how often a request ran on each target of a service that ran
	// it, by request and service.
	executions map[string]map[string][]int
	// extraRequests counts runs beyond the first, by service.
	extraRequests map[string]int
}

func (a *audit) addExecutions(t *platformsimulator.Target, id string, n int) {
	if a.executions[id] == nil {
		a.executions[id] = make(map[string][]int)
	}
	a.executions[id][t.Service] = append(a.executions[id][t.Service], n)
}

func (a *audit) checkCall(p *platformsimulator.Platform, c *callRecord) {
	switch {
	case slices.Contains(notExecutedStatuses, c.status) && len(a.executions[c.id]) > 0:
		a.addFinding("request %s on %s was answered %d and ran on %v", c.id, c.route, c.status, a.executions[c.id])
	case c.status != http.StatusOK:
	case c.route == routeAll:
		if err := verifyMerged(p, c); err != nil {
			a.addFinding("request %s on daemon %d: %v", c.id, c.daemon, err)
		}
	default:
		if !isTargetAnswer(p, c) {
			a.addFinding("request %s on %s: the answer is no target's own", c.id, c.route)
		}
	}
	if c.route == routeWrite && totalExecutions(a.executions[c.id]) > 1 {
		a.addFinding("request %s is not idempotent and ran on %v", c.id, a.executions[c.id])
	}
	if took := c.done.Sub(c.sent); c.err != nil && took >= callerDeadline+closeSlack && a.undisrupted(c.daemon, c.sent, c.done) {
		a.addFinding("request %s on %s: daemon %d, not disrupted, gave no answer in %v", c.id, c.route, c.daemon, took)
	}
}

// totalExecutions returns the runs of one request.
func totalExecutions(runs map[string][]int) int {
	sum := 0
	for _, targets := range runs {
		for _, n := range targets {
			sum += n
		}
	}
	return sum
}

// checkAttempts checks on how many targets of a shard each request ran.
func (a *audit) checkAttempts() {
	beyond := 0
	for id, services := range a.executions {
		for service, targets := range services {
			sum := 0
			for _, n := range targets {
				sum += n
			}
			a.extraRequests[service] += sum - 1
			if sum > maxExecutions {
				beyond++
				if beyond > toleratedExcess {
					a.addFinding("request %s ran %d times on %s, and so did %d others", id, sum, service, beyond-1)
				}
			}
		}
	}
}

// checkExtraRequests checks the second sends to each shard.
func (a *audit) checkExtraRequests(requests int) {
	for service, n := range a.extraRequests {
		if limit := extraRatio*float64(requests) + extraSlack; float64(n) > limit {
			a.addFinding("service %s was sent %d requests again, limit %.0f", service, n, limit)
		}
	}
}

// verifyMerged checks an answer over all shards: distinct shards, the count of those
// that are missing, and the greatest records of its parts.
func verifyMerged(p *platformsimulator.Platform, c *callRecord) error {
	services, missing, err := p.VerifyAnswer(c.id, c.header, c.body, topK)
	if err != nil {
		return err
	}
	sets := make(map[string]int)
	for _, service := range services {
		sets[service[:len(service)-2]]++
	}
	all := shards
	if sets[newPrefix] > 0 {
		all = newShards
	}
	if len(sets) != 1 || sets[firstPrefix]+sets[newPrefix] != len(services) {
		return fmt.Errorf("parts of sets %v, want one set of shards", sets)
	}
	if float64(len(services)) < minCoverage*float64(all) || len(services)+missing != all {
		return fmt.Errorf("%d parts and %d missing of %d", len(services), missing, all)
	}
	return nil
}

// isTargetAnswer reports whether an answer is one target's own.
func isTargetAnswer(p *platformsimulator.Platform, c *callRecord) bool {
	t := p.FindSigner(c.header.Get("Response-Signature"), c.id)
	return t != nil && bytes.Equal(c.body, t.Records())
}
