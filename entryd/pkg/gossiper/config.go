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
	// Suspicion is how long a suspected member has to refute. A gap of this
	// length between two inputs counts as a freeze.
	Suspicion time.Duration
	// Retry lies between two attempts to reach a dead member or a seed.
	Retry time.Duration
	// Repair is the least time between two full exchanges that repair a
	// difference between tables.
	Repair time.Duration
	// Outage is how long a data centre may fail to answer before it counts as
	// unreachable.
	Outage time.Duration
	// Forget is how long dead members are kept.
	Forget time.Duration
	// Expiry is how long a demand holds without renewal.
	Expiry time.Duration
	// Proxies is the number of indirect probes. Negative means none.
	Proxies int
	// Fanout is the number of immediate exchanges upon news.
	Fanout int
}

// Defaults of Config.
const (
	DefaultPeriod    = 250 * time.Millisecond
	DefaultSuspicion = 2 * time.Second
	DefaultRetry     = 2 * time.Second
	DefaultRepair    = 5 * time.Second
	DefaultOutage    = 3 * time.Second
	DefaultForget    = 15 * time.Minute
	DefaultExpiry    = 30 * time.Second
	DefaultProxies   = 3
	DefaultFanout    = 3
)

const (
	// representatives is the number of daemons per data centre that exchange
	// views with other data centres.
	representatives = 2
	// recordBytes bounds the member records in one message, save full ones.
	recordBytes = 1000
	// noticeBytes bounds the notices in one message.
	noticeBytes = 1000
	// demandBytes bounds the demands in one message within the data centre, and
	// sumBytes those in one between data centres.
	demandBytes = 260
	sumBytes    = 100
	// repairAfter is the number of exchanges in a row with unequal hashes after
	// which the whole tables are exchanged.
	repairAfter = 3
	// newsPause is the least time between two bursts of news.
	newsPause = 50 * time.Millisecond
	// newsBurst is the number of bursts that may follow without a longer pause.
	newsBurst = 6
	// newsRefill is the time after which one more burst is allowed.
	newsRefill = 500 * time.Millisecond
	// renewal is the time between two repetitions of links.
	renewal = 10 * time.Second
	// demandRenewal is the time between two repetitions of a steady demand, and
	// of the sums.
	demandRenewal = 2 * time.Second
	// demandCopies is the number of messages that carry a demand. It is less
	// than that of other changes, since demands are repeated.
	demandCopies = 4
)

func (c Config) withDefaults() Config {
	setDefault(&c.RoundInterval, DefaultPeriod)
	setDefault(&c.Suspicion, DefaultSuspicion)
	setDefault(&c.Retry, DefaultRetry)
	setDefault(&c.Repair, DefaultRepair)
	setDefault(&c.Outage, DefaultOutage)
	setDefault(&c.Forget, DefaultForget)
	setDefault(&c.Expiry, DefaultExpiry)
	setDefault(&c.Proxies, DefaultProxies)
	setDefault(&c.Fanout, DefaultFanout)
	return c
}

func setDefault[T comparable](v *T, value T) {
	var zero T
	if *v == zero {
		*v = value
	}
}
