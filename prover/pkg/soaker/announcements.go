package soaker

import (
	"fmt"
	"math/rand/v2"
	"time"

	"plantaincleat/standin/pkg/httpresponder"
	"plantaincleat/standin/pkg/platformsimulator"
)

const (
	// maxLeaving bounds the targets of a run that announce that they are leaving and whose
	// entries stay ready.
	maxLeaving = 2
	// minPause and maxPause bound the pauses that targets ask for.
	minPause = 500 * time.Millisecond
	maxPause = 3 * time.Second
	// pauseSlack is the time after a target has asked for a pause from which at most
	// maxPauseArrivals requests of a daemon may reach it until the end of the pause.
	pauseSlack       = 500 * time.Millisecond
	maxPauseArrivals = 2
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
			a := &arrivalChecker{
				ledger: &s.ledger,
				daemon: d,
			}
			for _, arrival := range t.ListArrivals() {
				if arrival.From == d.ip {
					a.add(arrival)
				}
			}
			heard += a.heard
			late += a.late
			a.report(t)
		}
	}
	s.events = append(s.events, fmt.Sprintf("announcements: %d heard by daemons, %d late arrivals", heard, late))
}

// arrivalChecker checks the requests of one daemon that have reached one target, in their
// order.
type arrivalChecker struct {
	ledger *ledger
	daemon *daemon
	// leavingSince is when the daemon heard that the target is leaving, or zero.
	leavingSince time.Time
	// pauseBegin and pauseEnd are the bounds of the last pause that the target has asked
	// the daemon for, and inPause counts the requests in it after pauseSlack.
	pauseBegin, pauseEnd time.Time
	inPause              int
	// heard counts the announcements, afterLeaving the late requests to a leaving target,
	// and pausesBroken the pauses with too many requests.
	heard, late                int
	afterLeaving, pausesBroken int
}

func (c *arrivalChecker) add(a httpresponder.Arrival) {
	c.forget(a.At)
	counts := c.ledger.undisrupted(c.daemon.number, a.At.Add(-stableWindow), a.At)
	if !c.leavingSince.IsZero() && a.At.Sub(c.leavingSince) > drainLimit && counts {
		c.late++
		c.afterLeaving++
	}
	if a.Leaving && c.leavingSince.IsZero() {
		c.heard++
		c.leavingSince = a.At
	}
	switch {
	case a.At.Before(c.pauseEnd):
		if a.At.Sub(c.pauseBegin) > pauseSlack && counts {
			c.late++
			c.inPause++
		}
		if c.inPause == maxPauseArrivals+1 {
			c.pausesBroken++
		}
	case a.Pause > 0:
		c.heard++
		c.pauseBegin, c.pauseEnd, c.inPause = a.At, a.At.Add(a.Pause), 0
	}
}

// forget drops the announcements after which the daemon was frozen or restarted before a
// time.
func (c *arrivalChecker) forget(at time.Time) {
	if !c.leavingSince.IsZero() && !c.ledger.sameProcess(c.daemon.number, c.leavingSince, at) {
		c.leavingSince = time.Time{}
	}
	if !c.pauseEnd.IsZero() && !c.ledger.sameProcess(c.daemon.number, c.pauseBegin, at) {
		c.pauseEnd = time.Time{}
	}
}

// report records as findings what the arrivals at a target have broken.
func (c *arrivalChecker) report(t *platformsimulator.Target) {
	if c.afterLeaving > 0 {
		c.ledger.addFinding("daemon %d: %d requests reached %s later than %v after it announced that it is leaving", c.daemon.number, c.afterLeaving, t.ID(), drainLimit)
	}
	if c.pausesBroken > 0 {
		c.ledger.addFinding("daemon %d: more than %d requests reached %s in each of %d pauses", c.daemon.number, maxPauseArrivals, t.ID(), c.pausesBroken)
	}
}
