package gossiper

import (
	"math/rand/v2"
	"time"
)

// Config sets up a Machine. Zero durations and counts take the defaults.
type Config struct {
	Self Identity
	// Seeds are addresses to join through.
	Seeds []string
	// Source drives every random choice.
	Source rand.Source
	// RoundInterval lies between two rounds.
	RoundInterval time.Duration
	// SuspicionTimeout is how long a suspected member has to refute. A gap of this
	// length between two inputs counts as a freeze.
	SuspicionTimeout time.Duration
	// RetryInterval lies between two attempts to reach a dead member or a seed.
	RetryInterval time.Duration
	// RepairInterval is the least time between two full exchanges that repair a
	// difference between tables.
	RepairInterval time.Duration
	// OutageTimeout is how long a data centre may fail to answer before it counts as
	// unreachable.
	OutageTimeout time.Duration
	// DeadRetention is how long dead members are kept.
	DeadRetention time.Duration
	// DemandTTL is how long a demand holds without renewal.
	DemandTTL time.Duration
	// IndirectProbes is the number of indirect probes. Negative means none.
	IndirectProbes int
	// Fanout is the number of immediate exchanges upon news.
	Fanout int
}

// Defaults of Config.
const (
	DefaultRoundInterval    = 250 * time.Millisecond
	DefaultSuspicionTimeout = 2 * time.Second
	DefaultRetryInterval    = 2 * time.Second
	DefaultRepairInterval   = 5 * time.Second
	DefaultOutageTimeout    = 3 * time.Second
	DefaultDeadRetention    = 15 * time.Minute
	DefaultDemandTTL        = 30 * time.Second
	DefaultIndirectProbes   = 3
	DefaultFanout           = 3
)

const (
	// representativesPerDataCentre is the number of daemons per data centre that exchange
	// views with other data centres.
	representativesPerDataCentre = 2
	// maxRecordBytes bounds the member records in one message, save full ones.
	maxRecordBytes = 1000
	// maxNoticeBytes bounds the notices in one message.
	maxNoticeBytes = 1000
	// maxDemandBytes bounds the demands in one message within the data centre, and
	// sumBytes those in one between data centres.
	maxDemandBytes = 260
	maxTotalBytes  = 100
	// repairThreshold is the number of exchanges in a row with unequal hashes after
	// which the whole tables are exchanged.
	repairThreshold = 3
	// burstPause is the least time between two bursts of news.
	burstPause = 50 * time.Millisecond
	// maxBursts is the number of bursts that may follow without a longer pause.
	maxBursts = 6
	// burstRefill is the time after which one more burst is allowed.
	burstRefill = 500 * time.Millisecond
	// linkRenewal is the time between two repetitions of links.
	linkRenewal = 10 * time.Second
	// demandRenewal is the time between two repetitions of a steady demand, and
	// of the sums.
	demandRenewal = 2 * time.Second
	// demandCopies is the number of messages that carry a demand. It is less
	// than that of other changes, since demands are repeated.
	demandCopies = 4
)

func (c Config) withDefaults() Config {
	setDefault(&c.RoundInterval, DefaultRoundInterval)
	setDefault(&c.SuspicionTimeout, DefaultSuspicionTimeout)
	setDefault(&c.RetryInterval, DefaultRetryInterval)
	setDefault(&c.RepairInterval, DefaultRepairInterval)
	setDefault(&c.OutageTimeout, DefaultOutageTimeout)
	setDefault(&c.DeadRetention, DefaultDeadRetention)
	setDefault(&c.DemandTTL, DefaultDemandTTL)
	setDefault(&c.IndirectProbes, DefaultIndirectProbes)
	setDefault(&c.Fanout, DefaultFanout)
	return c
}

func setDefault[T comparable](v *T, value T) {
	var zero T
	if *v == zero {
		*v = value
	}
}
