package main

import (
	"encoding/json"
	"fmt"
	"math/rand"
	"net/http"
	"strings"
	"time"
)

const (
	// cutTime is how long the machines are partitioned from the store.
	cutTime = 5500 * time.Millisecond
	// changeBefore and changeAfter are the times of the two changes of the configuration, before and
	// after the cut begins.
	changeBefore = 300 * time.Millisecond
	changeAfter  = 100 * time.Millisecond
)

// reads reports whether a daemon says in its metrics that it reads the store.
func (d *daemon) reads() (bool, error) {
	client := http.Client{
		Timeout: time.Second,
	}
	resp, err := client.Get("http://" + d.meter + "/metrics")
	if err != nil {
		return false, err
	}
	defer resp.Body.Close()
	var m struct {
		Values struct {
			Reader bool `json:"reader"`
		} `json:"values"`
	}
	err = json.NewDecoder(resp.Body).Decode(&m)
	return m.Values.Reader, err
}

// movedRoutes is the configuration of one route to a service.
func movedRoutes(service string) []map[string]any {
	return []map[string]any{
		{"name": "moved", "host": host, "prefix": "/moved/", "route-type": "idempotent", "timeout-ms": 4000, "target-latency-ms": 250, "priority": 1, "max-attempts": 2, "service": service},
	}
}

// startServices starts three searchers of each service.
func startServices(st *store, ran *runs, services ...string) error {
	for _, service := range services {
		for i := range 3 {
			sr := &searcher{
				id: fmt.Sprintf("%s-%d", service, i), service: service, zone: []string{"a", "b", "c"}[i], slots: 8, queue: 32, runs: ran,
				work: func(*http.Request) (time.Duration, int) { return 5 * time.Millisecond, 400 },
			}
			if err := sr.start(st); err != nil {
				return err
			}
		}
	}
	return nil
}

// moved builds requests to the moved route.
func moved(prefix string) func(n, i int, rng *rand.Rand) *request {
	return func(n, i int, _ *rand.Rand) *request {
		id := fmt.Sprintf("%s-%d-%d", prefix, n, i)
		return &request{
			id: id, method: http.MethodGet, host: host, path: "/moved/" + id, limit: time.Second,
		}
	}
}

// describe returns a line on a request: when it was sent, what its caller has seen and which searchers ran it.
func describe(x *seen, ran []run, since time.Duration) string {
	answer := fmt.Sprint("answered ", x.status)
	if x.err != nil {
		answer = "no answer: " + x.err.Error()
	}
	var by []string
	for _, r := range ran {
		by = append(by, r.searcher)
	}
	return fmt.Sprintf("%s sent to %s %.3f s after the confirmation, %s after %v, run by %v", x.id, x.daemon, since.Seconds(), answer, x.took.Round(time.Millisecond), by)
}

// judgeMoved reports whether a request that was sent later than applyBound after the confirmation was run by
// a service of an older version.
func judgeMoved(s *stage, f *fleet, list []*seen, ran *runs, confirmed time.Time, current string) bool {
	broken := false
	stale, last, total := make(map[string]int), make(map[string]time.Duration), make(map[string]int)
	for _, x := range list {
		since := x.at.Sub(confirmed)
		ran := ran.of(x.id)
		s.note("%s", describe(x, ran, since))
		for _, r := range ran {
			total[x.daemon]++
			if strings.HasPrefix(r.searcher, current) || since <= 0 {
				continue
			}
			last[x.daemon] = max(last[x.daemon], since)
			if since > applyBound {
				stale[x.daemon]++
			}
		}
	}
	for _, d := range f.daemons {
		if total[d.id] > 0 {
			s.say("%s: %d requests run, the last one of an older version was sent %v after the confirmation; %d later than %v", d.id, total[d.id], last[d.id].Round(time.Millisecond), stale[d.id], applyBound)
		}
		broken = broken || stale[d.id] > 0
	}
	return broken
}

// playCut partitions one machine of each zone from the store, changes the configuration meanwhile, and judges
// the requests to the machines that reach the store all the time.
func playCut(s *stage) (bool, error) {
	st, err := newStore()
	if err != nil {
		return false, err
	}
	ran := newRuns()
	if err := startServices(st, ran, "first", "second", "third"); err != nil {
		return false, err
	}
	services := []string{"first", "second", "third"}
	st.put("op/config", operators(1, movedRoutes("first"), services...))
	f, err := newFleet(s.program, s.folder, st, []string{"a", "a", "b", "b", "c", "c"})
	if err != nil {
		return false, err
	}
	defer f.stopAll()
	links := make(map[string]*proxy)
	for _, d := range f.daemons {
		if links[d.id], err = newProxy(st.address); err != nil {
			return false, err
		}
		if err := f.settle(d, links[d.id].address); err != nil {
			return false, err
		}
	}
	if err := f.startAll(); err != nil {
		return false, err
	}
	// The machines are in touch, and the fleet has settled.
	time.Sleep(10 * time.Second)
	var cut []string
	l := newLoad()
	for _, d := range f.daemons {
		reads, err := d.reads()
		if err != nil {
			return false, err
		}
		if reads {
			cut = append(cut, d.id)
			continue
		}
		l.run(d, 2, 40*time.Millisecond, moved(d.id))
	}
	time.Sleep(2 * time.Second)
	st.put("op/config", operators(2, movedRoutes("second"), services...))
	time.Sleep(changeBefore)
	if s.trouble {
		s.say("partitioned from the store: %s", strings.Join(cut, ", "))
		for _, id := range cut {
			links[id].cut(true)
		}
	}
	begin := time.Now()
	time.Sleep(changeAfter)
	st.put("op/config", operators(3, movedRoutes("third"), services...))
	confirmed := time.Now()
	s.say("version 3 moves the route from service second to service third, confirmed %v after the cut began", confirmed.Sub(begin).Round(time.Millisecond))
	time.Sleep(time.Until(begin.Add(cutTime)))
	if s.trouble {
		for _, id := range cut {
			links[id].cut(false)
		}
		s.say("the cut has ended after %v", time.Since(begin).Round(time.Millisecond))
	}
	time.Sleep(4 * time.Second)
	return judgeMoved(s, f, l.end(), ran, confirmed, "third"), nil
}
