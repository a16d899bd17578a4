package crowder

import (
	"fmt"
	"os"
	"sync/atomic"
	"time"

	"plantaincleat/prover/pkg/deployer"
)

// sampleInterval is the time between two counts of a process's descriptors.
const sampleInterval = 20 * time.Millisecond

// Watch measures what a process holds.
type Watch struct {
	process *deployer.Process
	// descriptors is the greatest number of open descriptors that was counted.
	descriptors atomic.Int64
	ended       chan struct{}
}

// NewWatch watches a process until Close.
func NewWatch(p *deployer.Process) *Watch {
	w := &Watch{
		process: p,
		ended:   make(chan struct{}),
	}
	go w.sample()
	return w
}

// Close ends the watch.
func (w *Watch) Close() { close(w.ended) }

// Ended reports whether the process has ended.
func (w *Watch) Ended() bool { return w.process.Ended() }

// sample counts the descriptors of the process until Close.
func (w *Watch) sample() {
	ticker := time.NewTicker(sampleInterval)
	defer ticker.Stop()
	for {
		entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", w.process.ID()))
		if n := int64(len(entries)); err == nil && n > w.descriptors.Load() {
			w.descriptors.Store(n)
		}
		select {
		case <-w.ended:
			return
		case <-ticker.C:
		}
	}
}

// Descriptors returns the greatest number of descriptors that the process has had open.
func (w *Watch) Descriptors() int64 { return w.descriptors.Load() }

// Memory returns the most memory that the process has had resident, in bytes.
func (w *Watch) Memory() (int64, error) { return w.process.PeakMemory() }
