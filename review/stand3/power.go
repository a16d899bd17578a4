package main

import (
	"slices"
	"strings"
	"syscall"
	"time"
)

const (
	// applyBound is config-apply-ms of the small deployments.
	applyBound = 3000 * time.Millisecond
	// darkTime is how long the machines are without power.
	darkTime = 5 * time.Second
	// changeDelay is the time from the loss of power to the change of the configuration.
	changeDelay = 100 * time.Millisecond
)

// powerZones are the zones of the machines, in their order, and powerVictims the six of ten that lose power.
var (
	powerZones   = []string{"a", "a", "a", "a", "b", "b", "b", "c", "c", "c"}
	powerVictims = []string{"front-a-2", "front-a-4", "front-b-5", "front-b-6", "front-c-8", "front-c-10"}
)

// playPower takes the power from six of ten machines at the same moment, changes the configuration right
// after, and judges the requests to the four machines that nothing was done to.
func playPower(s *stage) (bool, error) {
	st, err := newStore()
	if err != nil {
		return false, err
	}
	ran := newRuns()
	if err := startServices(st, ran, "before", "after"); err != nil {
		return false, err
	}
	st.put("op/config", operators(1, movedRoutes("before"), "before", "after"))
	f, err := newFleet(s.program, s.folder, st, powerZones)
	if err != nil {
		return false, err
	}
	defer f.stopAll()
	if err := f.startAll(); err != nil {
		return false, err
	}
	// The machines are in touch, and the fleet has settled.
	time.Sleep(8 * time.Second)
	l := newLoad()
	for _, d := range f.daemons {
		if slices.Contains(powerVictims, d.id) {
			continue
		}
		l.run(d, 2, 40*time.Millisecond, moved(d.id))
	}
	time.Sleep(2 * time.Second)
	if s.trouble {
		s.say("six machines lose power: %s", strings.Join(powerVictims, ", "))
		for _, d := range f.daemons {
			if slices.Contains(powerVictims, d.id) {
				d.signal(syscall.SIGSTOP)
			}
		}
	}
	dark := time.Now()
	time.Sleep(changeDelay)
	st.put("op/config", operators(2, movedRoutes("after"), "before", "after"))
	confirmed := time.Now()
	s.say("version 2 moves the route from service before to service after, confirmed %v after the loss of power", confirmed.Sub(dark).Round(time.Millisecond))
	time.Sleep(time.Until(dark.Add(darkTime)))
	if s.trouble {
		for _, d := range f.daemons {
			if slices.Contains(powerVictims, d.id) {
				d.signal(syscall.SIGKILL)
				<-d.done
				if err := f.start(d); err != nil {
					return false, err
				}
			}
		}
		s.say("power is back after %v", time.Since(dark).Round(time.Millisecond))
	}
	time.Sleep(4 * time.Second)
	return judgeMoved(s, f, l.end(), ran, confirmed, "after"), nil
}
