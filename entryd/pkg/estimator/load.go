package estimator

import (
	"math"
	"sync/atomic"
	"time"
)

const (
	// paceLife is the age at which a reported pace is ignored. The pace changes many times a
	// second.
	paceLife = 200 * time.Millisecond
	// paceWeight is the weight of the last report in the moving average of the pace.
	paceWeight = 1.0 / 16
	// minPaceFactor and maxPaceFactor bound what one report changes in an estimate.
	minPaceFactor = 0.25
	maxPaceFactor = 4.0
)

// Observe records a report that did not come with an answer to a request, such as that of an
// answer to a probe. It is no sample of the latency.
func (e *Estimator) Observe(now time.Time, r Report) {
	e.recordLoad(e.group.since(now), r)
}

// recordLoad records the requests of other daemons at the target, and its pace. Without the
// number that is running, all slots count as busy if requests are waiting.
func (e *Estimator) recordLoad(at time.Duration, r Report) {
	total := float64(r.Running) + float64(r.Queue)
	if r.Running == 0 && r.Queue > 0 {
		total = float64(r.Queue) + e.slots
	}
	others := max(0, total-float64(e.inFlight.Load()))
	e.othersAhead.Store(math.Float64bits(others))
	e.heardAt.Store(int64(at))
	if r.Pace > 0 {
		e.pace.record(at, r.Pace)
	}
}

// pace is how long work takes at a target by its own reports. The measured service times are
// those at the usual pace of the target, so that only what differs from this matters. The
// zero value has no reports. Of two concurrent reports, one may be lost.
type pace struct {
	// last and usual are the last report and the moving average of them, as float64 bits. at
	// is the time of the last report, in nanoseconds since the group's origin.
	last, usual atomic.Uint64
	at          atomic.Int64
}

func (p *pace) reset() {
	p.last.Store(0)
	p.usual.Store(0)
}

func (p *pace) record(at time.Duration, v float64) {
	usual := math.Float64frombits(p.usual.Load())
	if usual == 0 {
		usual = v
	}
	p.usual.Store(math.Float64bits(usual + paceWeight*(v-usual)))
	p.last.Store(math.Float64bits(v))
	p.at.Store(int64(at))
}

// factor returns the factor by which the service time differs from the measured one. It
// returns to one as the report gets older.
func (p *pace) factor(at time.Duration) float64 {
	usual := math.Float64frombits(p.usual.Load())
	age := at - time.Duration(p.at.Load())
	if usual == 0 || age >= paceLife {
		return 1
	}
	factor := min(max(math.Float64frombits(p.last.Load())/usual, minPaceFactor), maxPaceFactor)
	weight := 1 - float64(max(age, 0))/float64(paceLife)
	return 1 + weight*(factor-1)
}
