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
	// attempts is the number of targets of a shard that a request may run on.
	attempts = 2
	// spareAttempts is the number of requests that may exceed it.
	spareAttempts = 3
	// floor is the part of the shards that an answer has to cover.
	floor = 0.75
	// top is the number of records of a merged answer.
	top = 10
	// maxFindings bounds the findings of one run.
	maxFindings = 20
)

// promises are the statuses by which a daemon says that a request has not run.
var promises = []int{
	http.StatusServiceUnavailable,
	http.StatusTooManyRequests,
	http.StatusRequestTimeout,
	http.StatusMisdirectedRequest,
}

// span is a stretch of time in which a daemon was disrupted. A zero end means
// that it still is.
type span struct {
	daemon     int
	begin, end time.Time
}

// ledger holds what callers saw, what was disrupted, and what was found wrong.
type ledger struct {
	mu       sync.Mutex
	calls    []*call
	spans    []*span
	findings []string
}

func (l *ledger) add(one *call) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.calls = append(l.calls, one)
}

// find records that a promise was broken.
func (l *ledger) find(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.findings) < maxFindings {
		l.findings = append(l.findings, fmt.Sprintf(format, args...))
	}
}

// disrupted notes that daemons are disrupted until the returned function is
// called.
func (l *ledger) disrupted(daemons ...int) func() {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	var open []*span
	for _, d := range daemons {
		s := &span{
			daemon: d,
			begin:  now,
		}
		open = append(open, s)
		l.spans = append(l.spans, s)
	}
	return func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		for _, s := range open {
			s.end = time.Now()
		}
	}
}

// calm reports whether a daemon was not disrupted from begin to end.
func (l *ledger) calm(daemon int, begin, end time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return !slices.ContainsFunc(l.spans, func(s *span) bool {
		return s.daemon == daemon && s.begin.Before(end) && (s.end.IsZero() || s.end.After(begin))
	})
}

// last returns the calls that were sent after a time.
func (l *ledger) last(since time.Time) []*call {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []*call
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
	for _, c := range l.last(time.Time{}) {
		count[fmt.Sprintf("%s %d", c.route, c.status)]++
	}
	return fmt.Sprintf("calls: %v", count)
}

// check compares all calls with what the targets ran.
func (l *ledger) check(w *platformsimulator.Platform) {
	a := &audit{
		ledger: l,
		runs:   make(map[string]map[string][]int),
		extra:  make(map[string]int),
	}
	for _, t := range w.AllTargets() {
		for id, n := range t.ExecutionCounts() {
			a.ran(t, id, n)
		}
	}
	for _, c := range l.last(time.Time{}) {
		a.checkCall(w, c)
	}
	a.checkAttempts()
	a.checkExtra(len(l.last(time.Time{})))
}

// audit compares calls with runs.
type audit struct {
	*ledger
	// runs holds how often a request ran on each target of a service that ran
	// it, by request and service.
	runs map[string]map[string][]int
	// extra counts runs beyond the first, by service.
	extra map[string]int
}

func (a *audit) ran(t *platformsimulator.Target, id string, n int) {
	if a.runs[id] == nil {
		a.runs[id] = make(map[string][]int)
	}
	a.runs[id][t.Service] = append(a.runs[id][t.Service], n)
}

func (a *audit) checkCall(w *platformsimulator.Platform, c *call) {
	switch {
	case slices.Contains(promises, c.status) && len(a.runs[c.id]) > 0:
		a.find("request %s on %s was answered %d and ran on %v", c.id, c.route, c.status, a.runs[c.id])
	case c.status != http.StatusOK:
	case c.route == routeAll:
		if err := merged(w, c); err != nil {
			a.find("request %s on daemon %d: %v", c.id, c.daemon, err)
		}
	default:
		if !single(w, c) {
			a.find("request %s on %s: the answer is no target's own", c.id, c.route)
		}
	}
	if c.route == routeWrite && total(a.runs[c.id]) > 1 {
		a.find("request %s is not idempotent and ran on %v", c.id, a.runs[c.id])
	}
	if took := c.done.Sub(c.sent); c.err != nil && took >= patience+hangSlack && a.calm(c.daemon, c.sent, c.done) {
		a.find("request %s on %s: daemon %d, not disrupted, gave no answer in %v", c.id, c.route, c.daemon, took)
	}
}

// total returns the runs of one request.
func total(runs map[string][]int) int {
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
	for id, services := range a.runs {
		for service, targets := range services {
			sum := 0
			for _, n := range targets {
				sum += n
			}
			a.extra[service] += sum - 1
			if sum > attempts {
				beyond++
				if beyond > spareAttempts {
					a.find("request %s ran %d times on %s, and so did %d others", id, sum, service, beyond-1)
				}
			}
		}
	}
}

// checkExtra checks the second sends to each shard.
func (a *audit) checkExtra(requests int) {
	for service, n := range a.extra {
		if limit := ratio*float64(requests) + slack; float64(n) > limit {
			a.find("service %s was sent %d requests again, limit %.0f", service, n, limit)
		}
	}
}

// merged checks an answer over all shards: distinct shards, the count of those
// that are missing, and the greatest records of its parts.
func merged(w *platformsimulator.Platform, c *call) error {
	services, missing, err := w.VerifyAnswer(c.id, c.header, c.body, top)
	if err != nil {
		return err
	}
	sets := make(map[string]int)
	for _, service := range services {
		sets[service[:len(service)-2]]++
	}
	all := shards
	if sets[laterPrefix] > 0 {
		all = laterShards
	}
	if len(sets) != 1 || sets[firstPrefix]+sets[laterPrefix] != len(services) {
		return fmt.Errorf("parts of sets %v, want one set of shards", sets)
	}
	if float64(len(services)) < floor*float64(all) || len(services)+missing != all {
		return fmt.Errorf("%d parts and %d missing of %d", len(services), missing, all)
	}
	return nil
}

// single reports whether an answer is one target's own.
func single(w *platformsimulator.Platform, c *call) bool {
	t := w.FindSigner(c.header.Get("Response-Signature"), c.id)
	return t != nil && bytes.Equal(c.body, t.Records())
}
