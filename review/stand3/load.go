package main

import (
	"math/rand"
	"sync"
	"time"
)

// seen is a request with what its caller has seen of it.
type seen struct {
	request
	outcome
	daemon string
	at     time.Time
}

// load is a set of ordinary callers, and what they have seen.
type load struct {
	stop chan struct{}
	wg   sync.WaitGroup

	mu   sync.Mutex
	list []*seen
}

func newLoad() *load {
	return &load{
		stop: make(chan struct{}),
	}
}

func (l *load) add(s *seen) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.list = append(l.list, s)
}

// run starts n callers that send requests to a daemon, one after the other, each on a connection that it
// keeps. build makes the i-th request of caller n.
func (l *load) run(d *daemon, n int, pause time.Duration, build func(n, i int, rng *rand.Rand) *request) {
	for c := range n {
		l.wg.Go(func() {
			rng := rand.New(rand.NewSource(int64(c) + 1))
			conn := &caller{
				address: d.front,
			}
			defer conn.close()
			for i := 0; ; i++ {
				select {
				case <-l.stop:
					return
				case <-time.After(time.Duration(rng.Int63n(int64(2 * pause)))):
				}
				r := build(c, i, rng)
				at := time.Now()
				l.add(&seen{
					request: *r,
					outcome: conn.do(r),
					daemon:  d.id,
					at:      at,
				})
			}
		})
	}
}

func (l *load) end() []*seen {
	close(l.stop)
	l.wg.Wait()
	return l.list
}

const host = "records.example"

// operators is the configuration of a small deployment.
func operators(version int, routes []map[string]any, services ...string) map[string]any {
	var list []map[string]any
	for _, name := range services {
		list = append(list, map[string]any{"name": name, "max-connections": 34, "health-path": "/health"})
	}
	return map[string]any{
		"version": version, "routes": routes, "services": list,
		"limits": map[string]any{"max-header-bytes": 16384, "max-body-bytes": 262144, "header-timeout-ms": 5000, "idle-timeout-ms": 30000},
	}
}
