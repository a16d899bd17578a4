package claimer

import (
	"time"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"

	"plantaincleat/tier/gen/peer"
	"plantaincleat/tier/pkg/storer"
)

// HandleLoad processes the answer to a CallLoad, which has all items of the log.
func (b *Bucket) HandleLoad(now time.Time, page storer.Page, err error) Step {
	b.callInFlight = false
	if err == nil {
		err = b.rebuild(page)
	}
	if err != nil {
		b.failQueue(now)
		return b.step(now)
	}
	b.finishRead()
	return b.step(now)
}

// finishRead marks the ledger as current and the store as available, and answers
// the queued claims that are decided.
func (b *Bucket) finishRead() {
	b.loaded = true
	b.stale = false
	b.storeDown = false
	b.answerDecided()
}

// rebuild replaces the ledger by the result of applying a whole log.
func (b *Bucket) rebuild(page storer.Page) error {
	var ledger Ledger
	var modified int64
	for _, item := range page.Items {
		if item.Key != basePath(b.id) {
			continue
		}
		base, err := decode(item)
		if err != nil {
			return err
		}
		ledger.Rebase(base.GetSequence(), base.GetFloor())
		modified = item.ModRevision
	}
	// The items are sorted by key, so the entries are sorted by sequence.
	for _, item := range page.Items {
		if item.Key == basePath(b.id) {
			continue
		}
		if err := b.applyItem(&ledger, item); err != nil {
			return err
		}
	}
	b.ledger = ledger
	b.baseRevision = modified
	return nil
}

// applyItem applies one stored entry, which must have the next sequence.
func (b *Bucket) applyItem(l *Ledger, item storer.Item) error {
	sequence, err := parseSequence(b.id, item.Key)
	if err != nil {
		return err
	}
	if sequence != l.Head()+1 {
		return eris.Wrapf(ErrCorruptLog, "read claim log: entry %q follows sequence %d", item.Key, l.Head())
	}
	e, err := decode(item)
	if err != nil {
		return err
	}
	l.Apply(e)
	return nil
}

func decode(item storer.Item) (*peer.Entry, error) {
	e := &peer.Entry{}
	if err := proto.Unmarshal(item.Value, e); err != nil {
		return nil, eris.Wrapf(ErrCorruptLog, "read claim log: decode item %q: %v", item.Key, err)
	}
	return e, nil
}

// HandleTail processes the answer to a CallTail. If the base has changed, entries
// between the known head and the tail may have been dropped, so the whole log is
// loaded again.
func (b *Bucket) HandleTail(now time.Time, t Tail, err error) Step {
	b.callInFlight = false
	if err != nil {
		b.failQueue(now)
		return b.step(now)
	}
	if t.BaseRevision != b.baseRevision {
		b.loaded = false
		b.stale = false
		b.storeDown = false
		return b.step(now)
	}
	for _, item := range t.Entries {
		if err := b.applyItem(&b.ledger, item); err != nil {
			b.loaded = false
			b.failQueue(now)
			return b.step(now)
		}
	}
	if !t.Complete {
		b.stale = true
		b.storeDown = false
		return b.step(now)
	}
	b.finishRead()
	return b.step(now)
}
