package withholder

import (
	"log/slog"
	"time"

	"plantaincleat/entryd/pkg/sharer"
)

// Tolerance is what the rates of cold targets tolerate: in any second, a cold target may get
// its rate times Overage, plus Slack requests. The zero value counts as an overage of one and
// a slack of one request.
type Tolerance struct {
	Overage, Slack float64
}

const (
	// leastShared is the slack from which the second owner of a shard has a share as well.
	leastShared = 3
	// firstOwnerRate and secondOwnerRate are the fractions of the rate that the owners use.
	firstOwnerRate, secondOwnerRate = 0.9, 0.1
)

// split returns how the rate of a cold target is divided. Half of what is tolerated beyond
// the rate is used. The rest is left for daemons that do not agree yet on who sends.
func (t Tolerance) split() *sharer.Split {
	overage, slack := max(t.Overage, 1), max(t.Slack, 1)
	out := &sharer.Split{
		OwnerRates:     []float64{1},
		OwnerBurstTime: (overage - 1) / 2,
		OwnerBurst:     max(slack/2, 1),
		FleetBurstTime: (overage - 1) / 2,
		FleetBurst:     max(slack/2, 1),
	}
	if slack >= leastShared {
		out.OwnerRates = []float64{firstOwnerRate, secondOwnerRate}
		out.OwnerBurst = max(slack/2-1, 1)
	}
	return out
}

// Warming is what the configuration says of the warm-up of a target, and the daemon's place
// among those that send to it while it is cold.
type Warming struct {
	// Pace is the number of requests a second that the target takes from all daemons while it
	// is cold. Zero means that no rate is stated, so that nothing is limited.
	Pace float64
	// Duration is how long a target is cold, or zero if that is not stated.
	Duration time.Duration
	// StartedUntil is the end of the warm-up that began when the process started, and
	// StoredUntil is until when the store's word counts that the target is cold. They are zero
	// if there is none.
	StartedUntil, StoredUntil time.Time
	Tolerance                 Tolerance
	// Position is the daemon's place for the rate of a cold target. It may differ from that
	// for limits.
	Position sharer.Position
}

// Sources of the belief that a target is cold.
const (
	coldByStart  = "start"
	coldByStore  = "store"
	coldByAnswer = "answer"
)

// warmer is the warm-up of a process. The zero value is warm.
type warmer struct {
	Warming
	// announcedUntil is the end of the warm-up that the target has announced itself.
	announcedUntil time.Time
	// cold is true while the target was cold when last looked at, and bucket is the daemon's
	// share of its rate then.
	cold   bool
	bucket sharer.Bucket
	// logged is the belief that was logged last.
	logged bool
}

// until returns the end of the warm-up and who says so. It has passed if the target is warm.
func (w *warmer) until() (time.Time, string) {
	until, source := w.StartedUntil, coldByStart
	if w.StoredUntil.After(until) {
		until, source = w.StoredUntil, coldByStore
	}
	if w.announcedUntil.After(until) {
		until, source = w.announcedUntil, coldByAnswer
	}
	return until, source
}

// divide sets the daemon's share of the rate. It adds no tokens.
func (w *warmer) divide(now time.Time) {
	rate, burst := w.Position.Share(w.Pace, w.Tolerance.split())
	w.bucket.Set(now, rate, burst)
}

// SetWarming sets what the configuration says of the target's warm-up.
func (s *State) SetWarming(now time.Time, w Warming) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.warmer.Warming = w
	if s.warmer.cold && w.Pace > 0 {
		s.warmer.divide(now)
	}
	s.updatePaced(now)
}

// announceCold records that the process says that it stays cold for a time.
func (s *State) announceCold(now time.Time, remaining time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.warmer.Duration > 0 {
		remaining = min(remaining, s.warmer.Duration)
	}
	if until := now.Add(remaining); until.After(s.warmer.announcedUntil) {
		s.warmer.announcedUntil = until
	}
	s.updatePaced(now)
}

// updatePaced sets s.paced, and looks at the warm-up. s.mu is held.
func (s *State) updatePaced(now time.Time) {
	until, _ := s.warmer.until()
	s.paced.Store(s.warmer.cold || s.warmer.Pace > 0 && now.Before(until))
	s.warm(now)
}

// warm looks at the warm-up of the target and reports whether its rate is limited now. A
// target that turns cold has no tokens saved. After the warm-up, the requests in flight are
// limited to one at first. s.mu is held.
func (s *State) warm(now time.Time) bool {
	if !s.paced.Load() {
		return false
	}
	w := &s.warmer
	until, _ := w.until()
	cold := w.Pace > 0 && now.Before(until)
	switch {
	case cold && !w.cold:
		w.bucket = sharer.Bucket{}
		w.divide(now)
	case !cold:
		s.paced.Store(false)
		if w.cold {
			s.ramp = 1
			s.updateFull()
		}
	}
	w.cold = cold
	return cold
}

// ColdUntil returns the end of the target's warm-up and who says so, or the zero time if the
// target is warm.
func (s *State) ColdUntil(now time.Time) (until time.Time, source string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	until, source = s.warmer.until()
	if !now.Before(until) {
		return time.Time{}, ""
	}
	return until, source
}

// Pace returns the rate that a cold target takes from all daemons, or zero if the target is
// warm or no rate is stated, and the share of it that this daemon may use, both in requests a
// second.
func (s *State) Pace(now time.Time) (pace, share float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.warm(now) {
		return 0, 0
	}
	return s.warmer.Pace, s.warmer.bucket.Rate()
}

// logWarming logs that the process has turned cold or warm since the last call.
func (s *State) logWarming(now time.Time, p Process) {
	until, source := s.ColdUntil(now)
	cold := source != ""
	s.mu.Lock()
	changed := s.warmer.logged != cold
	s.warmer.logged = cold
	s.mu.Unlock()
	switch {
	case changed && cold:
		pace, share := s.Pace(now)
		slog.Info("target is cold", "target", p.ID, "incarnation", p.Incarnation, "from", source, "until", until, "rate", pace, "share", share)
	case changed:
		slog.Info("target is warm", "target", p.ID, "incarnation", p.Incarnation)
	}
}
