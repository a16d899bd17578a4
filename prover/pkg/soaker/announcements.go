package soaker

import (
	"fmt"
	"math/rand/v2"
	"time"

	"plantaincleat/standin/pkg/arrivalchecker"
	"plantaincleat/standin/pkg/platformsimulator"
)

const (
	// maxLeaving bounds the targets of a run that announce that they are leaving and whose
	// entries stay ready.
	maxLeaving = 2
	// minPause and maxPause bound the pauses that targets ask for.
	minPause = 500 * time.Millisecond
	maxPause = 3 * time.Second
	// minLimit and maxLimit bound the limits that targets name, in requests a second, and
	// limitTime is how much longer than other disruptions they last.
	minLimit  = 1.0
	maxLimit  = 30.0
	limitTime = 6 * time.Second
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

// pickTargets returns one target of a random service, or all of them in one of four cases. It
// returns none if none of them runs.
func (s *Soak) pickTargets(r *rand.Rand) []*platformsimulator.Target {
	service := "single"
	if n := r.IntN(shards + 1); n < shards {
		service = fmt.Sprintf("shard-%02d", n)
	}
	targets := s.fleet.platform.ServiceTargets(service)
	if len(targets) > 0 && r.IntN(4) > 0 {
		targets = targets[:1]
	}
	return targets
}

// askForPauses makes the targets of a service refuse requests and ask for pauses until the
// duration has passed: one of them, or all in one of four cases.
func (s *Soak) askForPauses(r *rand.Rand, duration time.Duration) {
	defer s.ledger.beginDisruption(s.allNumbers()...)()
	targets := s.pickTargets(r)
	if len(targets) == 0 {
		return
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

// nameLimits makes the targets of a service name limits in their answers until the duration
// and limitTime have passed: one of them, or all in one of four cases.
func (s *Soak) nameLimits(r *rand.Rand, duration time.Duration) {
	defer s.ledger.beginDisruption(s.allNumbers()...)()
	targets := s.pickTargets(r)
	if len(targets) == 0 {
		return
	}
	limit := fmt.Sprintf("%.1f", minLimit+r.Float64()*(maxLimit-minLimit))
	for _, t := range targets {
		t.SetLimit(limit)
	}
	time.Sleep(duration + limitTime)
	for _, t := range targets {
		t.SetLimit("")
	}
}

// checkLimits checks that all daemons together have sent no target more requests than it
// named as its limit. A restart, a freeze or a cut of a daemon since it heard of the limit
// excuses that daemon.
func (s *Soak) checkLimits() {
	told, arrivals := 0, 0
	byAddress := make(map[string]int)
	for _, d := range s.fleet.daemons {
		byAddress[d.ip] = d.number
	}
	for _, t := range s.fleet.platform.AllTargets() {
		c := arrivalchecker.LimitChecker{
			Excused: func(from string, heard, at time.Time) bool {
				d := byAddress[from]
				return !s.ledger.sameProcess(d, heard, at) || s.ledger.cut(d, heard, at)
			},
		}
		r := c.Check(t.ListArrivals())
		told += r.Told
		arrivals += r.Arrivals
		if r.Broken > 0 {
			s.ledger.addFinding("%s got %.0f requests more than its limit allows in four seconds, %d times", t.ID(), r.Most, r.Broken)
		}
	}
	s.events = append(s.events, fmt.Sprintf("limits: %d heard by daemons, %d arrivals within them", told, arrivals))
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
