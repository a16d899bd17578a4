package claimer

import (
	"time"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"

	"plantaincleat/tier/gen/peer"
	"plantaincleat/tier/pkg/storer"
)

// HandleLoad takes the answer to a CallLoad: all items of the log.
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

// finishRead ends a complete read.
func (b *Bucket) finishRead() {
	b.loaded = true
	b.stale = false
	b.storeDown = false
	b.answerDecided()
}

// rebuild folds a whole log.
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
		modified = item.Modified
	}
	// Items stand in the order of their keys, and so of their sequences.
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

// applyItem folds one item, which must be the next entry.
func (b *Bucket) applyItem(l *Ledger, item storer.Item) error {
	sequence, err := parseSequence(b.id, item.Key)
	if err != nil {
		return err
	}
	if sequence != l.Head()+1 {
		return eris.Wrapf(ErrCorruptLog, "read log: entry %q after sequence %d", item.Key, l.Head())
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
		return nil, eris.Wrapf(ErrCorruptLog, "read log: decode %q: %v", item.Key, err)
	}
	return e, nil
}

// HandleTail takes the answer to a CallTail. If the base has changed, entries may
// be missing between the view and the tail, so that the log is loaded anew.
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
