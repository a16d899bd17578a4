package proposer

import (
	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"

	"plantaincleat/tier/gen/config"
	"plantaincleat/tier/pkg/configreader"
	"plantaincleat/tier/pkg/storer"
)

const (
	// HistoryLimit is the number of revisions whose heads the history keeps.
	HistoryLimit = 256
	// maxPartDeletes is the largest number of unused parts that one change
	// deletes. It bounds the size of the transaction.
	maxPartDeletes = 64
)

// newTxn returns the transaction that replaces the manifest, adds the change to
// the history, and deletes the oldest history entry and unused parts. It sets
// prop.head.
func (p *Proposer) newTxn(prop *proposal) (storer.Txn, error) {
	prop.head = &config.Head{
		Revision: max(prop.base.Accepted.GetHead().GetRevision(), prop.change.RevisionAbove) + 1,
		Change:   prop.change.ID,
		Author:   prop.change.Author,
		Reason:   prop.change.Reason,
		Time:     p.Clock.Now().UnixMilli(),
		Digest:   prop.digest,
	}
	manifest := &config.Manifest{Head: prop.head}
	used := map[string]bool{}
	for _, part := range prop.parts {
		used[part.Digest] = true
		manifest.Parts = append(manifest.Parts, &config.Part{
			Field:  part.Field,
			Digest: part.Digest,
		})
	}
	head, err := proto.Marshal(prop.head)
	if err != nil {
		return storer.Txn{}, eris.Wrap(err, "encode head")
	}
	value, err := proto.Marshal(manifest)
	if err != nil {
		return storer.Txn{}, eris.Wrap(err, "encode manifest")
	}
	txn := storer.Txn{
		Conditions: []storer.Condition{{
			Key:         configreader.HeadKey,
			ModRevision: prop.base.ModRevision,
		}},
		Writes: []storer.Write{
			{
				Key:   configreader.HeadKey,
				Value: value,
			},
			{
				Key:   configreader.HistoryKey(prop.head.Revision),
				Value: head,
			},
		},
	}
	if prop.head.Revision > HistoryLimit {
		txn.Writes = append(txn.Writes, storer.Write{
			Key:    configreader.HistoryKey(prop.head.Revision - HistoryLimit),
			Delete: true,
		})
	}
	txn.Writes = append(txn.Writes, deleteUnusedParts(prop.base.PartDigests, used)...)
	return txn, nil
}

// deleteUnusedParts returns writes that delete stored parts that the new
// manifest does not name, at most maxPartDeletes of them. They may include a
// part that a concurrent proposal has just written. That is safe: its
// compare-and-swap fails because the manifest has changed.
func deleteUnusedParts(stored, used map[string]bool) []storer.Write {
	var writes []storer.Write
	for digest := range stored {
		if used[digest] {
			continue
		}
		if len(writes) == maxPartDeletes {
			break
		}
		writes = append(writes, storer.Write{
			Key:    configreader.PartPrefix + digest,
			Delete: true,
		})
	}
	return writes
}
