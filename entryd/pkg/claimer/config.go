package claimer

import "time"

// Defaults of a Config.
const (
	// DefaultInterval bounds the writes of all buckets to Buckets/Interval,
	// 267 a second, whatever the number of daemons and mutations.
	DefaultInterval       = 60 * time.Millisecond
	defaultBurst          = 3
	defaultRetryDelay     = 250 * time.Millisecond
	defaultWaitLimit      = 2 * time.Second
	defaultRetention      = 10 * time.Minute
	defaultMaxClockSkew   = 30 * time.Second
	defaultMaxBatchClaims = 2048
	defaultMaxBatchBytes  = 512 << 10
	defaultMaxQueue       = 8192
	defaultMaxKeys        = 1 << 16
	defaultMaxDeletes     = 64
)

// Config bounds the work of a keeper. Zero fields mean the defaults.
type Config struct {
	// Interval is the mean time between the starts of two writes to a bucket
	// under load. Burst of them may start earlier after a pause.
	Interval time.Duration
	Burst    int
	// RetryDelay is the time before a failed call is repeated. Meanwhile claims are
	// answered VERDICT_UNAVAILABLE at once.
	RetryDelay time.Duration
	// WaitLimit bounds the wait for the outcome of a write, and in the queue.
	WaitLimit time.Duration
	// Retention returns how long a key is remembered, from its own time. Nil,
	// and a result that is not positive, mean the default. It may change at any
	// time: the base of a bucket keeps the highest floor that was in force.
	Retention func() time.Duration
	// MaxClockSkew is the largest difference expected between clocks. A key that is
	// further in the future is refused.
	MaxClockSkew time.Duration
	// MaxBatchClaims and Bytes bound the claims of one entry.
	MaxBatchClaims int
	MaxBatchBytes  int
	// MaxQueue bounds the claims that wait for a write, per bucket.
	MaxQueue int
	// MaxKeys bounds the keys retained per bucket. Beyond it new keys are
	// answered VERDICT_UNAVAILABLE.
	MaxKeys int
	// MaxDeletes bounds the entries that one write deletes.
	MaxDeletes int
	// WriterID names this keeper in the entries that it writes.
	WriterID string
}

func (c Config) withDefaults() Config {
	orDefault(&c.Interval, DefaultInterval)
	orDefault(&c.Burst, defaultBurst)
	orDefault(&c.RetryDelay, defaultRetryDelay)
	orDefault(&c.WaitLimit, defaultWaitLimit)
	orDefault(&c.MaxClockSkew, defaultMaxClockSkew)
	orDefault(&c.MaxBatchClaims, defaultMaxBatchClaims)
	orDefault(&c.MaxBatchBytes, defaultMaxBatchBytes)
	orDefault(&c.MaxQueue, defaultMaxQueue)
	orDefault(&c.MaxKeys, defaultMaxKeys)
	orDefault(&c.MaxDeletes, defaultMaxDeletes)
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
