package main

import (
	"encoding/json"
	"fmt"
	mathrand "math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const refusedHost = "fida40.example"

// refusedFailure lets a share of the searchers fail a part of the requests that they have run,
// while their health probes are good: they answer 503 without Not-Executed.
func refusedFailure(e *environment) (bool, error) {
	const (
		failers  = 2
		fraction = 0.4
	)
	st, err := newStore()
	if err != nil {
		return false, err
	}
	defer st.close()
	var failing atomic.Bool
	for i := range 20 {
		s := &searcher{
			id: fmt.Sprintf("i-%08x", 0x6b20d000+i), service: "dev-console", zone: quotaZones[i%len(quotaZones)],
			slots: 2, queue: 8, work: 60 * time.Millisecond,
		}
		if i < failers {
			s.respond = func(w http.ResponseWriter, r *http.Request) bool {
				if !failing.Load() || mathrand.Float64() >= fraction {
					return false
				}
				w.Header().Set("Response-Signature", r.Header.Get("Request-Id")+".failed")
				w.WriteHeader(http.StatusServiceUnavailable)
				_, _ = w.Write([]byte("the request was begun and could not be finished"))
				return true
			}
		}
		if err := s.start(st, e.record); err != nil {
			return false, err
		}
		defer s.close()
	}
	config, err := json.Marshal(map[string]any{
		"version": 1,
		"routes": []any{map[string]any{
			"name": "dev-lookup", "host": refusedHost, "prefix": "/timi402/", "route-type": "non_idempotent",
			"timeout-ms": 5000, "target-latency-ms": 800, "priority": 2, "max-attempts": 2, "service": "dev-console",
		}},
		"services": []any{map[string]any{"name": "dev-console", "max-connections": 34, "health-path": "/health"}},
		"limits": map[string]any{
			"max-header-bytes": 16384, "max-body-bytes": 262144, "header-timeout-ms": 3000, "idle-timeout-ms": 15000,
		},
	})
	if err != nil {
		return false, err
	}
	st.put("op/config", config)
	f, err := newFleet(e.program, e.dir, st.address, e.record, quotaZones, 2)
	if err != nil {
		return false, err
	}
	defer f.closeAll()
	if err := f.startAll(); err != nil {
		return false, err
	}
	if err := f.awaitReady(10 * time.Second); err != nil {
		return false, err
	}
	stop := make(chan struct{})
	var wg sync.WaitGroup
	const consumers, interval = 20, 889 * time.Millisecond
	for i := range consumers {
		c := &consumer{name: fmt.Sprint("consumer-", i), zone: quotaZones[i%len(quotaZones)], fleet: f}
		wg.Go(func() {
			ticker := time.NewTicker(interval)
			defer ticker.Stop()
			for {
				select {
				case <-stop:
					return
				case <-ticker.C:
				}
				c.send(call{class: "dev-lookup", method: http.MethodPost, host: refusedHost, path: "/timi402/2f", body: []byte("enable one skill"), limit: 5 * time.Second})
			}
		})
	}
	time.Sleep(3 * time.Second)
	if e.trouble {
		e.record.event("%d searchers fail %.0f in 100 of their requests", failers, 100*fraction)
		failing.Store(true)
	}
	time.Sleep(5 * time.Second)
	failing.Store(false)
	time.Sleep(3 * time.Second)
	close(stop)
	wg.Wait()
	broken := 0
	for _, q := range e.record.snapshot() {
		if len(q.runs) > 0 && (q.status == http.StatusServiceUnavailable || q.status == http.StatusTooManyRequests) {
			broken++
		}
	}
	e.record.event("REFUSED: %d requests that are not idempotent were answered 503 or 429 and have run", broken)
	return broken > 0, nil
}
