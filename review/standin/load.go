package main

import (
	"math/rand/v2"
	"strings"
	"sync"
	"time"
)

// kind is a kind of request that consumers send.
type kind struct {
	method, prefix string
	// perSecond is the mean number of requests in a second.
	perSecond float64
	limit     time.Duration
	body      string
	// daemons are those that the consumers are connected to.
	daemons []*daemon
}

// choose returns the daemon for the next request, one in rotation if there is any.
func (k *kind) choose() *daemon {
	for range 20 {
		if d := k.daemons[rand.IntN(len(k.daemons))]; !d.out.Load() {
			return d
		}
	}
	return k.daemons[rand.IntN(len(k.daemons))]
}

// consumersPerDaemon is the number of consumers of a kind that keep a connection to a daemon.
const consumersPerDaemon = 12

// pool holds the consumers of one daemon that wait for nothing.
type pool struct {
	mu   sync.Mutex
	idle []*consumer
}

func (p *pool) take(log *journal) *consumer {
	p.mu.Lock()
	defer p.mu.Unlock()
	if n := len(p.idle); n > 0 {
		c := p.idle[n-1]
		p.idle = p.idle[:n-1]
		return c
	}
	return &consumer{log: log, host: host}
}

func (p *pool) put(c *consumer) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle) < consumersPerDaemon {
		p.idle = append(p.idle, c)
		return
	}
	c.close()
}

// load is traffic of one kind.
type load struct {
	stop func()
}

// startLoad sends requests at random times until it is stopped.
func (s *stand) startLoad(k kind) *load {
	var wg sync.WaitGroup
	ended := make(chan struct{})
	pools := make(map[*daemon]*pool)
	for _, d := range k.daemons {
		pools[d] = &pool{}
	}
	wg.Go(func() {
		for {
			gap := time.Duration(rand.ExpFloat64() / k.perSecond * float64(time.Second))
			select {
			case <-ended:
				return
			case <-time.After(gap):
			}
			d := k.choose()
			id := s.nextID()
			wg.Go(func() {
				c := pools[d].take(s.log)
				s.log.add("sent %s %s to %s", id, k.prefix, d.id)
				c.send(d.http, k.method, k.prefix+id, id, k.body, k.limit)
				pools[d].put(c)
			})
		}
	})
	return &load{stop: sync.OnceFunc(func() {
		close(ended)
		wg.Wait()
	})}
}

// refusal reports whether a status promises that the request was not run and never will be.
func refusal(status int) bool {
	return status == 503 || status == 429 || status == 408 || status == 421
}

// audit counts the requests under a prefix that are not idempotent and were run more than
// once, and those that were refused and run.
func (j *journal) audit(prefix string) (twice, refused int) {
	j.mu.Lock()
	defer j.mu.Unlock()
	for _, o := range j.outcomes {
		if !strings.HasPrefix(o.path, prefix) {
			continue
		}
		runs := j.runs[o.id]
		if len(runs) > 1 {
			twice++
			text := ""
			for _, r := range runs {
				text += " " + r.searcher.id
			}
			j.line("TWICE: %s was run by%s and answered with %d", o.id, text, o.status)
		}
		if refusal(o.status) && len(runs) > 0 {
			refused++
			j.line("REFUSED: %s was answered with %d and run by %s", o.id, o.status, runs[0].searcher.id)
		}
	}
	return twice, refused
}

// summary writes the number of answers by status.
func (j *journal) summary() {
	j.mu.Lock()
	defer j.mu.Unlock()
	counts := make(map[int]int)
	for _, o := range j.outcomes {
		counts[o.status]++
	}
	j.line("answers by status: %v", counts)
}
