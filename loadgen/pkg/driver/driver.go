// Package driver sends an open-loop load: each request goes out at its
// intended time, however long the answers to others take, and its latency
// counts from that time.
package driver

import (
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/jonboulle/clockwork"

	"plantaincleat/loadgen/pkg/caller"
	"plantaincleat/loadgen/pkg/resultcollector"
	"plantaincleat/loadgen/pkg/scheduler"
	"plantaincleat/loadgen/pkg/verifier"
	"plantaincleat/tier/gen/target"
)

// ErrTooManyInFlight is the loss of a request that was not sent because too many others
// had no answer yet.
var ErrTooManyInFlight = errors.New("load generator: too many requests in flight")

// Caller sends requests to the tier.
type Caller interface {
	Search(context.Context, caller.Search) (*caller.Answer, error)
	Mutate(context.Context, caller.Mutation) (*caller.MutationAnswer, error)
}

// Options describe a run.
type Options struct {
	Load        scheduler.Options
	Institution string
	Version     string
	// LostAfter is the time after the deadline at which a request without an
	// answer is given up as lost.
	LostAfter time.Duration
	// MaxInFlight bounds the requests without an answer.
	MaxInFlight int64
	// Verifier checks the answers to reads. It may be nil.
	Verifier *verifier.Verifier
	// OnMutation is called with the end of each mutation. It may be nil.
	OnMutation func(caller.Mutation, resultcollector.Result)
	// Clock is the real clock if nil.
	Clock clockwork.Clock
}

// Driver runs a load. Use New.
type Driver struct {
	options   Options
	caller    Caller
	collector *resultcollector.Collector
	start     time.Time
	inFlight  atomic.Int64
}

// New returns a driver.
func New(c Caller, o Options) *Driver {
	if o.Clock == nil {
		o.Clock = clockwork.NewRealClock()
	}
	return &Driver{
		options:   o,
		caller:    c,
		collector: resultcollector.New(o.Load.Steps),
	}
}

// Run sends the load and waits for the last answer. It ends early, without
// sending more, when ctx ends.
func (d *Driver) Run(ctx context.Context) *resultcollector.Report {
	d.start = d.options.Clock.Now()
	var wg sync.WaitGroup
	for r := range d.options.Load.Schedule() {
		if !d.waitUntil(ctx, r.SendOffset) {
			break
		}
		if d.inFlight.Add(1) > d.options.MaxInFlight {
			d.inFlight.Add(-1)
			d.recordNotSent(&r)
			continue
		}
		wg.Go(func() {
			defer d.inFlight.Add(-1)
			d.send(context.WithoutCancel(ctx), &r)
		})
	}
	wg.Wait()
	report := d.collector.Report()
	report.Seed = d.options.Load.Seed
	report.Verified = d.options.Verifier != nil
	return report
}

// waitUntil blocks until a time after the start. It returns false when ctx ends.
func (d *Driver) waitUntil(ctx context.Context, at time.Duration) bool {
	left := at - d.options.Clock.Since(d.start)
	if left <= 0 {
		return ctx.Err() == nil
	}
	select {
	case <-d.options.Clock.After(left):
		return true
	case <-ctx.Done():
		return false
	}
}

func (d *Driver) recordNotSent(r *scheduler.Request) {
	res := d.newResult(r, r.SendOffset)
	res.Err = ErrTooManyInFlight
	d.collector.Add(res)
}

func (d *Driver) send(ctx context.Context, r *scheduler.Request) {
	if r.Class.Mutation {
		d.mutate(ctx, r)
		return
	}
	d.readPages(ctx, r)
}

// readPages reads the pages of one query. Only the first has a place in the
// schedule; each further one counts from the end of the one before it.
func (d *Driver) readPages(ctx context.Context, r *scheduler.Request) {
	s := caller.Search{
		Institution: d.options.Institution,
		Collection:  r.Class.Collection,
		Version:     d.options.Version,
		Class:       r.Class.Name,
		Query:       r.Query,
		Deadline:    r.Class.Deadline,
	}
	pinned := ""
	at := r.SendOffset
	for page := range max(1, r.Class.PageCount) {
		s.ID = fmt.Sprintf("%d-%d-%d", d.options.Load.Seed, r.Number, page)
		res := d.readPage(ctx, r, &s, at, pinned)
		d.collector.Add(res)
		if res.Answer == nil || res.Answer.Cursor == "" || len(res.Answer.Records) == 0 {
			return
		}
		last := res.Answer.Records[len(res.Answer.Records)-1]
		s.Query = nextPageQuery(r.Query, last)
		s.Cursor = res.Answer.Cursor
		pinned = res.Answer.Snapshot
		at = d.options.Clock.Since(d.start)
	}
}

// readPage reads one page.
func (d *Driver) readPage(ctx context.Context, r *scheduler.Request, s *caller.Search, at time.Duration, pinned string) resultcollector.Result {
	ctx, cancel := clockwork.WithTimeout(ctx, d.options.Clock, r.Class.Deadline+d.options.LostAfter)
	defer cancel()
	answer, err := d.caller.Search(ctx, *s)
	res := d.newResult(r, at)
	res.ID = s.ID
	res.Answer = answer
	res.Refusal, res.Err = classify(err)
	if answer != nil && d.options.Verifier != nil {
		res.Violations = d.options.Verifier.Check(s, answer, pinned)
	}
	return res
}

func (d *Driver) mutate(ctx context.Context, r *scheduler.Request) {
	ctx, cancel := clockwork.WithTimeout(ctx, d.options.Clock, r.Class.Deadline+d.options.LostAfter)
	defer cancel()
	m := caller.Mutation{
		ID:          fmt.Sprintf("%d-%d", d.options.Load.Seed, r.Number),
		Institution: d.options.Institution,
		RequestKey:  d.requestKey(r.Number),
		Collection:  r.Class.Collection,
		Version:     d.options.Version,
		Record:      r.Record,
		Text:        r.Text,
		Deadline:    r.Class.Deadline,
	}
	outcome, err := d.caller.Mutate(ctx, m)
	res := d.newResult(r, r.SendOffset)
	res.ID = m.ID
	res.Outcome = outcome
	res.Refusal, res.Err = classify(err)
	d.collector.Add(res)
	if d.options.OnMutation != nil {
		d.options.OnMutation(m, res)
	}
}

// newResult returns the end, at this time, of a request with its intended time.
func (d *Driver) newResult(r *scheduler.Request, at time.Duration) resultcollector.Result {
	return resultcollector.Result{
		Class:      r.Class.Name,
		StepIndex:  r.StepIndex,
		SendOffset: at,
		Latency:    d.options.Clock.Since(d.start) - at,
		Floor:      r.Class.Floor,
		Deadline:   r.Class.Deadline,
	}
}

// requestKey returns a UUIDv7 of the present time whose random part follows
// from the seed.
func (d *Driver) requestKey(number int) string {
	var seed [32]byte
	binary.LittleEndian.PutUint64(seed[:], d.options.Load.Seed)
	binary.LittleEndian.PutUint64(seed[8:], uint64(number))
	// A ChaCha8 reader does not fail.
	id, _ := uuid.NewV7FromReader(rand.NewChaCha8(seed))
	return id.String()
}

// classify tells a refusal from the loss of an answer.
func classify(err error) (*caller.Refusal, error) {
	var refusal *caller.Refusal
	if errors.As(err, &refusal) {
		return refusal, nil
	}
	return nil, err
}

// nextPageQuery returns the query for the page that follows a record.
func nextPageQuery(q *target.Query, last caller.Record) *target.Query {
	return &target.Query{
		Prefix: q.GetPrefix(),
		Terms:  q.GetTerms(),
		Limit:  q.GetLimit(),
		After: &target.Place{
			Score: last.Score,
			Key:   last.Key,
		},
	}
}
