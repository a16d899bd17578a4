package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"
)

// runRelay cuts one daemon off from all searchers, so that it hands its requests on to other
// daemons, while some searchers lose answers.
func runRelay(s *stand) (verdict, error) {
	const (
		lost = 0.4
		// Answers are lost in windows that follow each other while the daemon is cut off.
		windows = 3
		window  = 4 * time.Second
	)
	var losing atomic.Bool
	l := newLinks()
	for i := range 6 {
		address, to, err := l.forward()
		if err != nil {
			return verdict{}, err
		}
		one := &searcher{id: fmt.Sprintf("i-%02d", i), service: "enable-svc", zone: zones[i%3], slots: 2, queue: 2,
			work: around(200 * time.Millisecond), log: s.log, store: s.store, registered: address}
		if i%2 == 0 {
			one.behave = func(*http.Request) behaviour { return behaviour{loseAnswer: losing.Load() && rand.Float64() < lost} }
		}
		if err := one.start(); err != nil {
			return verdict{}, err
		}
		to(one.listener.Addr().String())
	}
	s.configure(1, 34, []route{
		{Name: "r-enable", Host: host, Prefix: "/enable/", Type: "non_idempotent", Timeout: 5000, Latency: 800, Priority: 2, Attempts: 2, Service: "enable-svc"},
	}, "enable-svc")
	var err error
	if s.fleet, err = startFleet(s.log, s.dir, s.store, zones, 1, true); err != nil {
		return verdict{}, err
	}
	first := s.fleet.daemons[0]
	// Most consumers are connected to the daemon that is cut off.
	enable := s.startLoad(kind{method: http.MethodPost, prefix: "/enable/", perSecond: 46, limit: 5 * time.Second, body: "skill=1",
		daemons: append([]*daemon{first, first, first}, s.fleet.daemons...)})
	time.Sleep(12 * time.Second)
	if s.trouble {
		s.log.add("%s is cut off from the searchers", first.id)
		l.cutOff(first.ip)
	}
	for range windows {
		losing.Store(s.trouble)
		time.Sleep(window)
		losing.Store(false)
	}
	if s.trouble {
		l.heal()
		s.log.add("all links are back")
	}
	time.Sleep(2 * time.Second)
	enable.stop()
	s.log.summary()
	twice, refused := s.log.audit("/enable/")
	return verdict{broken: twice > 0, text: fmt.Sprintf("%d requests that are not idempotent were run more than once, %d were refused and run", twice, refused)}, nil
}
