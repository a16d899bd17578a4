package claimer

import "time"

// Defaults of a Config.
const (
	// DefaultInterval bounds the writes of all buckets to Buckets/Interval,
	// 267 a second, whatever the number of daemons and mutations.
	DefaultInterval  = 60 * time.Millisecond
	defaultBurst     = 3
	defaultPause     = 250 * time.Millisecond
	defaultPatience  = 2 * time.Second
	defaultRetention = 10 * time.Minute
	defaultSkew      = 30 * time.Second
	defaultBatch     = 2048
	defaultBytes     = 512 << 10
	defaultQueue     = 8192
	defaultKeys      = 1 << 16
	defaultDrops     = 64
)

// Config bounds the work of a keeper. Zero fields mean the defaults.
type Config struct {
	// Interval is the mean time between the starts of two writes to a bucket
	// under load. Burst of them may start earlier after a pause.
	Interval time.Duration
	Burst    int
	// Pause is the time before a failed call is repeated. Meanwhile claims are
	// answered VERDICT_UNAVAILABLE at once.
	Pause time.Duration
	// Patience bounds the wait for the outcome of a write, and in the queue.
	Patience time.Duration
	// Retention returns how long a key is remembered, from its own time. Nil,
	// and a result that is not positive, mean the default. It may change at any
	// time: the base of a bucket keeps the highest floor that was in force.
	Retention func() time.Duration
	// Skew is the largest difference expected between clocks. A key that is
	// further in the future is refused.
	Skew time.Duration
	// Batch and Bytes bound the claims of one entry.
	Batch int
	Bytes int
	// Queue bounds the claims that wait for a write, per bucket.
	Queue int
	// Keys bounds the keys retained per bucket. Beyond it new keys are
	// answered VERDICT_UNAVAILABLE.
	Keys int
	// Drops bounds the entries that one write deletes.
	Drops int
	// WriterID names this keeper in the entries that it writes.
	WriterID string
}

func (c Config) withDefaults() Config {
	orDefault(&c.Interval, DefaultInterval)
	orDefault(&c.Burst, defaultBurst)
	orDefault(&c.Pause, defaultPause)
	orDefault(&c.Patience, defaultPatience)
	orDefault(&c.Skew, defaultSkew)
	orDefault(&c.Batch, defaultBatch)
	orDefault(&c.Bytes, defaultBytes)
	orDefault(&c.Queue, defaultQueue)
	orDefault(&c.Keys, defaultKeys)
	orDefault(&c.Drops, defaultDrops)
	return c
}

// retention returns how long a key is remembered.
func (c Config) retention() time.Duration {
	if c.Retention != nil {
		if d := c.Retention(); d > 0 {
			return d
		}
	}
	return defaultRetention
}

func orDefault[T int | time.Duration](v *T, d T) {
	if *v <= 0 {
		*v = d
	}
}
