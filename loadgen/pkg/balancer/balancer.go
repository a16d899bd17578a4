// Package balancer stands in for the platform's balancer: it spreads requests
// over the daemons that say that they are ready.
package balancer

import (
	"context"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rotisserie/eris"

	"plantaincleat/tier/pkg/tlsprovider"
)

const (
	// probeInterval is the time between checks of the daemons' readiness.
	probeInterval = 100 * time.Millisecond
	probeTimeout  = time.Second
)

// daemon is one daemon.
type daemon struct {
	url string
	// readyURL is the URL that answers 200 while the daemon takes requests.
	// Empty means that it always does.
	readyURL string
	notReady atomic.Bool
}

// Balancer spreads requests in turn. Use New.
type Balancer struct {
	daemons   []*daemon
	clock     clockwork.Clock
	client    *http.Client
	nextIndex atomic.Uint64
}

// New returns a balancer over daemons, each given as URL or URL=READY, where
// READY is the URL of its readiness. The clock is the real one if nil.
func New(daemons []string, clock clockwork.Clock) (*Balancer, error) {
	if len(daemons) == 0 {
		return nil, eris.New("at least one daemon is needed")
	}
	if clock == nil {
		clock = clockwork.NewRealClock()
	}
	b := &Balancer{
		clock: clock,
		client: &http.Client{
			Timeout: probeTimeout,
		},
	}
	for _, d := range daemons {
		url, ready, _ := strings.Cut(d, "=")
		if !strings.HasPrefix(url, "http://") && !strings.HasPrefix(url, "https://") {
			return nil, eris.Errorf("daemon %q is not an http or https URL", url)
		}
		b.daemons = append(b.daemons, &daemon{
			url:      strings.TrimSuffix(url, "/"),
			readyURL: ready,
		})
	}
	return b, nil
}

// SetTLS has daemons at https URLs verified against a CA. A nil Securer
// stands for the system's CAs. It must be called before Run.
func (b *Balancer) SetTLS(s *tlsprovider.Provider) { b.client.Transport = s.Transport(nil, true) }

// Next returns the next daemon that is ready, or the next one if none is.
func (b *Balancer) Next() string {
	n := uint64(len(b.daemons))
	first := b.nextIndex.Add(1)
	for i := range n {
		if e := b.daemons[(first+i)%n]; !e.notReady.Load() {
			return e.url
		}
	}
	return b.daemons[first%n].url
}

// MarkUnreachable takes a daemon out until it is seen to be ready, and reports
// whether another one is left. A daemon without readiness URL stays in.
func (b *Balancer) MarkUnreachable(url string) bool {
	left := false
	for _, e := range b.daemons {
		if e.url == url && e.readyURL != "" {
			e.notReady.Store(true)
		}
		left = left || e.url != url && !e.notReady.Load()
	}
	return left
}

// Run checks readiness until ctx ends.
func (b *Balancer) Run(ctx context.Context) {
	var wg sync.WaitGroup
	for _, e := range b.daemons {
		if e.readyURL != "" {
			wg.Go(func() { b.probePeriodically(ctx, e) })
		}
	}
	wg.Wait()
}

// probePeriodically checks one daemon, one probe after the other.
func (b *Balancer) probePeriodically(ctx context.Context, e *daemon) {
	ticker := b.clock.NewTicker(probeInterval)
	defer ticker.Stop()
	for {
		b.probe(ctx, e)
		select {
		case <-ticker.Chan():
		case <-ctx.Done():
			return
		}
	}
}

func (b *Balancer) probe(ctx context.Context, e *daemon) {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, e.readyURL, nil)
	if err != nil {
		e.notReady.Store(true)
		return
	}
	resp, err := b.client.Do(r)
	if err != nil {
		e.notReady.Store(true)
		return
	}
	_ = resp.Body.Close()
	e.notReady.Store(resp.StatusCode != http.StatusOK)
}
