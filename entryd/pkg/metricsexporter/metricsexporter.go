// Package metricsexporter counts requests by route and outcome, with a histogram of
// their latency, and serves the counts and further values as JSON over HTTP.
package metricsexporter

import (
	"encoding/json"
	"net/http"
	"sort"
	"sync"
	"time"
)

// latencyBounds are the inclusive upper bounds of the histogram's buckets. One more
// bucket counts the longer latencies.
var latencyBounds = []time.Duration{
	5 * time.Millisecond,
	10 * time.Millisecond,
	20 * time.Millisecond,
	40 * time.Millisecond,
	80 * time.Millisecond,
	160 * time.Millisecond,
	320 * time.Millisecond,
	640 * time.Millisecond,
	1280 * time.Millisecond,
	2560 * time.Millisecond,
}

type seriesKey struct {
	route   string
	outcome string
}

// series holds the counts of one route and outcome.
type series struct {
	Route   string `json:"route"`
	Outcome string `json:"outcome"`
	Count   uint64 `json:"count"`
	// Buckets counts the requests by latency: for each of latencyBounds those up
	// to it and above the previous one, then those above all bounds.
	Buckets []uint64 `json:"buckets"`
}

// Exporter holds and serves the metrics of a process. The zero value is ready for
// use. It is safe for concurrent use.
type Exporter struct {
	mu     sync.Mutex
	series map[seriesKey]*series
	gauges map[string]func() any
}

// Count records the end of a request and its latency.
func (e *Exporter) Count(route, outcome string, took time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	k := seriesKey{
		route:   route,
		outcome: outcome,
	}
	s := e.series[k]
	if s == nil {
		if e.series == nil {
			e.series = make(map[seriesKey]*series)
		}
		s = &series{
			Route:   route,
			Outcome: outcome,
			Buckets: make([]uint64, len(latencyBounds)+1),
		}
		e.series[k] = s
	}
	s.Count++
	s.Buckets[sort.Search(len(latencyBounds), func(i int) bool { return took <= latencyBounds[i] })]++
}

// AddGauge adds a value under a name. The function read is called each time the
// metrics are served. It must not call the Exporter.
func (e *Exporter) AddGauge(name string, read func() any) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.gauges == nil {
		e.gauges = make(map[string]func() any)
	}
	e.gauges[name] = read
}

// ServeHTTP implements http.Handler.
func (e *Exporter) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	// An error means that the client has closed the connection.
	_ = json.NewEncoder(w).Encode(e.page())
}

// page is the JSON document that is served.
type page struct {
	// Bounds are the upper bounds of the buckets in milliseconds.
	Bounds   []int64        `json:"bounds"`
	Requests []series       `json:"requests"`
	Values   map[string]any `json:"values"`
}

func (e *Exporter) page() page {
	e.mu.Lock()
	defer e.mu.Unlock()
	p := page{
		Values: make(map[string]any, len(e.gauges)),
	}
	for _, b := range latencyBounds {
		p.Bounds = append(p.Bounds, b.Milliseconds())
	}
	for _, s := range e.series {
		one := *s
		one.Buckets = append([]uint64(nil), s.Buckets...)
		p.Requests = append(p.Requests, one)
	}
	sort.Slice(p.Requests, func(i, j int) bool {
		a, b := p.Requests[i], p.Requests[j]
		return a.Route < b.Route || a.Route == b.Route && a.Outcome < b.Outcome
	})
	for name, read := range e.gauges {
		p.Values[name] = read()
	}
	return p
}
