package main

import (
	"encoding/json"
	"fmt"
	"math/rand"
	"net/http"
	"sort"
	"strings"
	"sync"
	"time"
)

// The cap of the tenants, and what rule QUOTA allows in a window.
const (
	quotaRate    = 20.0
	quotaBurst   = 10.0
	quotaWindow  = 5 * time.Second
	quotaOverage = 0.1
	quotaSlack   = 20
	quotaTenants = 200
	// nodeCutTime is how long the machine is cut off, and hotBegins and hotTime are when the tenant
	// begins to send 7.5 times its usual, counted from the cut, and for how long.
	nodeCutTime = 10 * time.Second
	hotBegins   = 3000 * time.Millisecond
	hotTime     = 6500 * time.Millisecond
	// hotCallers callers send hotRate requests a second together; hotHere of hotParts of them are at
	// the machine that is cut off.
	hotCallers = 60
	hotRate    = 150
	hotParts   = 10
	hotHere    = 4
)

// cutOff is the machine that is cut off, and quotaZones are the zones of the machines.
const cutOff = "front-a-3"

var quotaZones = strings.Split(strings.Repeat("a", 6)+strings.Repeat("b", 7)+strings.Repeat("c", 7), "")

// allowed is the number of requests of a tenant that the rule allows in a window.
func allowed() int {
	return int((quotaRate*quotaWindow.Seconds()+quotaBurst)*(1+quotaOverage)) + quotaSlack
}

// lendsFor returns the tenants whose tokens a daemon lends.
func (d *daemon) lendsFor() ([]string, error) {
	client := http.Client{
		Timeout: time.Second,
	}
	resp, err := client.Get("http://" + d.meter + "/limits")
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	var list []struct {
		Institution string `json:"institution"`
		Role        string `json:"role"`
	}
	if err := json.NewDecoder(resp.Body).Decode(&list); err != nil {
		return nil, err
	}
	var out []string
	for _, i := range list {
		if i.Role == "lender" {
			out = append(out, i.Institution)
		}
	}
	return out, nil
}

// playQuota cuts one machine off from all other machines, and counts the requests of the tenant whose tokens
// it lends.
func playQuota(s *stage) (bool, error) {
	st, err := newStore()
	if err != nil {
		return false, err
	}
	ran := newRuns()
	if err := startServices(st, ran, "editor"); err != nil {
		return false, err
	}
	cfg := operators(1, movedRoutes("editor"), "editor")
	var tenants []map[string]any
	for i := range quotaTenants {
		tenants = append(tenants, map[string]any{
			"name": fmt.Sprintf("tenant-%03d", i), "api-keys": []string{fmt.Sprintf("key-of-tenant-%03d", i)}, "rate-per-s": quotaRate, "burst": quotaBurst,
		})
	}
	cfg["tenants"] = tenants
	st.put("op/config", cfg)
	f, err := newFleet(s.program, s.folder, st, quotaZones)
	if err != nil {
		return false, err
	}
	defer f.stopAll()
	if err := f.linkPeers(); err != nil {
		return false, err
	}
	if err := f.startAll(); err != nil {
		return false, err
	}
	// A daemon lends once it has run for a window and some more.
	time.Sleep(12 * time.Second)
	var lender *daemon
	for _, d := range f.daemons {
		if d.id == cutOff {
			lender = d
		}
	}
	lent, err := lender.lendsFor()
	if err != nil || len(lent) == 0 {
		return false, fmt.Errorf("%s lends for no tenant: %v", cutOff, err)
	}
	tenant := lent[0]
	s.say("%s lends the tokens of %s", cutOff, tenant)
	key := "Authorization: Bearer key-of-" + tenant
	if s.trouble {
		f.cutPeers(lender, true)
		s.say("%s is cut off from all other machines", cutOff)
	}
	begin := time.Now()
	var wg sync.WaitGroup
	var mu sync.Mutex
	var list []*seen
	for n := range hotCallers {
		wg.Go(func() {
			d := lender
			if n%hotParts >= hotHere {
				d = f.daemons[(n*7)%len(f.daemons)]
			}
			rng := rand.New(rand.NewSource(int64(n) + 1))
			c := &caller{
				address: d.front,
			}
			defer c.close()
			time.Sleep(time.Until(begin.Add(hotBegins)))
			for i := 0; ; i++ {
				pause := time.Second * hotCallers / hotRate
				time.Sleep(pause/2 + time.Duration(rng.Int63n(int64(pause))))
				if time.Since(begin) >= hotBegins+hotTime {
					return
				}
				r := &request{
					id: fmt.Sprintf("%s-%d-%d", d.id, n, i), method: http.MethodGet, host: host, path: fmt.Sprintf("/moved/%d-%d", n, i), limit: time.Second, header: []string{key},
				}
				x := &seen{
					request: *r,
					at:      time.Now(),
					daemon:  d.id,
				}
				x.outcome = c.do(r)
				mu.Lock()
				list = append(list, x)
				mu.Unlock()
			}
		})
	}
	time.Sleep(time.Until(begin.Add(nodeCutTime)))
	if s.trouble {
		f.cutPeers(lender, false)
		s.say("the cut has ended after %v", time.Since(begin).Round(time.Millisecond))
	}
	wg.Wait()
	type arrival struct {
		sent, at time.Time
		here     bool
	}
	var arrivals []arrival
	for _, x := range list {
		rs := ran.of(x.id)
		s.note("%s", describe(x, rs, x.at.Sub(begin)))
		if len(rs) > 0 {
			arrivals = append(arrivals, arrival{
				sent: x.at,
				at:   rs[0].at,
				here: strings.HasPrefix(x.id, cutOff),
			})
		}
	}
	sort.Slice(arrivals, func(i, j int) bool { return arrivals[i].sent.Before(arrivals[j].sent) })
	most, here, from := 0, 0, time.Duration(0)
	for i, a := range arrivals {
		n, h := 0, 0
		for _, b := range arrivals[i:] {
			if b.at.Sub(a.sent) <= quotaWindow {
				n++
				if b.here {
					h++
				}
			}
		}
		if n > most {
			most, here, from = n, h, a.sent.Sub(begin)
		}
	}
	s.say("%d requests of the tenant were sent, %d run; most in a window of %v: %d (%d of them at %s), from %.3f s on; %d are allowed", len(list), len(arrivals), quotaWindow, most, here, cutOff, from.Seconds(), allowed())
	return most > allowed(), nil
}
