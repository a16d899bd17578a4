package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// The deployment of the case on requests that crash searchers: six daemons in three zones, and
// twenty searchers of one service.
var poisonZones = []string{"hall-a", "hall-b", "hall-c"}

const (
	poisonHost      = "pupu76.example"
	poisonPath      = "/timi402/crash"
	poisonService   = "dev-console"
	poisonSearchers = 20
	// poisonGoOn of five searchers go on with a request whose connection closes.
	poisonGoOn = 2
	// poisonWork is the mean time that a searcher works on a request.
	poisonWork = 220 * time.Millisecond
	// poisonCrashAfter is the time from the begin of the work on the request to the crash.
	poisonCrashAfter = 900 * time.Millisecond
	// poisonLimit is the route's timeout-ms, and poisonLeaveAfter half of its
	// target-latency-ms, after which the consumer leaves.
	poisonLimit      = 5 * time.Second
	poisonLeaveAfter = 400 * time.Millisecond
	// poisonDown is the time until a crashed searcher is back.
	poisonDown = 2 * time.Second
	// poisonGap is the time between two sends, and poisonSends their number.
	poisonGap   = 700 * time.Millisecond
	poisonSends = 30
	// poisonTouch is stable-window-ms.
	poisonTouch = 4 * time.Second
	// poisonRetries is the number of late retries that the rule allows.
	poisonRetries = 3
)

// poisonScene is a running deployment whose searchers crash under one request.
type poisonScene struct {
	*environment
	store *store
	fleet *fleet

	mu sync.Mutex
	// crashes holds when searchers have crashed.
	crashes []time.Time
	running []*searcher
	closed  bool
}

// startSearcher starts a process of a searcher.
func (s *poisonScene) startSearcher(number, process int, address string) error {
	x := &searcher{
		id:      fmt.Sprintf("i-%02x%06x", number, process),
		service: poisonService,
		zone:    poisonZones[number%len(poisonZones)],
		slots:   2,
		queue:   8,
		work:    poisonWork,
		address: address,
	}
	goesOn := number%5 < poisonGoOn
	var once sync.Once
	x.execute = func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != poisonPath {
			x.answer(w, r)
			return
		}
		timer := time.NewTimer(poisonCrashAfter)
		defer timer.Stop()
		left := r.Context().Done()
		if goesOn {
			left = nil
		}
		select {
		case <-left:
			return
		case <-timer.C:
		}
		once.Do(func() { go s.crash(x, number, process) })
		<-r.Context().Done()
	}
	if err := x.start(s.store, s.record); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running = append(s.running, x)
	return nil
}

// crash ends a process and starts the next one at its address.
func (s *poisonScene) crash(x *searcher, number, process int) {
	x.close()
	s.mu.Lock()
	s.crashes = append(s.crashes, time.Now())
	n := len(s.crashes)
	s.mu.Unlock()
	s.record.event("searcher %s crashed, the %d. in all", x.id, n)
	// Its entry expires after three check-in intervals; it is back before.
	time.Sleep(poisonDown)
	s.mu.Lock()
	closed := s.closed
	s.mu.Unlock()
	if closed {
		return
	}
	s.store.remove("servers/" + x.id)
	if err := s.startSearcher(number, process+1, x.address); err != nil {
		s.record.event("searcher could not start again: %v", err)
	}
}

func newPoisonScene(e *environment) (*poisonScene, error) {
	s := &poisonScene{environment: e}
	var err error
	if s.store, err = newStore(); err != nil {
		return nil, err
	}
	for i := range poisonSearchers {
		if err := s.startSearcher(i, 1, ""); err != nil {
			return nil, err
		}
	}
	config, err := json.Marshal(map[string]any{
		"version": 1,
		"routes": []any{map[string]any{
			"name": "dev-lookup", "host": poisonHost, "prefix": "/timi402/", "route-type": "idempotent",
			"timeout-ms": poisonLimit.Milliseconds(), "target-latency-ms": 800, "priority": 2, "max-attempts": 2,
			"service": poisonService,
		}},
		"services": []any{map[string]any{"name": poisonService, "max-connections": 34, "health-path": "/health"}},
		"limits": map[string]any{
			"max-header-bytes": 16384, "max-body-bytes": 262144, "header-timeout-ms": 3000, "idle-timeout-ms": 15000,
		},
	})
	if err != nil {
		return nil, err
	}
	s.store.put("op/config", config)
	if s.fleet, err = newFleet(e.program, e.dir, s.store.address, e.record, poisonZones, 2); err != nil {
		return nil, err
	}
	if err := s.fleet.startAll(); err != nil {
		return nil, errors.Join(err, s.close())
	}
	if err := s.fleet.awaitReady(10 * time.Second); err != nil {
		return nil, errors.Join(err, s.close())
	}
	return s, nil
}

func (s *poisonScene) close() error {
	s.fleet.closeAll()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	for _, x := range s.running {
		x.close()
	}
	s.store.close()
	return nil
}

// sendPoison sends the crashing request once, on a new connection from an address of its own. The
// consumer leaves if it is to, or waits for the answer.
func (s *poisonScene) sendPoison(d *daemon, leaves bool) {
	wait := poisonLimit
	if leaves {
		wait = poisonLeaveAfter
	}
	id := newRequestID()
	ctx, cancel := context.WithTimeout(context.Background(), wait)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+poisonHost+poisonPath, nil)
	if err != nil {
		return
	}
	req.Header.Set("Request-Id", id)
	req.Header.Set("Request-Deadline", fmt.Sprint(poisonLimit.Milliseconds()))
	transport := &http.Transport{
		DisableKeepAlives: true,
		DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) {
			dialer := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.IPv4(127, 0, 0, 9)}}
			return dialer.DialContext(ctx, "tcp", d.front)
		},
	}
	s.record.sent(id, "crashing", d.name)
	resp, err := transport.RoundTrip(req)
	switch {
	case err == nil:
		s.record.answered(id, resp.StatusCode, resp.Header.Get("Retry-After"))
		_ = resp.Body.Close()
	case ctx.Err() != nil && leaves:
		s.record.answered(id, 0, "the consumer left")
	default:
		s.record.answered(id, 0, err.Error())
	}
}

// poisonLeaving sends a request that crashes its searchers again and again. Its consumer leaves
// each time.
func poisonLeaving(e *environment) (bool, error) {
	s, err := newPoisonScene(e)
	if err != nil {
		return false, err
	}
	defer func() { _ = s.close() }()
	stop := make(chan struct{})
	var wg sync.WaitGroup
	var counter atomic.Int64
	for i := range 25 {
		c := &consumer{name: fmt.Sprint("consumer-", i), zone: poisonZones[i%len(poisonZones)], fleet: s.fleet}
		wg.Go(func() {
			ticker := time.NewTicker(time.Second)
			defer ticker.Stop()
			for {
				select {
				case <-stop:
					return
				case <-ticker.C:
				}
				path := fmt.Sprintf("/timi402/%x", counter.Add(1))
				c.send(call{class: "dev-lookup", method: http.MethodGet, host: poisonHost, path: path, limit: poisonLimit})
			}
		})
	}
	time.Sleep(3 * time.Second)
	for i := range poisonSends {
		s.sendPoison(s.fleet.daemons[i%len(s.fleet.daemons)], e.trouble)
		time.Sleep(poisonGap)
	}
	close(stop)
	wg.Wait()
	return s.judge(), nil
}

// judge reports whether the crashing request reached searchers in more late retries than the
// rule allows.
func (s *poisonScene) judge() bool {
	s.mu.Lock()
	crashes := append([]time.Time(nil), s.crashes...)
	s.mu.Unlock()
	served, others := 0, 0
	late := 0
	for _, q := range s.record.snapshot() {
		if q.class == "dev-lookup" {
			others++
			if q.status == http.StatusOK {
				served++
			}
		}
		if q.class != "crashing" || len(crashes) < 3 {
			continue
		}
		for _, x := range q.runs {
			if x.at.After(crashes[2].Add(poisonTouch)) && q.sent.After(crashes[2].Add(poisonTouch)) {
				late++
				s.record.event("request %s, sent at %.3f s, reached %s", q.id, s.record.since(q.sent), strings.Join(searchersOf(q), " "))
				break
			}
		}
	}
	third := -1.0
	if len(crashes) >= 3 {
		third = s.record.since(crashes[2])
	}
	s.record.event("BUDGET: %d searchers crashed, the third at %.3f s; %d retries sent later than %.0f s after that reached searchers, %d are allowed; other requests served: %d of %d",
		len(crashes), third, late, poisonTouch.Seconds(), poisonRetries, served, others)
	return late > poisonRetries
}

func searchersOf(q request) []string {
	var out []string
	for _, x := range q.runs {
		out = append(out, x.searcher)
	}
	return out
}
