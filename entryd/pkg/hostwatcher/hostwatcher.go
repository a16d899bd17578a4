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
	// interval lies between two polls.
	interval = time.Second
	// timeout bounds one poll.
	timeout = 3 * time.Second
	// byteRate bounds the mean bytes per second of lists that are polled: a
	// longer list is polled less often.
	byteRate = 6000
)

// Options are the collaborators of a Lister.
type Options struct {
	// URL of the host list.
	URL string
	// Seeds are addresses from the settings, kept beside those of the list.
	Seeds []string
	// Self is this daemon's own address, which is no seed.
	Self string
	// Needed reports whether this daemon polls. Nil polls always. The first
	// list is read in any case.
	Needed func() bool
	// OnSeeds takes the addresses to join through.
	OnSeeds func(seeds []string)
	// OnLeaving takes a target that the list calls leaving. It is called again
	// with every poll, also when the list cannot be had.
	OnLeaving func(target string)
	Client    *http.Client
	Clock     clockwork.Clock
}

// Lister polls the host list. It is safe for concurrent use.
type Lister struct {
	Options
	state state
	// last holds the entries of the last list, and tag its entity tag.
	last    []host
	tag     string
	size    int
	next    time.Time
	seeds   []string
	failing bool
	// joined is true once a list has been read.
	joined bool

	polls   atomic.Uint64
	errors  atomic.Uint64
	skipped atomic.Uint64
}

// New returns a Lister that has not started yet.
func New(o Options) *Lister {
	if o.Client == nil {
		o.Client = http.DefaultClient
	}
	return &Lister{
		Options: o,
		state:   newState(),
	}
}

// Run polls until ctx ends.
func (l *Lister) Run(ctx context.Context) {
	ticker := l.Clock.NewTicker(interval)
	defer ticker.Stop()
	for {
		l.round(ctx)
		select {
		case <-ticker.Chan():
		case <-ctx.Done():
			return
		}
	}
}

// round polls if this daemon is to and passes on what is known.
func (l *Lister) round(ctx context.Context) {
	if !l.Clock.Now().Before(l.next) && (!l.joined || l.needed()) {
		l.step(ctx)
	}
	l.tell()
}

func (l *Lister) needed() bool { return l.Needed == nil || l.Needed() }

// step polls once and logs when polling starts or stops to fail.
func (l *Lister) step(ctx context.Context) {
	l.polls.Add(1)
	err := l.Poll(ctx)
	if err != nil {
		l.errors.Add(1)
	}
	switch {
	case err != nil && !l.failing:
		slog.Warn("host list not read", "error", err.Error())
	case err == nil && l.failing:
		slog.Info("host list read again")
	}
	l.failing = err != nil
	l.joined = l.joined || err == nil
	spacing := time.Duration(l.size) * time.Second / byteRate
	l.next = l.Clock.Now().Add(max(spacing, interval))
}

// Poll reads the list once. On an error what earlier lists told stays.
func (l *Lister) Poll(ctx context.Context) error {
	ctx, cancel := clockwork.WithTimeout(ctx, l.Clock, timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, l.URL, nil)
	if err != nil {
		return eris.Wrapf(err, "host list: URL %q", l.URL)
	}
	if l.tag != "" {
		req.Header.Set("If-None-Match", l.tag)
	}
	res, err := l.Client.Do(req)
	if err != nil {
		return eris.Wrapf(err, "host list: %s", l.URL)
	}
	defer func() { _ = res.Body.Close() }()
	switch res.StatusCode {
	case http.StatusNotModified:
		l.size = 0
		l.state.merge(l.last, l.Clock.Now())
		return nil
	case http.StatusOK:
	default:
		return eris.Errorf("host list: %s answered %s", l.URL, res.Status)
	}
	hosts, skipped, size, err := parse(res.Body)
	l.size = size
	if err != nil {
		return eris.Wrapf(err, "host list: %s", l.URL)
	}
	l.last, l.tag = hosts, res.Header.Get("ETag")
	l.skipped.Add(uint64(skipped))
	l.state.merge(hosts, l.Clock.Now())
	return nil
}

// tell passes on what is known: seeds when they change, leaving targets always.
// A daemon that does not poll any more leaves those to the ones that do, since
// what it knows grows old.
func (l *Lister) tell() {
	seeds := slices.Clone(l.Seeds)
	for _, s := range l.state.seeds() {
		if s != l.Self && !slices.Contains(seeds, s) {
			seeds = append(seeds, s)
		}
	}
	if !slices.Equal(seeds, l.seeds) {
		l.seeds = seeds
		l.OnSeeds(seeds)
	}
	for _, t := range l.state.targets() {
		l.OnLeaving(t)
	}
	if !l.needed() {
		clear(l.state.leaving)
		l.tag = ""
	}
}

// Polls is the number of polls.
func (l *Lister) Polls() uint64 { return l.polls.Load() }

// Errors is the number of polls that failed.
func (l *Lister) Errors() uint64 { return l.errors.Load() }

// Skipped is the number of list entries that could not be used.
func (l *Lister) Skipped() uint64 { return l.skipped.Load() }
