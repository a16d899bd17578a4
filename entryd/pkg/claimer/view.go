package claimer

import (
	"time"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"

	"plantaincleat/tier/gen/peer"
	"plantaincleat/tier/pkg/storer"
)

// Loaded takes the answer to a CallLoad: all items of the log.
func (b *Bucket) Loaded(now time.Time, page storer.Page, err error) Step {
	b.busy = false
	if err == nil {
		err = b.rebuild(page)
	}
	if err != nil {
		b.fail(now)
		return b.step(now)
	}
	b.fresh()
	return b.step(now)
}

// fresh ends a complete read.
func (b *Bucket) fresh() {
	b.loaded = true
	b.stale = false
	b.down = false
	b.settle()
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
		modified = item.ModRevision
	}
	// Items stand in the order of their keys, and so of their sequences.
	for _, item := range page.Items {
		if item.Key == basePath(b.id) {
			continue
		}
		if err := b.extend(&ledger, item); err != nil {
			return err
		}
	}
	b.ledger = ledger
	b.modified = modified
	return nil
}

// extend folds one item, which must be the next entry.
func (b *Bucket) extend(l *Ledger, item storer.Item) error {
	sequence, err := parseSequence(b.id, item.Key)
	if err != nil {
		return err
	}
	if sequence != l.Head()+1 {
		return eris.Wrapf(ErrCorrupt, "read log: entry %q after sequence %d", item.Key, l.Head())
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
		return nil, eris.Wrapf(ErrCorrupt, "read log: decode %q: %v", item.Key, err)
	}
	return e, nil
}

// Tailed takes the answer to a CallTail. If the base has changed, entries may
// be missing between the view and the tail, so that the log is loaded anew.
func (b *Bucket) Tailed(now time.Time, t Tail, err error) Step {
	b.busy = false
	if err != nil {
		b.fail(now)
		return b.step(now)
	}
	if t.Modified != b.modified {
		b.loaded = false
		b.stale = false
		b.down = false
		return b.step(now)
	}
	for _, item := range t.Entries {
		if err := b.extend(&b.ledger, item); err != nil {
			b.loaded = false
			b.fail(now)
			return b.step(now)
		}
	}
	if !t.Complete {
		b.stale = true
		b.down = false
		return b.step(now)
	}
	b.fresh()
	return b.step(now)
}
