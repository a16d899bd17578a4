package main

import (
	"fmt"
	"net/http"
	"time"
)

// runStop stops a daemon gracefully while more requests come than the searchers can run, as
// they do all the time.
func runStop(s *stand) (verdict, error) {
	const (
		grace = 6 * time.Second
		// slack is loss-slack-ms.
		slack = 200 * time.Millisecond
		limit = 5 * time.Second
		// beforeStop is the time before the daemon is stopped.
		beforeStop = 10 * time.Second
	)
	for i := range 3 {
		one := &searcher{id: fmt.Sprintf("i-%02d", i), service: "dev-console", zone: zones[i%3], slots: 2, queue: 12,
			work: around(110 * time.Millisecond), log: s.log, store: s.store}
		if err := one.start(); err != nil {
			return verdict{}, err
		}
	}
	s.configure(1, 34, []route{{Name: "r-dev", Host: host, Prefix: "/dev/", Type: "non_idempotent", Timeout: 5000, Latency: 800,
		Priority: 2, Attempts: 2, Service: "dev-console"}}, "dev-console")
	var err error
	if s.fleet, err = startFleet(s.log, s.dir, s.store, zones, 1, false); err != nil {
		return verdict{}, err
	}
	s.fleet.checkReadiness()
	// The share of connections per daemon is uneven.
	l := s.startLoad(kind{method: http.MethodPost, prefix: "/dev/", perSecond: 90, limit: limit, body: "listing=1",
		daemons: append([]*daemon{s.fleet.daemons[0]}, s.fleet.daemons...)})
	time.Sleep(beforeStop)
	stopped := s.fleet.daemons[0]
	var at time.Time
	if s.trouble {
		at = time.Now()
		s.fleet.terminate(stopped, grace)
	}
	time.Sleep(grace + time.Second)
	l.stop()
	s.log.summary()
	lost := s.log.cutOff(stopped, at, grace, slack, limit)
	return verdict{broken: lost > 0, text: fmt.Sprintf("%d requests that %s had read, and that it had sent to no searcher, ended with their connections without an answer", lost, stopped.id)}, nil
}

// cutOff counts the requests to a daemon that is stopped at a time whose connections were
// closed without an answer, although no searcher had them, and later than slack after they
// were sent.
func (j *journal) cutOff(d *daemon, at time.Time, grace, slack, limit time.Duration) int {
	j.mu.Lock()
	defer j.mu.Unlock()
	reached := make(map[string]bool)
	for _, a := range j.arrivals {
		reached[a.id] = true
	}
	n := 0
	for _, o := range j.outcomes {
		took := o.at.Sub(o.sent)
		if at.IsZero() || o.daemon != d.http || !o.cut || reached[o.id] || took <= slack || took >= limit || o.at.After(at.Add(grace+time.Second)) {
			continue
		}
		n++
		j.line("LOST: %s was sent %d ms after the SIGTERM, waited for %d ms and got no answer", o.id, o.sent.Sub(at).Milliseconds(), took.Milliseconds())
	}
	return n
}
