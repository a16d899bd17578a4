package adopter

import (
	"cmp"
	"slices"

	"plantaincleat/tier/pkg/hasher"
)

// fleet holds what is derived from the live members.
type fleet struct {
	// highest is the highest revision that a live member has adopted.
	highest uint64
	// rank is this daemon's position in the order of the readers of its data
	// centre.
	rank int
	// confirmers are the other daemons of this data centre that may read the store,
	// in rank: the readers and those of the takeoverRanks.
	confirmers []Member
	// remoteReaders are the readers of the remote data centres.
	remoteReaders []Member

	// peers are the live members without this daemon.
	peers []Member
	// ordered is true once peers are sorted by pullOrder.
	ordered bool
}

// candidate is a member with the hash that determines its rank.
type candidate struct {
	Member
	hash uint64
}

// before reports whether c ranks before other in the rendezvous order of their
// data centre.
func (c candidate) before(other candidate) bool {
	return cmp.Or(cmp.Compare(other.hash, c.hash), cmp.Compare(c.ID, other.ID)) < 0
}

func newCandidate(m Member) candidate {
	return candidate{
		Member: m,
		hash:   hasher.Strings("reader", m.ID),
	}
}

// newFleet determines the readers among the live members.
func newFleet(cfg Config, live []Member) fleet {
	f := fleet{peers: make([]Member, 0, len(live))}
	self := newCandidate(Member{ID: cfg.ID})
	first := map[string][]candidate{}
	for _, m := range live {
		if m.ID == cfg.ID {
			continue
		}
		f.peers = append(f.peers, m)
		f.highest = max(f.highest, m.Revision)
		c := newCandidate(m)
		if m.DataCentre == cfg.DataCentre && c.before(self) {
			f.rank++
		}
		limit := cfg.Readers
		if m.DataCentre == cfg.DataCentre {
			limit += takeoverRanks
		}
		first[m.DataCentre] = insertSorted(first[m.DataCentre], c, limit)
	}
	for datacentre, readers := range first {
		for _, r := range readers {
			if datacentre == cfg.DataCentre {
				f.confirmers = append(f.confirmers, r.Member)
			} else {
				f.remoteReaders = append(f.remoteReaders, r.Member)
			}
		}
	}
	if last := cfg.Readers + takeoverRanks - 1; f.rank <= last {
		// This daemon is one of them.
		f.confirmers = f.confirmers[:min(last, len(f.confirmers))]
	}
	slices.SortFunc(f.remoteReaders, func(a, b Member) int { return cmp.Compare(a.ID, b.ID) })
	return f
}

// insertSorted inserts a candidate into a sorted list and keeps the first n.
func insertSorted(list []candidate, c candidate, n int) []candidate {
	at := 0
	for at < len(list) && list[at].before(c) {
		at++
	}
	if at >= n {
		return list
	}
	list = slices.Insert(list, at, c)
	return list[:min(n, len(list))]
}

// pullOrder returns the peers in the order in which this daemon pulls from
// them: by revision, highest first, then peers of the same data centre, then by
// a hash of both ids, so that pulls are distributed over the peers.
func (f *fleet) pullOrder(cfg Config) []Member {
	if f.ordered {
		return f.peers
	}
	f.ordered = true
	distance := func(m Member) int {
		if m.DataCentre == cfg.DataCentre {
			return 0
		}
		return 1
	}
	hashes := make(map[string]uint64, len(f.peers))
	for _, m := range f.peers {
		hashes[m.ID] = hasher.Strings(cfg.ID, m.ID)
	}
	slices.SortFunc(f.peers, func(a, b Member) int {
		return cmp.Or(
			cmp.Compare(b.Revision, a.Revision),
			cmp.Compare(distance(a), distance(b)),
			cmp.Compare(hashes[a.ID], hashes[b.ID]),
			cmp.Compare(a.ID, b.ID),
		)
	})
	return f.peers
}
