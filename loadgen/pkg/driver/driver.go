// Package driver sends an open-loop load. It sends each request at its intended
// time, even if earlier requests have not been answered, and measures latencies
// from the intended send times.
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

// ErrTooManyInFlight is the error of a request that was not sent because
// Options.MaxInFlight other requests were in flight.
var ErrTooManyInFlight = errors.New("load generator: too many requests in flight")

// Caller sends requests to the tier. It must be safe for concurrent use.
type Caller interface {
	Search(context.Context, caller.Search) (*caller.Answer, error)
	Mutate(context.Context, caller.Mutation) (*caller.MutationAnswer, error)
}

// Options configure a run.
type Options struct {
	Load        scheduler.Options
	Institution string
	Version     string
	// LostAfter is the time after the deadline at which a request without an
	// answer is cancelled and counted as lost.
	LostAfter time.Duration
	// MaxInFlight is the maximum number of requests in flight. Further requests
	// are not sent and count as lost.
	MaxInFlight int64
	// Verifier verifies the answers to reads. If it is nil, they are not verified.
	Verifier *verifier.Verifier
	// OnMutation is called with the result of each mutation that was sent. It must
	// be safe for concurrent use and may be nil.
	OnMutation func(caller.Mutation, resultcollector.Result)
	// Clock defaults to the real clock.
	Clock clockwork.Clock
}

// Driver runs one load. Use New to create one.
type Driver struct {
	options   Options
	caller    Caller
	collector *resultcollector.Collector
	start     time.Time
	inFlight  atomic.Int64
}

// New returns a driver that sends the load through c.
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

// Run sends the load, waits for all answers and returns the report. When ctx ends,
// it sends no further scheduled requests but still waits for the requests in
// flight. It must be called once.
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

// waitUntil blocks until the given time after the start of the run. It returns
// false if ctx ends.
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

// recordNotSent records the loss of a request that was not sent because too many
// others were in flight.
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

// readPages reads the pages of one query one after the other. The intended send
// time of the first page comes from the schedule. The latency of each further page
// is measured from the end of the previous one.
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

// readPage reads one page and verifies the answer.
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

// newResult returns the result of a request that ends now and whose intended send
// time was at.
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

// requestKey returns a UUIDv7 of the current time. Its random part depends only on
// the seed and the number of the request.
func (d *Driver) requestKey(number int) string {
	var seed [32]byte
	binary.LittleEndian.PutUint64(seed[:], d.options.Load.Seed)
	binary.LittleEndian.PutUint64(seed[8:], uint64(number))
	// NewV7FromReader fails only if the reader does, and a ChaCha8 reader does not
	// fail.
	id, _ := uuid.NewV7FromReader(rand.NewChaCha8(seed))
	return id.String()
}

// classify returns err as a refusal if it is one, and otherwise as the error of a
// lost request.
func classify(err error) (*caller.Refusal, error) {
	var refusal *caller.Refusal
	if errors.As(err, &refusal) {
		return refusal, nil
	}
	return nil, err
}

// nextPageQuery returns the query for the page after the one that ends with last.
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
