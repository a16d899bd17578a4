package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"
)

// runStray lets searchers send additional bytes after some of their answers, late, where the
// next answer on the connection is due. The bytes are an answer without an id.
func runStray(s *stand) (verdict, error) {
	const (
		share   = 0.04
		windows = 3
		length  = 5 * time.Second
		pause   = 2 * time.Second
	)
	var faulty atomic.Bool
	bytes := message(http.StatusServiceUnavailable, "", []string{"Not-Executed: 1"}, nil)
	for i := range 6 {
		one := &searcher{id: fmt.Sprintf("i-%02d", i), service: "enable-svc", zone: zones[i%3], slots: 2, queue: 8,
			work: around(40 * time.Millisecond), log: s.log, store: s.store}
		if i%2 == 0 {
			one.behave = func(*http.Request) behaviour {
				if faulty.Load() && rand.Float64() < share {
					return behaviour{extra: bytes}
				}
				return behaviour{}
			}
		}
		if err := one.start(); err != nil {
			return verdict{}, err
		}
	}
	s.configure(1, 34, []route{{Name: "r-enable", Host: host, Prefix: "/enable/", Type: "non_idempotent", Timeout: 5000, Latency: 800,
		Priority: 2, Attempts: 2, Service: "enable-svc"}}, "enable-svc")
	var err error
	if s.fleet, err = startFleet(s.log, s.dir, s.store, zones, 2, false); err != nil {
		return verdict{}, err
	}
	l := s.startLoad(kind{method: http.MethodPost, prefix: "/enable/", perSecond: 30, limit: 5 * time.Second, body: "skill=1", daemons: s.fleet.daemons})
	for range windows {
		time.Sleep(pause)
		faulty.Store(s.trouble)
		time.Sleep(length)
		faulty.Store(false)
	}
	time.Sleep(pause)
	l.stop()
	s.log.summary()
	twice, refused := s.log.audit("/enable/")
	return verdict{broken: twice > 0, text: fmt.Sprintf("%d requests that are not idempotent were run more than once, %d were refused and run", twice, refused)}, nil
}
