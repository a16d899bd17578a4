package httpresponder

import "time"

// AskForPauses makes the target refuse requests with status 503 and ask each sender for a
// pause of the given length. Zero ends it.
func (r *Responder) AskForPauses(length time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.pauseLength = length
	r.pauses = make(map[string]time.Time)
}

// pauseFor returns the pause to ask a sender for, or zero. A sender that comes back in its
// pause is told the rest of it. r.mu is held.
func (r *Responder) pauseFor(from string, now time.Time) time.Duration {
	if r.pauseLength <= 0 {
		return 0
	}
	end, asked := r.pauses[from]
	if !asked || !now.Before(end) {
		end = now.Add(r.pauseLength)
		r.pauses[from] = end
	}
	return end.Sub(now)
}
