package soaker

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"plantaincleat/standin/pkg/httpresponder"
)

const (
	// evacuateLimit is the time after an order within which daemons that are not disrupted
	// must obey it.
	evacuateLimit = 5 * time.Second
	// evacuatedTime is how much longer than other disruptions an evacuation lasts.
	evacuatedTime = 6 * time.Second
	// transitLimit is the time that a request which was sent before its daemon heard of an
	// order may take through the relay.
	transitLimit = 500 * time.Millisecond
)

// evacuationRecord is one evacuation and which daemons were seen to obey it.
type evacuationRecord struct {
	dataCentre string
	ordered    time.Time
	// takenBack is zero until the order is taken back.
	takenBack time.Time
	// heard holds when each daemon was first seen to list the order, by its number.
	heard map[int]time.Time
}

// evacuations records the evacuations of a run. The zero value is ready for use. It is safe for
// concurrent use.
type evacuations struct {
	mu      sync.Mutex
	running sync.Mutex
	records []*evacuationRecord
}

// evacuate orders the evacuation of a data centre, and takes it back after the duration and
// evacuatedTime. Only one data centre is evacuated at a time.
func (s *Soak) evacuate(r *rand.Rand, duration time.Duration) {
	if !s.evacuations.running.TryLock() {
		return
	}
	defer s.evacuations.running.Unlock()
	defer s.ledger.beginDisruption(s.allNumbers()...)()
	s.evacuateFor(dataCentres[r.IntN(len(dataCentres))], duration+evacuatedTime)
}

// evacuateFor evacuates a data centre for a time, and returns the record.
func (s *Soak) evacuateFor(dataCentre string, length time.Duration) *evacuationRecord {
	rec := &evacuationRecord{
		dataCentre: dataCentre,
		heard:      make(map[int]time.Time),
	}
	s.order(dataCentre)
	rec.ordered = time.Now()
	s.evacuations.mu.Lock()
	s.evacuations.records = append(s.evacuations.records, rec)
	s.evacuations.mu.Unlock()
	client := &http.Client{Timeout: pollInterval}
	for time.Since(rec.ordered) < length {
		for _, d := range s.fleet.daemons {
			if _, known := rec.heard[d.number]; !known && s.obeys(client, d, dataCentre) {
				rec.heard[d.number] = time.Now()
			}
		}
		time.Sleep(pollInterval)
	}
	s.takeBack(rec)
	return rec
}

func (s *Soak) order(dataCentre string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.fleet.platform.Evacuate(dataCentre); err != nil {
		s.ledger.addFinding("order to evacuate %s: %v", dataCentre, err)
	}
}

// takeBack writes the order again and removes it, since the store may have returned from a copy
// without it.
func (s *Soak) takeBack(rec *evacuationRecord) {
	s.mu.Lock()
	defer s.mu.Unlock()
	rec.takenBack = time.Now()
	err := s.fleet.platform.Evacuate(rec.dataCentre)
	if err == nil {
		err = s.fleet.platform.TakeBack(rec.dataCentre)
	}
	if err != nil {
		s.ledger.addFinding("take back the evacuation of %s: %v", rec.dataCentre, err)
	}
}

// obeys reports whether a daemon lists the evacuation of a data centre.
func (s *Soak) obeys(client *http.Client, d *daemon, dataCentre string) bool {
	resp, err := client.Get(fmt.Sprintf("http://%s/evacuations", s.fleet.daemonAddress(d, portAdmin)))
	if err != nil {
		return false
	}
	defer func() { _ = resp.Body.Close() }()
	var list []struct {
		DataCentre string `json:"datacentre"`
	}
	if err := json.NewDecoder(resp.Body).Decode(&list); err != nil {
		return false
	}
	for _, e := range list {
		if e.DataCentre == dataCentre {
			return true
		}
	}
	return false
}

// checkEvacuation checks, under load and without disruptions, that all daemons obey an order in
// time and that the data centre gets requests again.
func (s *Soak) checkEvacuation() {
	dataCentre := dataCentres[int(s.options.Seed)%len(dataCentres)]
	rec := s.evacuateFor(dataCentre, evacuateLimit+servedPeriod)
	for _, d := range s.fleet.daemons {
		if heard, ok := rec.heard[d.number]; !ok || heard.Sub(rec.ordered) > evacuateLimit {
			s.ledger.addFinding("daemon %d did not obey the evacuation of %s within %v", d.number, dataCentre, evacuateLimit)
		}
	}
	time.Sleep(evacuateLimit)
	if s.arrivalsAfter(dataCentre, rec.takenBack) == 0 {
		s.ledger.addFinding("no request has reached %s for %v after its evacuation was taken back", dataCentre, evacuateLimit)
	}
}

// arrivalsAfter returns the number of requests that have reached the targets of a data centre
// after a time.
func (s *Soak) arrivalsAfter(dataCentre string, since time.Time) int {
	n := 0
	for _, t := range s.fleet.platform.AllTargets() {
		if t.DataCentre == dataCentre {
			n += len(slices.DeleteFunc(t.ListArrivals(), func(a httpresponder.Arrival) bool { return a.At.Before(since) }))
		}
	}
	return n
}

// checkEvacuations checks that no request of a daemon that has obeyed an evacuation reaches the
// data centre later than transitLimit after that and before it is taken back. A restart or a freeze of the daemon since then excuses
// it, and so does a disruption of its links within stableWindow before the arrival, which may
// have held the request up.
func (s *Soak) checkEvacuations() {
	heard, late := 0, 0
	for _, rec := range s.evacuations.records {
		heard += len(rec.heard)
		for _, t := range s.fleet.platform.AllTargets() {
			if t.DataCentre != rec.dataCentre {
				continue
			}
			for _, d := range s.fleet.daemons {
				for _, a := range s.lateArrivals(rec, d, t.ListArrivalsFrom(d.ip)) {
					late++
					s.ledger.addFinding("daemon %d: request %s reached %s %v after the daemon obeyed the evacuation of %s", d.number, a.Request, t.ID(), a.At.Sub(rec.heard[d.number]), rec.dataCentre)
				}
			}
		}
	}
	s.events = append(s.events, fmt.Sprintf("evacuations: %d, %d times obeyed by daemons, %d late arrivals", len(s.evacuations.records), heard, late))
}

// lateArrivals returns the arrivals that an evacuation which a daemon obeyed forbids.
func (s *Soak) lateArrivals(rec *evacuationRecord, d *daemon, arrivals []httpresponder.Arrival) []httpresponder.Arrival {
	heard, ok := rec.heard[d.number]
	if !ok {
		return nil
	}
	var out []httpresponder.Arrival
	for _, a := range arrivals {
		if a.At.After(heard.Add(transitLimit)) && a.At.Before(rec.takenBack) && s.ledger.sameProcess(d.number, heard, a.At) && !s.ledger.cut(d.number, a.At.Add(-stableWindow), a.At) {
			out = append(out, a)
		}
	}
	return out
}
