package proposer

import (
	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"

	"plantaincleat/tier/gen/config"
	"plantaincleat/tier/pkg/configreader"
	"plantaincleat/tier/pkg/storer"
)

const (
	// HistoryLimit is the number of history entries that are kept.
	HistoryLimit = 256
	// sweepLimit is the number of unused parts that one change deletes.
	sweepLimit = 64
)

// newTxn builds the transaction that brings the change into force, adds it
// to the history and deletes what is no longer needed.
func (p *Proposer) newTxn(g *proposal) (storer.Txn, error) {
	g.head = &config.Head{
		Revision: max(g.state.Accepted.GetHead().GetRevision(), g.change.RevisionAbove) + 1,
		Change:   g.change.ID,
		Author:   g.change.Author,
		Reason:   g.change.Reason,
		Time:     p.Clock.Now().UnixMilli(),
		Digest:   g.digest,
	}
	manifest := &config.Manifest{Head: g.head}
	used := map[string]bool{}
	for _, part := range g.parts {
		used[part.Digest] = true
		manifest.Parts = append(manifest.Parts, &config.Part{
			Field:  part.Field,
			Digest: part.Digest,
		})
	}
	head, err := proto.Marshal(g.head)
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
			ModRevision: g.state.ModRevision,
		}},
		Writes: []storer.Write{
			{
				Key:   configreader.HeadKey,
				Value: value,
			},
			{
				Key:   configreader.HistoryKey(g.head.Revision),
				Value: head,
			},
		},
	}
	if g.head.Revision > HistoryLimit {
		txn.Writes = append(txn.Writes, storer.Write{
			Key:    configreader.HistoryKey(g.head.Revision - HistoryLimit),
			Delete: true,
		})
	}
	txn.Writes = append(txn.Writes, sweep(g.state.Parts, used)...)
	return txn, nil
}

// sweep deletes stored parts that the new manifest does not name. A part
// that another proposal has just written may be among them: that proposal
// fails, as the manifest has changed under it.
func sweep(stored, used map[string]bool) []storer.Write {
	var writes []storer.Write
	for digest := range stored {
		if used[digest] {
			continue
		}
		if len(writes) == sweepLimit {
			break
		}
		writes = append(writes, storer.Write{
			Key:    configreader.PartPrefix + digest,
			Delete: true,
		})
	}
	return writes
}
