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
	// maxExecutions is the number of targets of a shard that may execute a
	// request.
	maxExecutions = 2
	// toleratedExcess is the number of requests in a run that may be executed
	// more often.
	toleratedExcess = 3
	// minCoverage is the fraction of the shards that an answer must cover.
	minCoverage = 0.75
	// topK is the number of records of a merged answer.
	topK = 10
	// maxFindings bounds the recorded findings of a run.
	maxFindings = 20
)

// notExecutedStatuses are the statuses that tell a caller that its request was
// not and will not be executed.
var notExecutedStatuses = []int{
	http.StatusServiceUnavailable,
	http.StatusTooManyRequests,
	http.StatusRequestTimeout,
	http.StatusMisdirectedRequest,
}

// disruptionPeriod is a time during which a daemon is disrupted. A zero end
// means that the disruption goes on.
type disruptionPeriod struct {
	daemon     int
	begin, end time.Time
}

// ledger records calls, disruptions and findings. It is safe for concurrent
// use.
type ledger struct {
	mu      sync.Mutex
	calls   []*callRecord
	periods []*disruptionPeriod
	// processPeriods are those in which the process of a daemon is frozen or restarted.
	processPeriods []*disruptionPeriod
	// cutPeriods are those in which links of a daemon are cut, slow or reset.
	cutPeriods []*disruptionPeriod
	findings   []string
}

func (l *ledger) addCall(rec *callRecord) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.calls = append(l.calls, rec)
}

// addFinding records that a check failed, unless there are maxFindings already.
func (l *ledger) addFinding(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.findings) < maxFindings {
		l.findings = append(l.findings, fmt.Sprintf(format, args...))
	}
}

// beginDisruption records that daemons are disrupted until the returned
// function is called.
func (l *ledger) beginDisruption(daemons ...int) func() {
	return l.begin(&l.periods, daemons)
}

// beginProcessDisruption records that the process of a daemon is frozen or restarted
// until the returned function is called.
func (l *ledger) beginProcessDisruption(daemon int) func() {
	return l.begin(&l.processPeriods, []int{daemon})
}

// beginCut records that links of daemons are cut, slow or reset until the returned function is
// called.
func (l *ledger) beginCut(daemons ...int) func() {
	return l.begin(&l.cutPeriods, daemons)
}

// cut reports whether links of a daemon were disturbed at any time from begin to end.
func (l *ledger) cut(daemon int, begin, end time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return overlaps(l.cutPeriods, daemon, begin, end)
}

func (l *ledger) begin(periods *[]*disruptionPeriod, daemons []int) func() {
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
		*periods = append(*periods, s)
	}
	return func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		for _, s := range open {
			s.end = time.Now()
		}
	}
}

// undisrupted reports whether a daemon was not disrupted at any time from begin
// to end.
func (l *ledger) undisrupted(daemon int, begin, end time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return !overlaps(l.periods, daemon, begin, end)
}

// sameProcess reports whether a daemon was neither frozen nor restarted from begin to end.
func (l *ledger) sameProcess(daemon int, begin, end time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return !overlaps(l.processPeriods, daemon, begin, end)
}

// overlaps reports whether a daemon is disrupted at any time from begin to end.
func overlaps(periods []*disruptionPeriod, daemon int, begin, end time.Time) bool {
	return slices.ContainsFunc(periods, func(s *disruptionPeriod) bool {
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

// summary returns the number of calls by route and status, where status 0 means
// no answer.
func (l *ledger) summary() string {
	count := make(map[string]int)
	for _, c := range l.callsSince(time.Time{}) {
		count[fmt.Sprintf("%s %d", c.route, c.status)]++
	}
	return fmt.Sprintf("calls: %v", count)
}

// check compares all calls with the executions at the targets.
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

// audit compares calls with executions. Its findings go to the ledger.
type audit struct {
	*ledger
	// executions holds, by request id and service, how often each target that
	// executed the request did so.
	executions map[string]map[string][]int
	// extraRequests counts executions beyond the first of each request, by
	// service.
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
		a.addFinding("request %s on %s was answered with status %d but executed: %v", c.id, c.route, c.status, a.executions[c.id])
	case c.status != http.StatusOK:
	case c.route == routeAll:
		if err := verifyMerged(p, c); err != nil {
			a.addFinding("request %s on daemon %d: %v", c.id, c.daemon, err)
		}
	default:
		if !isTargetAnswer(p, c) {
			a.addFinding("request %s on %s: the answer is not that of a target", c.id, c.route)
		}
	}
	if c.route == routeWrite && totalExecutions(a.executions[c.id]) > 1 {
		a.addFinding("request %s is not idempotent but was executed more than once: %v", c.id, a.executions[c.id])
	}
	if took := c.done.Sub(c.sent); c.err != nil && took >= callerDeadline+closeSlack && a.undisrupted(c.daemon, c.sent, c.done) {
		a.addFinding("request %s on %s: daemon %d, which was not disrupted, gave no answer within %v", c.id, c.route, c.daemon, took)
	}
}

// totalExecutions returns the number of executions of one request at all
// targets.
func totalExecutions(executions map[string][]int) int {
	sum := 0
	for _, targets := range executions {
		for _, n := range targets {
			sum += n
		}
	}
	return sum
}

// checkAttempts checks how often each request was executed by the targets of
// each service, and counts the extra requests.
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
					a.addFinding("request %s was executed %d times by service %s; %d other requests also exceeded the limit", id, sum, service, beyond-1)
				}
			}
		}
	}
}

// checkExtraRequests checks the number of extra requests to each service
// against the limit for the given number of requests.
func (a *audit) checkExtraRequests(requests int) {
	for service, n := range a.extraRequests {
		if limit := extraRatio*float64(requests) + extraSlack; float64(n) > limit {
			a.addFinding("service %s executed %d extra requests, limit %.0f", service, n, limit)
		}
	}
}

// verifyMerged checks a merged answer: it must consist of distinct shards of
// one set, state the number of missing shards, cover enough of them, and hold
// the greatest records of its partials.
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
		return fmt.Errorf("partials by set of shards: %v, want one set", sets)
	}
	if float64(len(services)) < minCoverage*float64(all) || len(services)+missing != all {
		return fmt.Errorf("%d partials and %d missing of %d shards", len(services), missing, all)
	}
	return nil
}

// isTargetAnswer reports whether the answer is, unchanged, that of the target
// that signed it.
func isTargetAnswer(p *platformsimulator.Platform, c *callRecord) bool {
	t := p.FindSigner(c.header.Get("Response-Signature"), c.id)
	return t != nil && bytes.Equal(c.body, t.Records())
}
