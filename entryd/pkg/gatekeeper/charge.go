package gatekeeper

import (
	"time"

	"plantaincleat/entryd/pkg/accountant"
)

const (
	// waitingPart is the part of the bytes of the account, as a divisor, that answers may hold which
	// wait for room.
	waitingPart = 4
	// roomChecks is the number of times that something asks for room while it has patience, whatever
	// is released.
	roomChecks = 5
	// woken is the number of waiting requests that a release wakes.
	woken = 4
)

var (
	// impatience is that of what does not wait.
	impatience patience
	// requestPatience is that of a request: until those that make way have released what they hold.
	requestPatience = patience{
		limit:        200 * time.Millisecond,
		untilRefused: true,
	}
	// answerPatience is that of an answer: until others have been read, or are old enough to make way.
	answerPatience = patience{
		limit: time.Second,
	}
)

// release gives back n bytes of a connection.
func (k *Keeper) release(c *conn, n int64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.account.Release(c.id, n)
	k.wakeLocked()
}

// releaseAll gives back all bytes of a connection, which enters a phase.
func (k *Keeper) releaseAll(c *conn, phase accountant.Phase) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.account.Enter(c.id, phase, k.Clock.Now())
	k.account.ReleaseAll(c.id)
	k.wakeLocked()
}

// wakeLocked wakes the requests that have waited for longest for room. All of them would ask at once,
// for room that only a few find. The caller holds k.mu.
func (k *Keeper) wakeLocked() {
	n := min(len(k.waiters), woken)
	for _, w := range k.waiters[:n] {
		close(w)
	}
	k.waiters = k.waiters[n:]
}

// Reserve charges n bytes for a request that comes on no connection of the keeper's listener. It does
// not wait. It reports whether there is room; release then gives it back.
func (k *Keeper) Reserve(n int64) (release func(), ok bool) {
	k.mu.Lock()
	id := k.account.Join()
	k.mu.Unlock()
	verdict, _ := k.tryCharge(id, n, impatience)
	release = func() {
		k.mu.Lock()
		defer k.mu.Unlock()
		k.account.ReleaseAll(id)
		k.wakeLocked()
	}
	if verdict != accountant.Granted {
		release()
		return nil, false
	}
	return release, true
}

// charge charges n bytes to a connection, once there is room. It reports whether there is.
func (k *Keeper) charge(c *conn, n int64) bool {
	verdict, released := k.tryCharge(c.id, n, requestPatience)
	if released != nil {
		return k.chargeLater(c, n, released, requestPatience)
	}
	return verdict == accountant.Granted
}

// chargeAnswer is like charge for an answer, which is held already. It also waits for others that may
// have been read by then, unless too many bytes wait.
func (k *Keeper) chargeAnswer(c *conn, n int64) bool {
	verdict, released := k.tryCharge(c.id, n, answerPatience)
	if verdict == accountant.Granted {
		return true
	}
	defer k.waiting.Add(-n)
	if k.waiting.Add(n) > k.Limits.Bytes/waitingPart {
		return false
	}
	return k.chargeLater(c, n, released, answerPatience)
}

// patience is how long something waits for room.
type patience struct {
	limit time.Duration
	// untilRefused is true if it does not wait once there is nothing that makes way.
	untilRefused bool
}

// waitsAfter reports whether something waits after a verdict.
func (p patience) waitsAfter(v accountant.Verdict) bool {
	return p.limit > 0 && (v == accountant.Deferred || v == accountant.Refused && !p.untilRefused)
}

// chargeLater charges n bytes to a connection as soon as there is room. It reports whether there is
// while it has patience. released is closed when something is released.
func (k *Keeper) chargeLater(c *conn, n int64, released <-chan struct{}, p patience) bool {
	timeout := k.Clock.NewTimer(p.limit)
	defer timeout.Stop()
	// What has become old enough to make way is not told.
	again := k.Clock.NewTicker(p.limit / roomChecks)
	defer again.Stop()
	for {
		select {
		case <-released:
		case <-again.Chan():
		case <-c.evicted:
			return false
		case <-timeout.Chan():
			return false
		}
		var verdict accountant.Verdict
		if verdict, released = k.tryCharge(c.id, n, p); released == nil {
			return verdict == accountant.Granted
		}
	}
}

// tryCharge asks the account once and evicts the connection that makes way. If p waits after the
// verdict, it returns a channel that is closed when bytes are released.
func (k *Keeper) tryCharge(id accountant.ID, n int64, p patience) (accountant.Verdict, <-chan struct{}) {
	k.mu.Lock()
	verdict, victim := k.account.Charge(id, n, k.Clock.Now())
	var released chan struct{}
	if p.waitsAfter(verdict) {
		released = make(chan struct{})
		k.waiters = append(k.waiters, released)
	}
	evicted := k.conns[victim]
	switch {
	case evicted != nil:
		k.counts.Evicted++
	case verdict == accountant.Refused:
		k.counts.Refused++
	}
	k.mu.Unlock()
	if evicted != nil {
		evicted.evict()
	}
	if verdict != accountant.Granted {
		k.tell()
	}
	return verdict, released
}
