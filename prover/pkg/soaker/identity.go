package soaker

import (
	"fmt"
	"net/http"
	"time"
)

// checkKeysSettled checks, once the run has recovered, that every daemon refuses the removed
// keys and accepts those in force.
func (s *Soak) checkKeysSettled() {
	client := &http.Client{Timeout: callerDeadline}
	s.keys.mu.Lock()
	removed := append([]string{"soak-key-of-nobody"}, s.keys.removed...)
	present := append([]issuedKey{}, s.keys.present[0]...)
	present = append(present, s.keys.present[1]...)
	s.keys.mu.Unlock()
	for _, d := range s.fleet.daemons {
		for _, key := range removed {
			if status := s.callWithKey(client, d, routeKeyedOne, issuedKey{key: key}); status != http.StatusUnauthorized {
				s.ledger.addFinding("daemon %d answers %d to key %s, which is not in force, after the last disruption", d.number, status, key)
			}
		}
		for _, key := range present {
			if status := s.callWithKey(client, d, routeKeyedOne, key); status != http.StatusOK {
				s.ledger.addFinding("daemon %d answers %d to key %s, which is in force, after the last disruption", d.number, status, key.key)
			}
		}
	}
}

// checkIdentities checks what targets have received against the keys of the requests, and
// the answers to requests with keys against the configurations.
func (s *Soak) checkIdentities() {
	executed, arrivals := make(map[string]bool), 0
	for _, t := range s.fleet.platform.AllTargets() {
		for id := range t.ExecutionCounts() {
			executed[id] = true
		}
		for _, a := range t.ListArrivals() {
			arrivals++
			if err := s.fleet.platform.CheckIdentity(a); err != nil {
				s.ledger.addFinding("%v", err)
			}
		}
	}
	history := keyHistory{
		ran:     make(map[string]bool),
		refused: make(map[string]time.Time),
	}
	statuses := make(map[int]int)
	for _, c := range s.keys.calls {
		statuses[c.status]++
		s.checkKeyedCall(c, executed[c.id], &history)
	}
	s.events = append(s.events, fmt.Sprintf("keys: %d issued, %d removed, calls by status %v, %d arrivals checked", s.keys.issued, len(s.keys.removed), statuses, arrivals))
}

// keyHistory holds, by daemon and key, whether the daemon has run the key, and when it has
// first refused it after that and after its removal.
type keyHistory struct {
	ran     map[string]bool
	refused map[string]time.Time
}

// checkKeyedCall checks one request with a key. A removed key must not run once it was
// removed for inForceLimit, nor once the same process has refused it. A key must not be
// refused once it was in force for inForceLimit.
func (s *Soak) checkKeyedCall(c *keyedCall, executed bool, h *keyHistory) {
	if executed && c.status == http.StatusUnauthorized {
		s.ledger.addFinding("request %s was answered 401 but executed", c.id)
	}
	name := fmt.Sprint(c.daemon, " ", c.key.key)
	h.ran[name] = h.ran[name] || executed
	removed, isRemoved := s.fleet.platform.KeyRemoved(c.key.key)
	if !isRemoved || c.sent.Before(removed) {
		if c.status == http.StatusUnauthorized && !c.key.added.IsZero() && c.sent.Sub(c.key.added) > inForceLimit && s.ledger.undisrupted(c.daemon, c.key.added, c.sent) {
			s.ledger.addFinding("request %s: daemon %d refuses a key that is in force since %v", c.id, c.daemon, c.sent.Sub(c.key.added))
		}
		return
	}
	first, known := h.refused[name]
	switch {
	case c.status == http.StatusUnauthorized && !known && h.ran[name]:
		h.refused[name] = c.sent
	case executed && known && s.ledger.sameProcess(c.daemon, first, c.sent):
		s.ledger.addFinding("request %s: daemon %d runs key %s again, which it has refused", c.id, c.daemon, c.key.key)
	case executed && c.sent.Sub(removed) > inForceLimit && s.ledger.undisrupted(c.daemon, removed, c.sent):
		s.ledger.addFinding("request %s: daemon %d runs key %s, removed %v before", c.id, c.daemon, c.key.key, c.sent.Sub(removed))
	}
}
