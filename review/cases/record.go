package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// request is what is known of one consumer attempt.
type request struct {
	id     string
	class  string
	via    string
	sent   time.Time
	ended  time.Time
	status int
	note   string
	// runs holds when and where searchers began to work on the request.
	runs []run
}

type run struct {
	at       time.Time
	searcher string
	tenant   string
}

// record keeps what was sent, answered and run, and writes it to a file.
type record struct {
	begin time.Time

	mu       sync.Mutex
	requests map[string]*request
	order    []*request
	events   []string
}

func newRecord() *record {
	return &record{begin: time.Now(), requests: make(map[string]*request)}
}

// find returns the entry of a request. The caller holds r.mu.
func (r *record) find(id string) *request {
	q := r.requests[id]
	if q == nil {
		q = &request{id: id}
		r.requests[id] = q
		r.order = append(r.order, q)
	}
	return q
}

func (r *record) sent(id, class, via string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	q := r.find(id)
	q.class, q.via, q.sent = class, via, time.Now()
}

func (r *record) answered(id string, status int, note string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	q := r.find(id)
	q.status, q.note, q.ended = status, note, time.Now()
}

func (r *record) ran(id, searcher, tenant string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	q := r.find(id)
	q.runs = append(q.runs, run{at: time.Now(), searcher: searcher, tenant: tenant})
}

// event records something that the case has done or found.
func (r *record) event(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf("%8.3f %s", time.Since(r.begin).Seconds(), fmt.Sprintf(format, args...))
	r.events = append(r.events, line)
	fmt.Println(line)
}

// snapshot returns copies of all requests in the order in which they were sent.
func (r *record) snapshot() []request {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []request
	for _, q := range r.order {
		c := *q
		c.runs = append([]run(nil), q.runs...)
		out = append(out, c)
	}
	return out
}

func (r *record) since(t time.Time) float64 {
	if t.IsZero() {
		return -1
	}
	return t.Sub(r.begin).Seconds()
}

// write writes the events and then a line for each request.
func (r *record) write(path string) error {
	f, err := os.Create(path)
	if err != nil {
		return err
	}
	w := bufio.NewWriter(f)
	r.mu.Lock()
	for _, e := range r.events {
		fmt.Fprintln(w, e)
	}
	r.mu.Unlock()
	fmt.Fprintln(w, "\nrequests: id, class, daemon, sent s, ended s, status (0: no answer), note, runs (searcher tenant at s)")
	for _, q := range r.snapshot() {
		fmt.Fprintf(w, "%s %s %s %.3f %.3f %d %q", q.id, q.class, q.via, r.since(q.sent), r.since(q.ended), q.status, q.note)
		for _, x := range q.runs {
			fmt.Fprintf(w, " [%s %s %.3f]", x.searcher, x.tenant, r.since(x.at))
		}
		fmt.Fprintln(w)
	}
	if err := w.Flush(); err != nil {
		return err
	}
	return f.Close()
}
