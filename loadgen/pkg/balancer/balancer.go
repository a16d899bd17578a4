// Package balancer simulates the platform's load balancer. It distributes requests
// in turn over the daemons that report themselves as ready.
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
	// probeInterval is the time between two readiness probes of a daemon.
	probeInterval = 100 * time.Millisecond
	// probeTimeout is the time allowed for one readiness probe.
	probeTimeout = time.Second
)

// daemon is a daemon with its readiness.
type daemon struct {
	url string
	// readyURL answers 200 while the daemon accepts requests. If it is empty, the
	// daemon counts as ready at all times.
	readyURL string
	notReady atomic.Bool
}

// Balancer selects daemons in turn. It is safe for concurrent use. Use New to create
// one.
type Balancer struct {
	daemons   []*daemon
	clock     clockwork.Clock
	client    *http.Client
	nextIndex atomic.Uint64
}

// New returns a balancer over the daemons, each given as URL or URL=READY, where
// READY is its readiness URL. A nil clock stands for the real clock.
func New(daemons []string, clock clockwork.Clock) (*Balancer, error) {
	if len(daemons) == 0 {
		return nil, eris.New("at least one daemon is required")
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

// SetTLS sets the provider of the CA that verifies https readiness URLs. A nil
// provider stands for the system's CAs. It must be called before Run.
func (b *Balancer) SetTLS(s *tlsprovider.Provider) { b.client.Transport = s.Transport(nil, true) }

// Next returns the URL of the next daemon that is ready, or of the next daemon if
// none is ready.
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

// MarkUnreachable marks the daemon at url as not ready until a probe finds it ready
// again. It reports whether another daemon is ready. A daemon without a readiness
// URL remains ready.
func (b *Balancer) MarkUnreachable(url string) bool {
	anotherReady := false
	for _, e := range b.daemons {
		if e.url == url && e.readyURL != "" {
			e.notReady.Store(true)
		}
		anotherReady = anotherReady || e.url != url && !e.notReady.Load()
	}
	return anotherReady
}

// Run probes the readiness of the daemons until ctx ends.
func (b *Balancer) Run(ctx context.Context) {
	var wg sync.WaitGroup
	for _, e := range b.daemons {
		if e.readyURL != "" {
			wg.Go(func() { b.probePeriodically(ctx, e) })
		}
	}
	wg.Wait()
}

// probePeriodically probes one daemon until ctx ends. Probes do not overlap.
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
