package soaker

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"plantaincleat/standin/pkg/relayer"
)

// maxDelayMicros bounds the delay of a slow link, in microseconds.
const maxDelayMicros = 60_000

// randomRule returns a random disruption of the links whose names match a
// pattern.
func randomRule(r *rand.Rand, pattern string) relayer.Rule {
	rules := []relayer.Rule{
		{Link: pattern, Action: relayer.Reset},
		{Link: pattern, Action: relayer.Cut},
		{Link: pattern, Action: relayer.Cut, Direction: relayer.Up},
		{Link: pattern, Action: relayer.Cut, Direction: relayer.Down},
		{Link: pattern, Action: relayer.Pass, DelayMicros: 1 + r.Int64N(maxDelayMicros)},
	}
	return rules[r.IntN(len(rules))]
}

// linkFault returns a disruption of one kind of link, by the function that
// names the link of a daemon. It affects one or two links.
func linkFault(name func(int) string) func(*Soak, *rand.Rand, time.Duration) {
	return func(s *Soak, r *rand.Rand, duration time.Duration) {
		defer s.ledger.beginDisruption(s.allNumbers()...)()
		for range 1 + r.IntN(2) {
			number := s.randomDaemon(r).number
			defer s.fleet.addRules(randomRule(r, name(number)))()
			defer s.ledger.beginCut(number)()
		}
		time.Sleep(duration)
	}
}

// targetLink disrupts the link to one target, or those to all replicas of a
// shard.
func (s *Soak) targetLink(r *rand.Rand, duration time.Duration) {
	pattern := fmt.Sprintf("target-shard-%02d-%d", r.IntN(shards), r.IntN(replicas))
	switch r.IntN(4) {
	case 0:
		pattern = fmt.Sprintf("target-shard-%02d-*", r.IntN(shards))
	case 1:
		pattern = "target-single-0"
	}
	defer s.fleet.addRules(randomRule(r, pattern))()
	time.Sleep(duration)
}

// isolateDaemons keeps some daemons, those of a data centre, or all from all targets.
func (s *Soak) isolateDaemons(r *rand.Rand, duration time.Duration) {
	defer s.ledger.beginDisruption(s.allNumbers()...)()
	isolated := s.allNumbers()
	switch r.IntN(4) {
	case 0:
	case 1:
		dc := r.IntN(len(dataCentres))
		isolated = slices.DeleteFunc(isolated, func(n int) bool { return n%len(dataCentres) != dc })
	default:
		r.Shuffle(len(isolated), func(i, j int) { isolated[i], isolated[j] = isolated[j], isolated[i] })
		isolated = isolated[:1+r.IntN(len(isolated)-1)]
	}
	action := []relayer.Action{relayer.Cut, relayer.Reset, relayer.Refuse}[r.IntN(3)]
	defer s.fleet.addRules(s.fleet.isolationRules(action, isolated)...)()
	defer s.ledger.beginCut(isolated...)()
	time.Sleep(duration)
}

// isolationRules returns the relay rules that keep daemons from all targets.
func (f *fleet) isolationRules(action relayer.Action, isolated []int) []relayer.Rule {
	var rules []relayer.Rule
	for _, number := range isolated {
		rules = append(rules, relayer.Rule{
			Link:   targetLink("*"),
			From:   daemonPrefix(f.daemons[number]),
			Action: action,
		})
	}
	return rules
}

// partitionDataCentre partitions a data centre from the others.
func (s *Soak) partitionDataCentre(r *rand.Rand, duration time.Duration) {
	defer s.ledger.beginDisruption(s.allNumbers()...)()
	action := []relayer.Action{relayer.Cut, relayer.Reset}[r.IntN(2)]
	dc := r.IntN(len(dataCentres))
	defer s.fleet.addRules(s.fleet.partitionRules(dc, action)...)()
	for _, d := range s.fleet.daemons {
		if d.number%len(dataCentres) == dc {
			defer s.ledger.beginCut(d.number)()
		}
	}
	time.Sleep(duration)
}

// partitionRules returns the relay rules that partition a data centre from the
// others. The store stays reachable.
func (f *fleet) partitionRules(dc int, action relayer.Action) []relayer.Rule {
	var rules []relayer.Rule
	for _, d := range f.daemons {
		for from := range dataCentres {
			if own := d.number % len(dataCentres); own != from && (own == dc || from == dc) {
				rules = append(rules, relayer.Rule{
					Link:   peerLink(d.number),
					From:   dataCentrePrefix(from),
					Action: action,
				})
			}
		}
	}
	for _, t := range f.platform.AllTargets() {
		for from, name := range dataCentres {
			if t.DataCentre != name && (t.DataCentre == dataCentres[dc] || from == dc) {
				rules = append(rules, relayer.Rule{
					Link:   "target-" + t.ID(),
					From:   dataCentrePrefix(from),
					Action: action,
				})
			}
		}
	}
	return rules
}
