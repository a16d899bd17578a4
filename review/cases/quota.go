package main

import (
	"encoding/json"
	"errors"
	"fmt"
	mathrand "math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"time"
)

// The deployment of the cases on usage caps: six daemons in three zones, and ten searchers of
// one service.
var quotaZones = []string{"okecie-a", "balice-b", "lawica-c"}

const (
	quotaRate    = 20.0
	quotaBurst   = 10.0
	quotaWindow  = 5 * time.Second
	quotaOverage = 0.1
	quotaSlack   = 20.0
	// usualRate is what the tenant sends a second as a rule, and hotFactor times that is what
	// it sends for hotTime.
	usualRate = 20.0
	hotFactor = 7.5
	hotTime   = 6500 * time.Millisecond

	quotaHost   = "pucu74.example"
	quotaTenant = "tenant-hot"
	quotaKey    = "k-5d1f0c77a2b94e6b"
)

// quotaScene is a running deployment with a tenant that has a usage cap.
type quotaScene struct {
	*environment
	store     *store
	fleet     *fleet
	searchers []*searcher
	// rate is the number of requests that the tenant sends a second.
	mu   sync.Mutex
	rate float64
	stop chan struct{}
	wg   sync.WaitGroup
}

// newQuotaScene starts a deployment. With z, its zones can be cut off.
func newQuotaScene(e *environment, z *zones) (*quotaScene, error) {
	s := &quotaScene{environment: e, rate: usualRate, stop: make(chan struct{})}
	var err error
	if s.store, err = newStore(); err != nil {
		return nil, err
	}
	for i := range 10 {
		x := &searcher{
			id:      fmt.Sprintf("i-%08x", 0x5a10c000+i),
			service: "plan-editor",
			zone:    quotaZones[i%len(quotaZones)],
			slots:   4,
			queue:   12,
			work:    10 * time.Millisecond,
			zones:   z,
		}
		if err := x.start(s.store, e.record); err != nil {
			return nil, err
		}
		s.searchers = append(s.searchers, x)
	}
	config, err := json.Marshal(map[string]any{
		"version": 1,
		"routes": []any{map[string]any{
			"name": "plan-refresh", "host": quotaHost, "prefix": "/plan/", "route-type": "idempotent",
			"timeout-ms": 2000, "target-latency-ms": 800, "priority": 1, "max-attempts": 2, "service": "plan-editor",
		}},
		"services": []any{map[string]any{"name": "plan-editor", "max-connections": 590, "health-path": "/health"}},
		"limits": map[string]any{
			"max-header-bytes": 16384, "max-body-bytes": 262144, "header-timeout-ms": 3000, "idle-timeout-ms": 15000,
		},
		"tenants": []any{
			map[string]any{"name": quotaTenant, "api-keys": []string{quotaKey}, "rate-per-s": quotaRate, "burst": quotaBurst},
			map[string]any{"name": "tenant-calm", "api-keys": []string{"k-77e0aa41c3d25f90"}, "rate-per-s": 50, "burst": 20},
		},
	})
	if err != nil {
		return nil, err
	}
	s.store.put("op/config", config)
	if s.fleet, err = newFleet(e.program, e.dir, s.store.address, e.record, quotaZones, 2); err != nil {
		return nil, err
	}
	if z != nil {
		if err := s.fleet.separate(z); err != nil {
			return nil, err
		}
	}
	if err := s.fleet.startAll(); err != nil {
		s.fleet.closeAll()
		return nil, err
	}
	if err := s.fleet.awaitReady(10 * time.Second); err != nil {
		s.fleet.closeAll()
		return nil, err
	}
	return s, nil
}

func (s *quotaScene) close() {
	close(s.stop)
	s.wg.Wait()
	s.fleet.closeAll()
	for _, x := range s.searchers {
		x.close()
	}
	s.store.close()
}

func (s *quotaScene) setRate(rate float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rate = rate
	s.record.event("the tenant sends %.0f requests a second", rate)
}

// send starts the tenant's consumers, spread evenly over the zones.
func (s *quotaScene) send(consumers int) {
	for i := range consumers {
		c := &consumer{name: fmt.Sprint("consumer-", i), zone: quotaZones[i%len(quotaZones)], fleet: s.fleet}
		s.wg.Go(func() { s.sendFrom(c, float64(consumers), mathrand.Float64()) })
	}
}

// sendFrom sends one consumer's part of the tenant's requests. due is the part of the next
// interval between two requests that has passed already.
func (s *quotaScene) sendFrom(c *consumer, consumers, due float64) {
	const step = 5 * time.Millisecond
	ticker := time.NewTicker(step)
	defer ticker.Stop()
	last := time.Now()
	for {
		select {
		case <-s.stop:
			return
		case now := <-ticker.C:
			s.mu.Lock()
			due += now.Sub(last).Seconds() * s.rate / consumers
			s.mu.Unlock()
			last = now
		}
		if due < 1 {
			continue
		}
		due--
		c.send(call{class: "plan-refresh", method: http.MethodGet, host: quotaHost, path: "/plan/2f", key: quotaKey, limit: 2 * time.Second})
		// What was due while the request was open is not sent later.
		due, last = min(due, 1), time.Now()
	}
}

// lender returns the daemon that lends the tenant's tokens.
func (s *quotaScene) lender() (*daemon, error) {
	var found []*daemon
	for _, d := range s.fleet.daemons {
		var limits []struct {
			Institution string `json:"institution"`
			Role        string `json:"role"`
		}
		if err := d.metricsJSON("/limits", &limits); err != nil {
			continue
		}
		for _, l := range limits {
			if l.Institution == quotaTenant && l.Role == "lender" {
				found = append(found, d)
			}
		}
	}
	if len(found) != 1 {
		return nil, fmt.Errorf("%d daemons say that they are the lender", len(found))
	}
	return found[0], nil
}

// lenderAmong returns which of some daemons the others take for the lender, or the first.
func (s *quotaScene) lenderAmong(list []*daemon) *daemon {
	for i := len(list) - 1; i >= 0; i-- {
		var limits []struct {
			Institution string `json:"institution"`
			Lender      string `json:"lender"`
		}
		if err := list[i].metricsJSON("/limits", &limits); err != nil {
			continue
		}
		for _, l := range limits {
			for _, d := range list {
				if l.Institution == quotaTenant && l.Lender == d.name {
					return d
				}
			}
		}
	}
	return list[0]
}

// judge reports whether some window has more requests of the tenant than its usage cap allows.
func (s *quotaScene) judge() bool {
	type ranRequest struct{ sent, arrived time.Time }
	var list []ranRequest
	via := make(map[string]string)
	for _, q := range s.record.snapshot() {
		for _, x := range q.runs {
			if x.tenant == quotaTenant {
				list = append(list, ranRequest{q.sent, x.at})
				via[x.at.String()] = q.via
				// An extra send of the same request is not another request of the tenant.
				break
			}
		}
	}
	most, worst := 0, time.Time{}
	for _, first := range list {
		n := 0
		for _, other := range list {
			if !other.sent.Before(first.sent) && !other.arrived.After(first.sent.Add(quotaWindow)) {
				n++
			}
		}
		if n > most {
			most, worst = n, first.sent
		}
	}
	allowed := (quotaRate*quotaWindow.Seconds()+quotaBurst)*(1+quotaOverage) + quotaSlack
	share := make(map[string]int)
	for _, other := range list {
		if !other.sent.Before(worst) && !other.arrived.After(worst.Add(quotaWindow)) {
			share[via[other.arrived.String()]]++
		}
	}
	var names []string
	for name := range share {
		names = append(names, name)
	}
	slices.Sort(names)
	s.record.event("QUOTA: at most %d requests were sent and run in a window of %.0f s, from %.3f s; %.0f are allowed", most, quotaWindow.Seconds(), s.record.since(worst), allowed)
	for _, name := range names {
		s.record.event("  through %s: %d", name, share[name])
	}
	return float64(most) > allowed
}

// quotaFreeze freezes the daemon that lends the tenant's tokens for 3.5 s. The tenant
// sends many times its usual from shortly before the daemon wakes.
func quotaFreeze(e *environment) (bool, error) {
	const freeze = 3500 * time.Millisecond
	s, err := newQuotaScene(e, nil)
	if err != nil {
		return false, err
	}
	defer s.close()
	s.send(60)
	time.Sleep(14 * time.Second)
	l, err := s.lender()
	if err != nil {
		return false, errors.New("no lender: " + err.Error())
	}
	e.record.event("lender of the tenant: %s", l.name)
	if e.trouble {
		e.record.event("freeze of %s", l.name)
		l.signal(syscall.SIGSTOP)
	}
	time.Sleep(freeze - 500*time.Millisecond)
	s.setRate(hotFactor * usualRate)
	time.Sleep(500 * time.Millisecond)
	if e.trouble {
		l.signal(syscall.SIGCONT)
		e.record.event("%s wakes", l.name)
	}
	time.Sleep(hotTime - 500*time.Millisecond)
	s.setRate(usualRate)
	time.Sleep(8 * time.Second)
	return s.judge(), nil
}

// quotaRoll stops and starts all daemons, one each second: each time that which lends the
// tenant's tokens by then. The tenant sends many times its usual from shortly before.
func quotaRoll(e *environment) (bool, error) {
	const gap = time.Second
	s, err := newQuotaScene(e, nil)
	if err != nil {
		return false, err
	}
	defer s.close()
	s.send(60)
	time.Sleep(14 * time.Second)
	if _, err := s.lender(); err != nil {
		return false, errors.New("no lender: " + err.Error())
	}
	s.setRate(hotFactor * usualRate)
	calm := time.AfterFunc(hotTime, func() { s.setRate(usualRate) })
	defer calm.Stop()
	var wg sync.WaitGroup
	for left := slices.Clone(s.fleet.daemons); len(left) > 0 && e.trouble; {
		d := s.lenderAmong(left)
		left = slices.DeleteFunc(left, func(o *daemon) bool { return o == d })
		e.record.event("SIGTERM to %s", d.name)
		d.signal(syscall.SIGTERM)
		wg.Go(func() { s.startAgain(d) })
		time.Sleep(gap)
	}
	wg.Wait()
	time.Sleep(8 * time.Second)
	return s.judge(), nil
}

// startAgain starts a daemon that was told to stop, as the platform does.
func (s *quotaScene) startAgain(d *daemon) {
	const grace = 6 * time.Second
	if !d.awaitExit(grace) {
		s.record.event("SIGKILL to %s", d.name)
		d.signal(syscall.SIGKILL)
		d.awaitExit(time.Second)
	}
	time.Sleep(300 * time.Millisecond)
	if err := s.fleet.startDaemon(d); err != nil {
		s.record.event("start of %s: %v", d.name, err)
		return
	}
	s.record.event("start of %s", d.name)
}

// quotaCut cuts a zone off for two times six seconds, and kills its daemons shortly after the
// cut has begun.
func quotaCut(e *environment) (bool, error) {
	const cut = 12 * time.Second
	z := newZones()
	s, err := newQuotaScene(e, z)
	if err != nil {
		return false, err
	}
	defer s.close()
	s.send(60)
	time.Sleep(14 * time.Second)
	l, err := s.lender()
	if err != nil {
		return false, errors.New("no lender: " + err.Error())
	}
	e.record.event("lender of the tenant: %s", l.name)
	zone := quotaZones[0]
	if l.zone == zone {
		zone = quotaZones[1]
	}
	if e.trouble {
		e.record.event("%s is cut off", zone)
		z.setCut(zone)
	}
	time.Sleep(300 * time.Millisecond)
	var wg sync.WaitGroup
	for _, d := range s.fleet.daemons {
		if e.trouble && d.zone == zone {
			e.record.event("SIGKILL to %s", d.name)
			d.signal(syscall.SIGKILL)
			wg.Go(func() { s.startAgain(d) })
		}
	}
	wg.Wait()
	time.Sleep(cut - hotTime - time.Second)
	s.setRate(hotFactor * usualRate)
	time.Sleep(hotTime)
	s.setRate(usualRate)
	if e.trouble {
		z.setCut("")
		e.record.event("the cut has ended")
	}
	time.Sleep(8 * time.Second)
	return s.judge(), nil
}
