package searcher

import (
	"slices"
	"time"

	"github.com/rotisserie/eris"
)

// Faults are the faults of one target. Fractions lie in [0,1]. The zero value has no
// faults.
type Faults struct {
	// DelayFactor multiplies execution times. Zero means 1.
	DelayFactor float64 `json:"delay"`
	// Slow is the fraction of calls whose execution time is multiplied by the
	// SlowFactor of the latency model. The greater of Slow and the model's
	// SlowFraction applies.
	Slow float64 `json:"slow"`
	// Shed is the fraction of calls that are refused as if the queue were full.
	Shed float64 `json:"shed"`
	// Freeze withholds all answers until it is false again.
	Freeze bool `json:"freeze"`
	// SnapshotOverride makes searches read this snapshot instead of the requested
	// one. Their answers name it.
	SnapshotOverride string `json:"stamp"`
	// WrongShard is the fraction of answers that name the requested shard but hold
	// the records of another one.
	WrongShard float64 `json:"foreign"`
	// SwapNonces is the fraction of answers whose nonce is swapped with that of the
	// next answer on the same stream.
	SwapNonces float64 `json:"cross"`
	// WrongStream is the fraction of answers that are sent on another open stream.
	WrongStream float64 `json:"stray"`
	// Duplicate is the fraction of answers that are sent twice.
	Duplicate float64 `json:"duplicate"`
	// Late is the fraction of answers that are delayed by LagMillis.
	Late float64 `json:"late"`
	// LagMillis is the delay of late answers in milliseconds.
	LagMillis int64 `json:"lag"`
	// Fail is the fraction of executions that fail.
	Fail float64 `json:"fail"`
	// DropSnapshots lists snapshots that the target behaves as not having.
	DropSnapshots []string `json:"drop"`
	// Drain makes the target refuse new work with STATUS_LEAVING.
	Drain bool `json:"leave"`
	// LoseOutcome is the fraction of successful mutations whose call fails after the
	// execution.
	LoseOutcome float64 `json:"lose"`
	// IgnoreCrashTerm makes the crash term have no effect.
	IgnoreCrashTerm bool `json:"immune"`
}

// Validate returns an error that names the first field that is out of range.
func (f *Faults) Validate() error {
	fractions := []struct {
		field string
		value float64
	}{
		{field: "slow", value: f.Slow},
		{field: "shed", value: f.Shed},
		{field: "foreign", value: f.WrongShard},
		{field: "cross", value: f.SwapNonces},
		{field: "stray", value: f.WrongStream},
		{field: "duplicate", value: f.Duplicate},
		{field: "late", value: f.Late},
		{field: "fail", value: f.Fail},
		{field: "lose", value: f.LoseOutcome},
	}
	for _, c := range fractions {
		if c.value < 0 || c.value > 1 {
			return eris.Errorf("field %s: %v is not in [0,1]", c.field, c.value)
		}
	}
	if f.DelayFactor < 0 {
		return eris.Errorf("field delay: %v is negative", f.DelayFactor)
	}
	if f.LagMillis < 0 {
		return eris.Errorf("field lag: %d is negative", f.LagMillis)
	}
	return nil
}

func (f *Faults) dropsSnapshot(snapshot string) bool {
	return slices.Contains(f.DropSnapshots, snapshot)
}

func (f *Faults) lag() time.Duration {
	return time.Duration(f.LagMillis) * time.Millisecond
}
