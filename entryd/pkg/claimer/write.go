package claimer

import (
	"slices"
	"strconv"
	"time"

	"google.golang.org/protobuf/proto"

	"plantaincleat/tier/gen/peer"
	"plantaincleat/tier/pkg/storer"
)

// write is an append whose outcome is not known yet.
type write struct {
	entry   *peer.Entry
	txn     storer.Txn
	base    *peer.Entry
	claims  []*pending
	started time.Time
	// unknown is true once an answer was lost, so that the write may land at
	// any time.
	unknown bool
}

// batch moves claims from the queue into a write. It returns false if no claim
// has to be written.
func (b *Bucket) batch(now time.Time) bool {
	var claims []*pending
	size, fresh, full := 0, 0, false
	b.queue = slices.DeleteFunc(b.queue, func(p *pending) bool {
		v, outcome := b.ledger.Decide(p.claim)
		switch {
		case settled(v):
			b.answer(p, v, outcome)
			return true
		case v == peer.Verdict_VERDICT_HELD || full:
			return false
		case p.claim.GetKind() == peer.ClaimKind_CLAIM_KIND_TAKE && b.ledger.Len()+fresh >= b.cfg.Keys:
			b.answer(p, peer.Verdict_VERDICT_UNAVAILABLE, nil)
			return true
		}
		size += proto.Size(p.claim)
		fresh++
		claims = append(claims, p)
		full = len(claims) >= b.cfg.Batch || size >= b.cfg.Bytes
		return true
	})
	if len(claims) == 0 {
		return false
	}
	b.cover()
	b.writing = b.newWrite(now, claims)
	return true
}

func (b *Bucket) newWrite(now time.Time, claims []*pending) *write {
	b.written++
	w := &write{
		claims:  claims,
		started: now,
		entry: &peer.Entry{
			Bucket:   b.id,
			Sequence: b.ledger.Head() + 1,
			Writer:   b.cfg.WriterID + "/" + strconv.FormatUint(b.written, 10),
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
				ModRevision: b.modified,
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

// truncate lets a write also drop the start of the log. The first write of a
// log creates its base.
func (b *Bucket) truncate(now time.Time, w *write) {
	floor := now.Add(-b.cfg.retention() - b.cfg.Skew).UnixMilli()
	last := b.ledger.Droppable(floor, b.cfg.Drops)
	if last == b.ledger.base && b.modified != 0 {
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
	// Marshalling fails only on invalid UTF-8, which ParseKey and the codec of
	// the request exclude.
	value, _ := proto.Marshal(e)
	return value
}
