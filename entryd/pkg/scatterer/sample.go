package scatterer

import "time"

// sample tells whether the limits of a unit's targets let a request through.
type sample int8

const (
	// notSampled means that the unit was not to be sent to a target yet.
	notSampled sample = iota
	letThrough
	heldBack
)

// sample reports whether a unit may be sent to a target. It may not if all targets that
// could serve it have named limits, and the request is not among those that they allow.
func (j *job) sample(unit int, now time.Time) bool {
	if !j.route.Scattered() {
		return true
	}
	if j.samples[unit] == notSampled {
		j.samples[unit] = heldBack
		if j.pools[unit].Sample(now, j.request.ID) {
			j.samples[unit] = letThrough
		}
	}
	return j.samples[unit] == letThrough
}
