// Package hostwatcher polls the platform's list of hosts. The list contains the
// addresses of other daemons and the targets that are draining. It may be delayed,
// incomplete or unavailable, so a host that is missing from it is not removed at once.
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
	// pollInterval is the shortest time between two polls.
	pollInterval = time.Second
	// pollTimeout bounds the time of one poll.
	pollTimeout = 3 * time.Second
	// maxByteRate bounds the mean rate of polled data in bytes per second: long
	// lists are polled less often.
	maxByteRate = 6000
)

// Options configure a Watcher.
type Options struct {
	// URL is that of the host list.
	URL string
	// Seeds are addresses from the settings, which are used in addition to those
	// of the list.
	Seeds []string
	// Self is this daemon's own address, which is not used as a seed.
	Self string
	// ShouldPoll reports whether this daemon has to poll. Nil means that it
	// always polls. Polls are made in any case until a list has been read.
	ShouldPoll func() bool
	// OnSeeds is called with the seed addresses when they change.
	OnSeeds func(seeds []string)
	// OnDraining is called with the id of each target whose state in the list is
	// leaving. The call is repeated in each pollInterval, even if polls fail.
	OnDraining func(target string)
	// Client sends the requests. Nil selects http.DefaultClient.
	Client *http.Client
	Clock  clockwork.Clock
}

// Watcher polls the host list. Polls, Errors and Skipped are safe for concurrent use
// with Run; the other methods must not be called concurrently.
type Watcher struct {
	Options
	known knownHosts
	// lastHosts holds the usable entries of the last list, etag its entity tag,
	// and lastSize the number of bytes of the last answer.
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

// New returns a Watcher, which polls once Run is called.
func New(o Options) *Watcher {
	if o.Client == nil {
		o.Client = http.DefaultClient
	}
	return &Watcher{
		Options: o,
		known:   newKnownHosts(),
	}
}

// Run polls until ctx is done.
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

// update polls if a poll is due and this daemon has to poll, then reports what is known.
func (w *Watcher) update(ctx context.Context) {
	if !w.Clock.Now().Before(w.nextPoll) && (!w.listRead || w.shouldPoll()) {
		w.pollAndLog(ctx)
	}
	w.notify()
}

func (w *Watcher) shouldPoll() bool { return w.ShouldPoll == nil || w.ShouldPoll() }

// pollAndLog polls once. It logs the first failure and the first success after one.
func (w *Watcher) pollAndLog(ctx context.Context) {
	w.polls.Add(1)
	err := w.Poll(ctx)
	if err != nil {
		w.errors.Add(1)
	}
	switch {
	case err != nil && !w.failing:
		slog.Warn("polling the host list failed: earlier lists stay in use", "err", err.Error())
	case err == nil && w.failing:
		slog.Info("polling the host list succeeded after failures")
	}
	w.failing = err != nil
	w.listRead = w.listRead || err == nil
	spacing := time.Duration(w.lastSize) * time.Second / maxByteRate
	w.nextPoll = w.Clock.Now().Add(max(spacing, pollInterval))
}

// Poll reads the list once. After an error, what is known from earlier lists is kept.
func (w *Watcher) Poll(ctx context.Context) error {
	ctx, cancel := clockwork.WithTimeout(ctx, w.Clock, pollTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, w.URL, nil)
	if err != nil {
		return eris.Wrapf(err, "host list: create request for URL %q", w.URL)
	}
	if w.etag != "" {
		req.Header.Set("If-None-Match", w.etag)
	}
	res, err := w.Client.Do(req)
	if err != nil {
		return eris.Wrapf(err, "host list: send request to %s", w.URL)
	}
	defer func() { _ = res.Body.Close() }()
	switch res.StatusCode {
	case http.StatusNotModified:
		w.lastSize = 0
		w.known.merge(w.lastHosts, w.Clock.Now())
		return nil
	case http.StatusOK:
	default:
		return eris.Errorf("host list: %s answered with status %s", w.URL, res.Status)
	}
	hosts, skipped, size, err := parse(res.Body)
	w.lastSize = size
	if err != nil {
		return eris.Wrapf(err, "host list: read answer of %s", w.URL)
	}
	w.lastHosts, w.etag = hosts, res.Header.Get("ETag")
	w.skipped.Add(uint64(skipped))
	w.known.merge(hosts, w.Clock.Now())
	return nil
}

// notify reports what is known: seeds when they change, draining targets always. A
// daemon that no longer polls reports its draining targets once more and forgets them,
// since what it knows is not updated; the daemons that poll report them.
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
	for _, t := range w.known.drainingTargets() {
		w.OnDraining(t)
	}
	if !w.shouldPoll() {
		clear(w.known.draining)
		w.etag = ""
	}
}

// Polls returns the number of polls.
func (w *Watcher) Polls() uint64 { return w.polls.Load() }

// Errors returns the number of polls that failed.
func (w *Watcher) Errors() uint64 { return w.errors.Load() }

// Skipped returns the number of list entries that were skipped because they are not
// valid.
func (w *Watcher) Skipped() uint64 { return w.skipped.Load() }
