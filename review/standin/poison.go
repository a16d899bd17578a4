package main

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

// poisonPath is the path of the request that crashes each searcher that runs it.
const poisonPath = "/browse/poison"

// runPoison sends a request that crashes the searchers that run it again and again. Its
// consumer leaves before it has an answer.
func runPoison(s *stand) (verdict, error) {
	const (
		shards = 8
		// pause is the time between two sends of the request, and times their number.
		pause = 600 * time.Millisecond
		times = 11
		// leave is half of the latency target of the route.
		leave = 100 * time.Millisecond
		limit = 1200 * time.Millisecond
		// stable is stable-window-ms.
		stable = 4 * time.Second
	)
	var names []string
	for i := range shards {
		name := fmt.Sprintf("store-front-%d", i)
		names = append(names, name)
		for k := range 2 {
			one := &searcher{id: fmt.Sprintf("i-%02d-%d", i, k), service: name, zone: zones[(i+k)%3], slots: 2, queue: 12,
				work: around(28 * time.Millisecond), log: s.log, store: s.store, deadly: poisonPath, drops: (i+k)%4 != 0}
			if err := one.start(); err != nil {
				return verdict{}, err
			}
		}
	}
	s.configure(1, 25, []route{{Name: "r-browse", Host: host, Prefix: "/browse/", Type: "idempotent", Timeout: 1200, Latency: 200,
		Priority: 2, Attempts: 2, Shards: names, TopK: 20, Coverage: 0.89}}, names...)
	var err error
	if s.fleet, err = startFleet(s.log, s.dir, s.store, zones, 2, false); err != nil {
		return verdict{}, err
	}
	others := s.startLoad(kind{method: http.MethodGet, prefix: "/browse/x", perSecond: 50, limit: limit, daemons: s.fleet.daemons})
	time.Sleep(4 * time.Second)
	var sent []string
	for i := range times {
		id := s.nextID()
		sent = append(sent, id)
		d := s.fleet.daemons[i%len(s.fleet.daemons)]
		c := &consumer{log: s.log, host: host}
		s.log.add("sent %s %s to %s", id, poisonPath, d.id)
		if s.trouble {
			c.leaveAfter = leave
		}
		c.send(d.http, http.MethodGet, poisonPath, id, "", limit)
		c.close()
		time.Sleep(pause)
	}
	others.stop()
	s.log.summary()
	late, ended := s.log.retries(sent, stable)
	return verdict{broken: late > 3, text: fmt.Sprintf("a request under which three searchers had ended reached searchers in %d retries sent more than %v later; %d searchers ended in all", late, stable, ended)}, nil
}

// retries counts the sends of a request that have reached a searcher and were sent later than
// stable after the third searcher had ended under it, and the searchers that have ended.
func (j *journal) retries(sent []string, stable time.Duration) (late, ended int) {
	j.mu.Lock()
	defer j.mu.Unlock()
	ended = len(j.crashes)
	if ended < 3 {
		return 0, ended
	}
	third := j.crashes[2]
	reached := make(map[string]int)
	for _, a := range j.arrivals {
		reached[a.id]++
	}
	for _, o := range j.outcomes {
		if !strings.HasPrefix(o.path, poisonPath) || reached[o.id] == 0 || o.sent.Sub(third) <= stable {
			continue
		}
		late++
		j.line("BUDGET: %s was sent %d ms after the third crash and reached %d searchers", o.id, o.sent.Sub(third).Milliseconds(), reached[o.id])
	}
	return late, ended
}
