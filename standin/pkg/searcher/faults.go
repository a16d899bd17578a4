package searcher

import (
	"slices"
	"time"

	"github.com/rotisserie/eris"
)

// Faults are the switches of one stand-in target. Fractions lie in [0,1]. The
// zero value is a target without faults.
type Faults struct {
	// DelayFactor multiplies execution times. Zero means 1.
	DelayFactor float64 `json:"delay"`
	// Slow is the fraction of calls that take the pace's slow factor longer.
	Slow float64 `json:"slow"`
	// Shed is the fraction of calls refused for want of capacity.
	Shed float64 `json:"shed"`
	// Freeze withholds every answer until it is switched off.
	Freeze bool `json:"freeze"`
	// SnapshotOverride makes searches read, and stamp their answers with, this snapshot
	// in place of the wanted one.
	SnapshotOverride string `json:"stamp"`
	// WrongShard is the fraction of answers that hold the records of another
	// shard under the stamp of the wanted one.
	WrongShard float64 `json:"foreign"`
	// SwapNonces is the fraction of answers whose nonce is swapped with that of
	// the next answer on the same stream.
	SwapNonces float64 `json:"cross"`
	// WrongStream is the fraction of answers sent on another open stream.
	WrongStream float64 `json:"stray"`
	// Duplicate is the fraction of answers sent twice.
	Duplicate float64 `json:"duplicate"`
	// Late is the fraction of answers sent Lag milliseconds after their time.
	Late float64 `json:"late"`
	// LagMillis is in milliseconds.
	LagMillis int64 `json:"lag"`
	// Fail is the fraction of executions that end as failed.
	Fail float64 `json:"fail"`
	// DropSnapshots lists snapshots that the target no longer has.
	DropSnapshots []string `json:"drop"`
	// Drain makes the target refuse new work as leaving.
	Drain bool `json:"leave"`
	// LoseOutcome is the fraction of mutations whose outcome is lost after the
	// execution.
	LoseOutcome float64 `json:"lose"`
	// IgnoreCrashTerm keeps the crash term from crashing the target.
	IgnoreCrashTerm bool `json:"immune"`
}

// Validate returns an error that names the first field out of range.
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

func (f *Faults) dropped(snapshot string) bool {
	return slices.Contains(f.DropSnapshots, snapshot)
}

func (f *Faults) lag() time.Duration {
	return time.Duration(f.LagMillis) * time.Millisecond
}
