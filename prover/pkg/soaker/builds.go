package soaker

import (
	"time"

	"plantaincleat/prover/pkg/deployer"
)

// replaceInterval is the time between the replacements of two daemons.
const replaceInterval = 700 * time.Millisecond

// replaceEarlier replaces, one after the other, the daemons that still run the earlier build.
// Other disruptions that restart a daemon replace it as well.
func (s *Soak) replaceEarlier() {
	for _, d := range s.fleet.daemons {
		for d.incarnation.Load() == 1 {
			time.Sleep(replaceInterval)
			s.withProcess(d, func(p *deployer.Process) {
				if d.incarnation.Load() == 1 {
					s.stopProcess(d, p)
				}
			})
		}
	}
}
