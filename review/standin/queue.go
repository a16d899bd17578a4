package main

import (
	"fmt"
	"net/http"
	"time"
)

// runQueue drains a searcher while more requests come than the searchers of its service can
// run.
func runQueue(s *stand) (verdict, error) {
	const (
		drain = 3 * time.Second
		// factor times the usual traffic comes in the burst.
		factor = 2.5
		// exit is the time from the confirmation to the end of the searcher.
		exit = 4500 * time.Millisecond
		// length is how long more consumers come, and beforeDrain the part of it before the
		// searcher is draining.
		length      = 6400 * time.Millisecond
		beforeDrain = 6 * time.Second
	)
	var leaving *searcher
	for i := range 3 {
		one := &searcher{id: fmt.Sprintf("i-%02d", i), service: "dev-console", zone: zones[i%3], slots: 2, queue: 12,
			work: around(110 * time.Millisecond), log: s.log, store: s.store}
		if err := one.start(); err != nil {
			return verdict{}, err
		}
		leaving = one
	}
	s.configure(1, 34, []route{{Name: "r-dev", Host: host, Prefix: "/dev/", Type: "non_idempotent", Timeout: 5000, Latency: 800,
		Priority: 2, Attempts: 2, Service: "dev-console"}}, "dev-console")
	var err error
	if s.fleet, err = startFleet(s.log, s.dir, s.store, zones, 1, false); err != nil {
		return verdict{}, err
	}
	usual := kind{method: http.MethodPost, prefix: "/dev/", perSecond: 46, limit: 5 * time.Second, body: "listing=1", daemons: s.fleet.daemons}
	base := s.startLoad(usual)
	time.Sleep(5 * time.Second)
	s.log.add("many consumers come at once: %v times the usual traffic", factor)
	more := usual
	more.perSecond *= factor - 1
	burst := s.startLoad(more)
	time.Sleep(beforeDrain)
	var confirmed time.Time
	if s.trouble {
		confirmed = leaving.drain()
		s.log.add("%s is draining: confirmed by the store", leaving.id)
		time.AfterFunc(exit, func() {
			s.log.add("%s ends", leaving.id)
			leaving.end()
		})
	}
	time.Sleep(length - beforeDrain)
	s.log.add("the usual traffic again")
	burst.stop()
	time.Sleep(4 * time.Second)
	base.stop()
	s.log.summary()
	late, lost := s.log.lateArrivals(leaving, confirmed, drain)
	return verdict{broken: late > 0, text: fmt.Sprintf("%d requests reached %s later than %v after the confirmation that it is draining; %d of them got no answer of it", late, leaving.id, drain, lost)}, nil
}

// lateArrivals counts the requests that have reached a draining searcher later than allowed,
// and those of them that were not answered with success.
func (j *journal) lateArrivals(s *searcher, confirmed time.Time, drain time.Duration) (late, lost int) {
	j.mu.Lock()
	defer j.mu.Unlock()
	statuses := make(map[string]int)
	for _, o := range j.outcomes {
		statuses[o.id] = o.status
	}
	for _, a := range j.arrivals {
		if confirmed.IsZero() || a.searcher != s || a.at.Sub(confirmed) <= drain {
			continue
		}
		late++
		if statuses[a.id] != 200 {
			lost++
		}
		j.line("DRAIN: %s reached %s %d ms after the confirmation and was answered with %d", a.id, s.id, a.at.Sub(confirmed).Milliseconds(), statuses[a.id])
	}
	return late, lost
}
