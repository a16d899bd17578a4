package sharer

import "slices"

// FairShare returns the part of a fleet-wide total that one daemon may use: its
// share under max-min fairness if its own demand were unlimited. The slice others
// holds the known demands of the other live daemons; unknown is the number of live
// daemons whose demand is not known. Their demands are assumed to be unlimited, so
// the result is never below an equal share, and is an equal share if no demand
// is known.
//
// If all daemons know all demands, the sum over all daemons of the smaller of
// demand and share does not exceed the total.
func FairShare(total float64, others []float64, unknown int) float64 {
	sorted := slices.Clone(others)
	slices.Sort(sorted)
	left := total
	claimants := float64(len(sorted) + unknown + 1)
	for _, d := range sorted {
		level := left / claimants
		if d >= level {
			return level
		}
		left -= d
		claimants--
	}
	return left / claimants
}
