package withholder

// Evacuated reports whether the operators want nothing to be sent to the target.
func (s *State) Evacuated() bool { return s.evacuated.Load() }

// SetEvacuated begins or ends the evacuation of the target. It takes effect at once, also for
// requests that wait for a connection; those in flight go on. After an evacuation, the
// requests in flight are limited to one at first, as after a pause: the target has had no
// requests for a while and may need time to get up to speed.
func (s *State) SetEvacuated(evacuated bool) {
	if s.evacuated.Load() == evacuated {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.evacuated.Store(evacuated)
	if !evacuated {
		s.ramp = 1
		s.updateFull()
	}
}

// InFlight returns the number of requests of this daemon that the target has and has not
// answered yet.
func (s *State) InFlight() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.inFlight
}
