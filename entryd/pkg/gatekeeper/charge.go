package gatekeeper

import (
	"time"

	"plantaincleat/entryd/pkg/accountant"
)

const (
	// maxRoomWait bounds the time for which a request waits until those that make way have released
	// what they hold, and maxAnswerWait that for which an answer waits until others have been read
	// or have made way.
	maxRoomWait   = 200 * time.Millisecond
	maxAnswerWait = time.Second
	// waitingPart is the part of the bytes of the account that may wait so, as a divisor.
	waitingPart = 4
	// roomChecks is the number of times that a request asks for room in that time, whatever is
	// released.
	roomChecks = 5
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

// wakeLocked wakes the requests that wait for room. The caller holds k.mu.
func (k *Keeper) wakeLocked() {
	if k.released != nil {
		close(k.released)
		k.released = nil
	}
}

// Reserve charges n bytes for a request that comes on no connection of the keeper's listener. It does
// not wait. It reports whether there is room; release then gives it back.
func (k *Keeper) Reserve(n int64) (release func(), ok bool) {
	k.mu.Lock()
	id := k.account.Join()
	k.mu.Unlock()
	verdict, _ := k.tryCharge(id, n)
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
	verdict, released := k.tryCharge(c.id, n)
	if verdict == accountant.Deferred {
		return k.chargeLater(c, n, released, maxRoomWait)
	}
	return verdict == accountant.Granted
}

// chargeAnswer is like charge for an answer, which is held already. It also waits for others that may
// have been read by then, unless too many bytes wait.
func (k *Keeper) chargeAnswer(c *conn, n int64) bool {
	verdict, released := k.tryCharge(c.id, n)
	if verdict == accountant.Granted {
		return true
	}
	defer k.waiting.Add(-n)
	if k.waiting.Add(n) > k.Limits.Bytes/waitingPart {
		return false
	}
	return k.chargeLater(c, n, released, maxAnswerWait)
}

// chargeLater charges n bytes to a connection as soon as there is room. It reports whether there is
// within a time. released is closed when something is released.
func (k *Keeper) chargeLater(c *conn, n int64, released <-chan struct{}, limit time.Duration) bool {
	timeout := k.Clock.NewTimer(limit)
	defer timeout.Stop()
	// What has become old enough to make way is not told.
	again := k.Clock.NewTicker(limit / roomChecks)
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
		if verdict, released = k.tryCharge(c.id, n); verdict == accountant.Granted {
			return true
		}
	}
}

// tryCharge asks the account once and evicts the connection that makes way. Unless the bytes are
// charged, it returns a channel that is closed when some are released.
func (k *Keeper) tryCharge(id accountant.ID, n int64) (accountant.Verdict, <-chan struct{}) {
	k.mu.Lock()
	verdict, victim := k.account.Charge(id, n, k.Clock.Now())
	if verdict != accountant.Granted && k.released == nil {
		k.released = make(chan struct{})
	}
	evicted, released := k.conns[victim], k.released
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
