// Package metricsexporter counts requests by route and outcome, with a histogram of
// their latency, and serves the counts as JSON.
package metricsexporter

import (
	"encoding/json"
	"net/http"
	"sort"
	"sync"
	"time"
)

// bounds are the upper bounds of the histogram's buckets. A last bucket holds
// what lies beyond.
var bounds = []time.Duration{
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

type key struct {
	route   string
	outcome string
}

// series is one line of the page.
type series struct {
	Route   string `json:"route"`
	Outcome string `json:"outcome"`
	Count   uint64 `json:"count"`
	// Buckets counts the requests up to each of the page's bounds, and beyond.
	Buckets []uint64 `json:"buckets"`
}

// Exporter holds the counts. The zero value is ready for use. It is safe for
// concurrent use.
type Exporter struct {
	mu     sync.Mutex
	series map[key]*series
	gauges map[string]func() any
}

// Count records the end of a request.
func (m *Exporter) Count(route, outcome string, took time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	k := key{
		route:   route,
		outcome: outcome,
	}
	s := m.series[k]
	if s == nil {
		if m.series == nil {
			m.series = make(map[key]*series)
		}
		s = &series{
			Route:   route,
			Outcome: outcome,
			Buckets: make([]uint64, len(bounds)+1),
		}
		m.series[k] = s
	}
	s.Count++
	s.Buckets[sort.Search(len(bounds), func(i int) bool { return took <= bounds[i] })]++
}

// AddGauge adds a value that is read whenever the page is asked for.
func (m *Exporter) AddGauge(name string, read func() any) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.gauges == nil {
		m.gauges = make(map[string]func() any)
	}
	m.gauges[name] = read
}

// ServeHTTP implements http.Handler.
func (m *Exporter) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	// A caller that has left needs no answer.
	_ = json.NewEncoder(w).Encode(m.page())
}

type page struct {
	// Bounds are the upper bounds of the buckets in milliseconds.
	Bounds   []int64        `json:"bounds"`
	Requests []series       `json:"requests"`
	Values   map[string]any `json:"values"`
}

func (m *Exporter) page() page {
	m.mu.Lock()
	defer m.mu.Unlock()
	p := page{
		Values: make(map[string]any, len(m.gauges)),
	}
	for _, b := range bounds {
		p.Bounds = append(p.Bounds, b.Milliseconds())
	}
	for _, s := range m.series {
		one := *s
		one.Buckets = append([]uint64(nil), s.Buckets...)
		p.Requests = append(p.Requests, one)
	}
	sort.Slice(p.Requests, func(i, j int) bool {
		a, b := p.Requests[i], p.Requests[j]
		return a.Route < b.Route || a.Route == b.Route && a.Outcome < b.Outcome
	})
	for name, read := range m.gauges {
		p.Values[name] = read()
	}
	return p
}
