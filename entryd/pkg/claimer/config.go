package claimer

import "time"

// Default values of the Config fields.
const (
	// DefaultInterval bounds the writes of all buckets together to
	// BucketCount/DefaultInterval, 267 per second, as long as one daemon writes
	// to each bucket. The number of daemons and mutations does not matter.
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

// Config sets the limits of a BucketWriter. Numeric fields that are
// zero or negative take their default values.
type Config struct {
	// Interval is the mean time between the starts of two writes to a bucket
	// under load. After a pause, Burst writes may start ahead of that rate.
	Interval time.Duration
	Burst    int
	// RetryDelay is the time between a failed store call and the next one. While
	// the store is considered down, new claims get VERDICT_UNAVAILABLE at once.
	RetryDelay time.Duration
	// WaitLimit bounds the time a claim waits in the queue, and the time its
	// caller waits for the outcome of a write.
	WaitLimit time.Duration
	// Retention returns how long the state of a key is kept, counted from the
	// time in the key. If it is nil or returns a value <= 0, the default applies.
	// The value may change at any time, because the base of a bucket stores the
	// highest floor that was applied.
	Retention func() time.Duration
	// MaxClockSkew is the largest expected difference between the clocks of two
	// hosts. A key that is further in the future is refused.
	MaxClockSkew time.Duration
	// MaxBatchClaims bounds the number of claims in one entry, MaxBatchBytes
	// their encoded size. The last claim of an entry may exceed the size.
	MaxBatchClaims int
	MaxBatchBytes  int
	// MaxQueue bounds the claims that wait for a write in one bucket.
	MaxQueue int
	// MaxKeys bounds the keys retained in one bucket. Further claims of kind
	// CLAIM_KIND_TAKE get VERDICT_UNAVAILABLE.
	MaxKeys int
	// MaxDeletes bounds the log entries that one write deletes.
	MaxDeletes int
	// WriterID identifies this writer in the entries that it writes.
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

// retention returns how long the state of a key is kept.
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
