package platformsimulator

import "time"

// hearTime is the time in which all daemons hear that a target has turned cold.
const hearTime = 1500 * time.Millisecond

// CoolTargets makes targets cold for a time, in which they crash if they get clearly more than
// a number of requests a second. Their entries say so until it ends.
func (p *Platform) CoolTargets(targets []*Target, d time.Duration, rate float64) error {
	for _, t := range targets {
		t.ColdFor(hearTime, d, rate)
		if err := p.RegisterTarget(t, "ready"); err != nil {
			return err
		}
		p.clock.AfterFunc(hearTime+d, func() {
			if !t.Ended() {
				// The store may be down or closed. Daemons do not rely on this word.
				_ = p.RegisterTarget(t, "ready")
			}
		})
	}
	return nil
}

// StateWarmup writes the time and the rate of the warm-up of all services to the
// configuration.
func (p *Platform) StateWarmup(d time.Duration, rate float64) error {
	return p.UpdateConfig(func(c *Config) {
		for i := range c.Services {
			c.Services[i].WarmupSeconds, c.Services[i].WarmupPerSecond = d.Seconds(), rate
		}
	})
}
