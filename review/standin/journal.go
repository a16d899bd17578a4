package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// arrival is a request that has reached a searcher which is the one it was meant for.
type arrival struct {
	id       string
	searcher *searcher
	at       time.Time
}

// outcome is what a consumer has got for a request.
type outcome struct {
	id, path string
	// status is 0 if the connection ended without an answer.
	status   int
	sent, at time.Time
	// cut is true if the daemon has closed the connection, after it had read all of the
	// request, without an answer: with unread bytes it would have been reset.
	cut bool
	// daemon is the one that the request was sent to.
	daemon string
	header map[string]string
	body   []byte
}

// journal is the record of a run: what was sent, answered and run.
type journal struct {
	begin time.Time

	mu       sync.Mutex
	file     *os.File
	runs     map[string][]arrival
	arrivals []arrival
	outcomes []outcome
	// crashes holds when searchers have crashed.
	crashes []time.Time
}

func newJournal(path string) (*journal, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &journal{begin: time.Now(), file: f, runs: make(map[string][]arrival)}, nil
}

// add writes a line with the time since the begin in seconds.
func (j *journal) add(format string, args ...any) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.line(format, args...)
}

// line writes a line. j.mu is held.
func (j *journal) line(format string, args ...any) {
	fmt.Fprintf(j.file, "%8.3f ", time.Since(j.begin).Seconds())
	fmt.Fprintf(j.file, format+"\n", args...)
}

func (j *journal) arrived(s *searcher, id string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.arrivals = append(j.arrivals, arrival{id: id, searcher: s, at: time.Now()})
	j.line("arrived %s at %s of %s", id, s.id, s.service)
}

func (j *journal) ran(s *searcher, method, id, path string, size int) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.runs[id] = append(j.runs[id], arrival{id: id, searcher: s, at: time.Now()})
	j.line("run %s %s %s (%d bytes of body) by %s of %s", id, method, path, size, s.id, s.service)
}

func (j *journal) crashed(s *searcher, id string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.crashes = append(j.crashes, time.Now())
	j.line("crash of %s of %s under %s", s.id, s.service, id)
}

func (j *journal) answered(o outcome) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.outcomes = append(j.outcomes, o)
	text := ""
	if o.cut {
		text = ": connection was closed without an answer"
	}
	j.line("answered %s %s with %d after %d ms%s", o.id, o.path, o.status, o.at.Sub(o.sent).Milliseconds(), text)
}
