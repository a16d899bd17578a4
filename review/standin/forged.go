package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"
)

// runForged lets another writer write an entry with missing fields under the id of a searcher,
// until the searcher's own check-in replaces it.
func runForged(s *stand) (verdict, error) {
	const writes = 4
	var victim *searcher
	for i := range 8 {
		one := &searcher{id: fmt.Sprintf("i-%02d", i), service: "dev-console", zone: zones[i%3], slots: 2, queue: 8,
			work: around(40 * time.Millisecond), log: s.log, store: s.store}
		if i >= 5 {
			one.service = "review-svc"
		}
		if err := one.start(); err != nil {
			return verdict{}, err
		}
		if i == 0 {
			victim = one
		}
	}
	routes := []route{
		{Name: "r-dev", Host: host, Prefix: "/dev/", Type: "idempotent", Timeout: 5000, Latency: 800, Priority: 2, Attempts: 2, Service: "dev-console"},
		{Name: "r-review", Host: host, Prefix: "/review/", Type: "idempotent", Timeout: 5000, Latency: 800, Priority: 2, Attempts: 2, Service: "review-svc"},
	}
	s.configure(1, 34, routes, "dev-console", "review-svc")
	var err error
	if s.fleet, err = startFleet(s.log, s.dir, s.store, zones, 2, false); err != nil {
		return verdict{}, err
	}
	dev := s.startLoad(kind{method: http.MethodGet, prefix: "/dev/", perSecond: 30, limit: 5 * time.Second, daemons: s.fleet.daemons})
	review := s.startLoad(kind{method: http.MethodGet, prefix: "/review/", perSecond: 30, limit: 5 * time.Second, daemons: s.fleet.daemons})
	time.Sleep(4 * time.Second)
	// version, warmup-left-ms and sequence are missing.
	value, _ := json.Marshal(map[string]any{"service": "review-svc", "address": victim.registered, "zone": victim.zone, "slots": 2, "state": "ready"})
	for range writes {
		if s.trouble {
			s.store.put(victim.key(), value)
			s.log.add("another writer writes %s: %s", victim.key(), value)
		}
		time.Sleep(3 * time.Second)
	}
	dev.stop()
	review.stop()
	s.log.summary()
	wrong := s.log.astray("/review/", "review-svc")
	return verdict{broken: wrong > 0, text: fmt.Sprintf("%d requests for review-svc were run by a searcher of dev-console", wrong)}, nil
}

// astray counts the requests under a prefix that were run by a searcher of another service
// than the one that the configuration names.
func (j *journal) astray(prefix, service string) int {
	j.mu.Lock()
	defer j.mu.Unlock()
	n := 0
	for _, o := range j.outcomes {
		for _, r := range j.runs[o.id] {
			if strings.HasPrefix(o.path, prefix) && r.searcher.service != service {
				n++
				j.line("ROUTE: %s %s was run by %s of %s and answered with %d, signature %s", o.id, o.path, r.searcher.id, r.searcher.service, o.status, o.header["Response-Signature"])
			}
		}
	}
	return n
}
