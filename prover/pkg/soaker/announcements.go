package soaker

import (
	"fmt"
	"math/rand/v2"
	"time"

	"plantaincleat/standin/pkg/arrivalchecker"
)

const (
	// maxLeaving bounds the targets of a run that announce that they are leaving and whose
	// entries stay ready.
	maxLeaving = 2
	// minPause and maxPause bound the pauses that targets ask for.
	minPause = 500 * time.Millisecond
	maxPause = 3 * time.Second
)

// announceLeaving makes a target announce in its answers, until the end of the run, that
// it is leaving. It is done at most maxLeaving times in a run.
func (s *Soak) announceLeaving(r *rand.Rand, _ time.Duration) {
	targets := s.fleet.platform.ServiceTargets(fmt.Sprintf("shard-%02d", r.IntN(shards)))
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(targets) == 0 || s.leavingTargets == maxLeaving {
		return
	}
	s.leavingTargets++
	targets[len(targets)-1].SetLeaving(true)
}

// askForPauses makes the targets of a service refuse requests and ask for pauses until the
// duration has passed: one of them, or all in one of four cases.
func (s *Soak) askForPauses(r *rand.Rand, duration time.Duration) {
	defer s.ledger.beginDisruption(s.allNumbers()...)()
	service := "single"
	if n := r.IntN(shards + 1); n < shards {
		service = fmt.Sprintf("shard-%02d", n)
	}
	targets := s.fleet.platform.ServiceTargets(service)
	if len(targets) == 0 {
		return
	}
	if r.IntN(4) > 0 {
		targets = targets[:1]
	}
	pause := minPause + time.Duration(r.Int64N(int64(maxPause-minPause)))
	for _, t := range targets {
		t.AskForPauses(pause)
	}
	time.Sleep(duration + pause)
	for _, t := range targets {
		t.AskForPauses(0)
	}
}

// checkAnnouncements checks that requests of daemons which have heard an announcement of a
// target do not reach it. A restart or a freeze of the daemon since then excuses it, and so
// does a disruption of its links within stableWindow before the arrival, which may have
// held the request up.
func (s *Soak) checkAnnouncements() {
	heard, late := 0, 0
	for _, t := range s.fleet.platform.AllTargets() {
		for _, d := range s.fleet.daemons {
			c := arrivalchecker.Checker{
				DrainLimit: drainLimit,
				Forgotten:  func(heard, at time.Time) bool { return !s.ledger.sameProcess(d.number, heard, at) },
				HeldUp:     func(at time.Time) bool { return !s.ledger.undisrupted(d.number, at.Add(-stableWindow), at) },
			}
			r := c.Check(t.ListArrivalsFrom(d.ip))
			heard += r.Heard
			late += r.AfterLeaving + r.InPause
			if r.AfterLeaving > 0 {
				s.ledger.addFinding("daemon %d: %d requests reached %s later than %v after it announced that it is leaving", d.number, r.AfterLeaving, t.ID(), drainLimit)
			}
			if r.BrokenPauses > 0 {
				s.ledger.addFinding("daemon %d: too many requests reached %s in %d pauses", d.number, t.ID(), r.BrokenPauses)
			}
		}
	}
	s.events = append(s.events, fmt.Sprintf("announcements: %d heard by daemons, %d late arrivals", heard, late))
}
