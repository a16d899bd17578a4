package gossiper

import (
	"math/rand/v2"
	"time"
)

// Config configures a Machine. Zero durations and counts take the defaults.
type Config struct {
	// Self describes this daemon to the other daemons.
	Self Identity
	// Seeds are the peer addresses through which this daemon joins the fleet.
	Seeds []string
	// Source is the source of all random choices.
	Source rand.Source
	// RoundInterval is the time between two gossip rounds.
	RoundInterval time.Duration
	// SuspicionTimeout is how long a suspected member has to refute the
	// suspicion before it is declared dead. A gap of this length between two
	// inputs of the Machine counts as a freeze of this daemon.
	SuspicionTimeout time.Duration
	// RetryInterval is the time between two attempts to reach a dead member or
	// a seed.
	RetryInterval time.Duration
	// RepairInterval is the minimum time between two full table exchanges that
	// repair a difference between tables. The actual time is random, up to
	// twice as long.
	RepairInterval time.Duration
	// OutageTimeout is how long a data centre may leave exchanges unanswered
	// before it counts as unreachable.
	OutageTimeout time.Duration
	// DeadRetention is how long members that have died or left are kept in the
	// table.
	DeadRetention time.Duration
	// DemandTTL is how long a daemon's use of an institution's quota (a demand)
	// is kept without renewal.
	DemandTTL time.Duration
	// IndirectProbes is the number of daemons that are asked to probe a member
	// that did not answer. A negative value disables indirect probes.
	IndirectProbes int
	// Fanout is the number of members of the own data centre that are contacted
	// immediately after a change (a burst), and the number of daemons that are
	// asked for their table after a start or a freeze.
	Fanout int
}

// InterruptionStep is the least amount by which the end of a freeze raises the incarnation of a
// daemon, in milliseconds. The refutation of a suspicion raises it by one.
const InterruptionStep = 1000

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
	// representativesPerDataCentre is the number of daemons of each data centre
	// that exchange messages with other data centres.
	representativesPerDataCentre = 2
	// maxRecordBytes bounds the member records in one message, in bytes. Full
	// table exchanges are not bounded.
	maxRecordBytes = 1000
	// maxNoticeBytes bounds the notices in one message, in bytes.
	maxNoticeBytes = 1000
	// maxFullNoticeBytes bounds the notices in a message with the whole table, in
	// bytes.
	maxFullNoticeBytes = 64 << 10
	// maxDemandBytes bounds the demands in one message within the data centre,
	// maxRemoteDemandBytes those in one message between data centres, in bytes.
	maxDemandBytes       = 260
	maxRemoteDemandBytes = 100
	// repairThreshold is the number of consecutive exchanges with different
	// table hashes after which the whole tables are exchanged.
	repairThreshold = 3
	// burstPause is the minimum time between two bursts.
	burstPause = 50 * time.Millisecond
	// maxBursts is the number of bursts that may follow each other at intervals
	// of burstPause.
	maxBursts = 6
	// burstRefill is the time after which one more burst is allowed.
	burstRefill = 500 * time.Millisecond
	// linkRenewal is the interval at which a representative publishes again
	// which remote data centres it reaches (its links).
	linkRenewal = 10 * time.Second
	// demandRenewal is the interval at which an unchanged demand, and the
	// totals of a data centre, are sent again.
	demandRenewal = 2 * time.Second
	// demandCopies is the number of messages in which a demand is sent. It is
	// lower than copiesPerChange in all but tiny fleets, because demands are
	// renewed regularly.
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
