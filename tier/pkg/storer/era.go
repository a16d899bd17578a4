package storer

// eraShift is the number of bits of a joined revision below its era.
const eraShift = 48

// MaxEra is the highest era that a joined revision can hold.
const MaxEra = 1<<15 - 1

// JoinRevision returns a revision of an era as one number. A service that returns from an
// earlier copy of its content gives revisions out again, and counts such returns as eras.
// Joined revisions of a later era are higher than all of the eras before. The revision 0,
// which stands for a key that does not exist, is the same in each era.
func JoinRevision(era, revision int64) int64 {
	if revision == 0 {
		return 0
	}
	return era<<eraShift | revision
}

// SplitRevision returns the era and the revision that JoinRevision has joined.
func SplitRevision(joined int64) (era, revision int64) {
	return joined >> eraShift, joined & (1<<eraShift - 1)
}
