package claimer

import (
	"slices"
	"strconv"
	"time"

	"google.golang.org/protobuf/proto"

	"plantaincleat/tier/gen/peer"
	"plantaincleat/tier/pkg/storer"
)

// pendingWrite is the append of one entry whose outcome is not known yet.
type pendingWrite struct {
	entry *peer.Entry
	txn   storer.Txn
	// base is the new base that the transaction writes, or nil.
	base *peer.Entry
	// claims are the claims of the entry whose callers still wait.
	claims  []*pendingClaim
	started time.Time
	// outcomeUnknown is true once a commit returned an error. The transaction may
	// then take effect at any later time.
	outcomeUnknown bool
}

// startWrite moves claims that need a write from the queue into b.writing and
// answers those that need none. It returns false if no claim needs a write.
func (b *Bucket) startWrite(now time.Time) bool {
	var claims []*pendingClaim
	size, added, full := 0, 0, false
	b.queue = slices.DeleteFunc(b.queue, func(p *pendingClaim) bool {
		v, outcome := b.ledger.Decide(p.claim)
		switch {
		case isFinal(v):
			b.answer(p, v, outcome)
			return true
		case v == peer.Verdict_VERDICT_HELD || full:
			return false
		case p.claim.GetKind() == peer.ClaimKind_CLAIM_KIND_TAKE && b.ledger.Len()+added >= b.cfg.MaxKeys:
			b.answer(p, peer.Verdict_VERDICT_UNAVAILABLE, nil)
			return true
		}
		size += proto.Size(p.claim)
		added++
		claims = append(claims, p)
		full = len(claims) >= b.cfg.MaxBatchClaims || size >= b.cfg.MaxBatchBytes
		return true
	})
	if len(claims) == 0 {
		return false
	}
	b.markCallStarted()
	b.writing = b.newWrite(now, claims)
	return true
}

// newWrite returns a write that appends the claims as the next entry.
func (b *Bucket) newWrite(now time.Time, claims []*pendingClaim) *pendingWrite {
	b.writeCount++
	w := &pendingWrite{
		claims:  claims,
		started: now,
		entry: &peer.Entry{
			Bucket:   b.id,
			Sequence: b.ledger.Head() + 1,
			Writer:   b.cfg.WriterID + "/" + strconv.FormatUint(b.writeCount, 10),
			Time:     now.UnixMilli(),
		},
	}
	for _, p := range claims {
		w.entry.Claims = append(w.entry.Claims, p.claim)
	}
	path := entryPath(b.id, w.entry.Sequence)
	w.txn = storer.Txn{
		Conditions: []storer.Condition{
			{
				Key:         basePath(b.id),
				ModRevision: b.baseRevision,
			},
			{
				Key:         path,
				ModRevision: 0,
			},
		},
		Writes: []storer.Write{{
			Key:   path,
			Value: encode(w.entry),
		}},
	}
	b.truncate(now, w)
	return w
}

// truncate extends a write so that it also deletes the oldest entries, if all
// their keys are below the floor. The first write to a log creates its base.
func (b *Bucket) truncate(now time.Time, w *pendingWrite) {
	floor := now.Add(-b.cfg.retention() - b.cfg.MaxClockSkew).UnixMilli()
	last := b.ledger.LastDroppable(floor, b.cfg.MaxDeletes)
	if last == b.ledger.base && b.baseRevision != 0 {
		return
	}
	w.base = &peer.Entry{
		Bucket:   b.id,
		Sequence: last,
		Floor:    max(floor, b.ledger.floor),
		Time:     now.UnixMilli(),
	}
	if last == b.ledger.base {
		w.base.Floor = b.ledger.floor
	}
	w.txn.Writes = append(w.txn.Writes, storer.Write{
		Key:   basePath(b.id),
		Value: encode(w.base),
	})
	for sequence := b.ledger.base + 1; sequence <= last; sequence++ {
		w.txn.Writes = append(w.txn.Writes, storer.Write{
			Key:    entryPath(b.id, sequence),
			Delete: true,
		})
	}
}

func encode(e *peer.Entry) []byte {
	// Marshalling fails only on invalid UTF-8. ParseKey excludes it in keys, and
	// decoding the request excludes it in all other fields.
	value, _ := proto.Marshal(e)
	return value
}
