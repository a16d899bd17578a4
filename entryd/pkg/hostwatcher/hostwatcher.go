// Package hostwatcher follows the platform's list of hosts. The list tells where
// other daemons may be found and which targets are leaving. It lags and has
// outages, so that it adds to what is known and removes nothing by silence.
package hostwatcher

import (
	"context"
	"log/slog"
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rotisserie/eris"
)

const (
	// pollInterval lies between two polls.
	pollInterval = time.Second
	// pollTimeout bounds one poll.
	pollTimeout = 3 * time.Second
	// maxByteRate bounds the mean bytes per second of lists that are polled: a
	// longer list is polled less often.
	maxByteRate = 6000
)

// Options are the collaborators of a Lister.
type Options struct {
	// URL of the host list.
	URL string
	// Seeds are addresses from the settings, kept beside those of the list.
	Seeds []string
	// Self is this daemon's own address, which is no seed.
	Self string
	// ShouldPoll reports whether this daemon polls. Nil polls always. The first
	// list is read in any case.
	ShouldPoll func() bool
	// OnSeeds takes the addresses to join through.
	OnSeeds func(seeds []string)
	// OnDraining takes a target that the list calls leaving. It is called again
	// with every poll, also when the list cannot be had.
	OnDraining func(target string)
	Client     *http.Client
	Clock      clockwork.Clock
}

// Watcher polls the host list. It is safe for concurrent use.
type Watcher struct {
	Options
	known knownHosts
	// lastHosts holds the entries of the last list, and tag its entity tag.
	lastHosts []host
	etag      string
	lastSize  int
	nextPoll  time.Time
	lastSeeds []string
	failing   bool
	// listRead is true once a list has been read.
	listRead bool

	polls   atomic.Uint64
	errors  atomic.Uint64
	skipped atomic.Uint64
}

// New returns a Lister that has not started yet.
func New(o Options) *Watcher {
	if o.Client == nil {
		o.Client = http.DefaultClient
	}
	return &Watcher{
		Options: o,
		known:   newKnownHosts(),
	}
}

// Run polls until ctx ends.
func (w *Watcher) Run(ctx context.Context) {
	ticker := w.Clock.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		w.update(ctx)
		select {
		case <-ticker.Chan():
		case <-ctx.Done():
			return
		}
	}
}

// update polls if this daemon is to and passes on what is known.
func (w *Watcher) update(ctx context.Context) {
	if !w.Clock.Now().Before(w.nextPoll) && (!w.listRead || w.shouldPoll()) {
		w.pollAndLog(ctx)
	}
	w.notify()
}

func (w *Watcher) shouldPoll() bool { return w.ShouldPoll == nil || w.ShouldPoll() }

// pollAndLog polls once and logs when polling starts or stops to fail.
func (w *Watcher) pollAndLog(ctx context.Context) {
	w.polls.Add(1)
	err := w.Poll(ctx)
	if err != nil {
		w.errors.Add(1)
	}
	switch {
	case err != nil && !w.failing:
		slog.Warn("host list not read", "error", err.Error())
	case err == nil && w.failing:
		slog.Info("host list read again")
	}
	w.failing = err != nil
	w.listRead = w.listRead || err == nil
	spacing := time.Duration(w.lastSize) * time.Second / maxByteRate
	w.nextPoll = w.Clock.Now().Add(max(spacing, pollInterval))
}

// Poll reads the list once. On an error what earlier lists told stays.
func (w *Watcher) Poll(ctx context.Context) error {
	ctx, cancel := clockwork.WithTimeout(ctx, w.Clock, pollTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, w.URL, nil)
	if err != nil {
		return eris.Wrapf(err, "host list: URL %q", w.URL)
	}
	if w.etag != "" {
		req.Header.Set("If-None-Match", w.etag)
	}
	res, err := w.Client.Do(req)
	if err != nil {
		return eris.Wrapf(err, "host list: %s", w.URL)
	}
	defer func() { _ = res.Body.Close() }()
	switch res.StatusCode {
	case http.StatusNotModified:
		w.lastSize = 0
		w.known.merge(w.lastHosts, w.Clock.Now())
		return nil
	case http.StatusOK:
	default:
		return eris.Errorf("host list: %s answered %s", w.URL, res.Status)
	}
	hosts, skipped, size, err := parse(res.Body)
	w.lastSize = size
	if err != nil {
		return eris.Wrapf(err, "host list: %s", w.URL)
	}
	w.lastHosts, w.etag = hosts, res.Header.Get("ETag")
	w.skipped.Add(uint64(skipped))
	w.known.merge(hosts, w.Clock.Now())
	return nil
}

// notify passes on what is known: seeds when they change, leaving targets always.
// A daemon that does not poll any more leaves those to the ones that do, since
// what it knows grows old.
func (w *Watcher) notify() {
	seeds := slices.Clone(w.Seeds)
	for _, s := range w.known.seeds() {
		if s != w.Self && !slices.Contains(seeds, s) {
			seeds = append(seeds, s)
		}
	}
	if !slices.Equal(seeds, w.lastSeeds) {
		w.lastSeeds = seeds
		w.OnSeeds(seeds)
	}
	for _, t := range w.known.targets() {
		w.OnDraining(t)
	}
	if !w.shouldPoll() {
		clear(w.known.draining)
		w.etag = ""
	}
}

// Polls is the number of polls.
func (w *Watcher) Polls() uint64 { return w.polls.Load() }

// Errors is the number of polls that failed.
func (w *Watcher) Errors() uint64 { return w.errors.Load() }

// Skipped is the number of list entries that could not be used.
func (w *Watcher) Skipped() uint64 { return w.skipped.Load() }
