package sharer

import (
	"math"
	"time"
)

// meterPeriod is the time constant of the moving average of a rate.
const meterPeriod = time.Second

// Meter is an exponentially weighted moving average of a rate of events. The zero value has
// seen none. It is not safe for concurrent use.
type Meter struct {
	rate float64
	last time.Time
}

// Add counts one event.
func (m *Meter) Add(now time.Time) {
	m.rate = m.Value(now) + 1/meterPeriod.Seconds()
	m.last = now
}

// Value returns the average rate in events per second.
func (m *Meter) Value(now time.Time) float64 {
	return m.rate * math.Exp(-now.Sub(m.last).Seconds()/meterPeriod.Seconds())
}
