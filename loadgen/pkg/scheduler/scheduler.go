// Package scheduler determines the send time and the content of each request of
// an open-loop load. Both depend only on the options and the seed, never on how
// long answers take.
package scheduler

import (
	"fmt"
	"iter"
	"math/rand/v2"
	"time"

	"github.com/rotisserie/eris"

	"plantaincleat/loadgen/pkg/deploymentplanner"
	"plantaincleat/tier/gen/target"
	"plantaincleat/tier/pkg/synthesizer"
)

// Step is a period of a run with a constant request rate.
type Step struct {
	// Factor is Rate divided by the base rate of the run.
	Factor float64
	// Rate is in requests per second.
	Rate     float64
	Duration time.Duration
}

// Options configure the load.
type Options struct {
	Classes []deploymentplanner.Class
	Steps   []Step
	Seed    uint64
	// Uniform spaces requests evenly. Otherwise the gaps between requests are
	// distributed exponentially, as if many independent callers sent them.
	Uniform bool
	// ExtraTerms are appended to the terms of each query.
	ExtraTerms []string
	// SameQuery gives all reads of a class the same query, as if one caller
	// repeated its request. Otherwise each query contains a random control term, which
	// makes it differ from the others. Control terms begin with
	// synthesizer.ControlPrefix and match every record.
	SameQuery bool
}

// Request is one request of the load.
type Request struct {
	// Number is the position in the schedule, starting at 0.
	Number int
	// SendOffset is the intended send time, relative to the start of the run.
	SendOffset time.Duration
	StepIndex  int
	// Class points to an element of Options.Classes.
	Class *deploymentplanner.Class
	// Query is the query for the first page of a read. It is nil for a mutation.
	Query *target.Query
	// Record is the key of the record that a mutation writes. It is empty for a
	// read.
	Record string
	Text   string
}

// Validate returns an error that names the first invalid field, or nil.
func (o *Options) Validate() error {
	if len(o.Classes) == 0 {
		return eris.New("field classes: at least one class is required")
	}
	for _, c := range o.Classes {
		if c.Weight <= 0 {
			return eris.Errorf("field classes: class %s: weight is not positive", c.Name)
		}
	}
	if len(o.Steps) == 0 {
		return eris.New("field steps: at least one step is required")
	}
	for i, s := range o.Steps {
		if s.Rate <= 0 {
			return eris.Errorf("field steps[%d]: rate %v is not positive", i, s.Rate)
		}
		if s.Duration <= 0 {
			return eris.Errorf("field steps[%d]: duration %v is not positive", i, s.Duration)
		}
	}
	return nil
}

// Schedule yields the requests of a run in the order of their send offsets.
func (o *Options) Schedule() iter.Seq[Request] {
	return func(yield func(Request) bool) {
		g := &generator{
			options: o,
			rng:     rand.New(rand.NewPCG(o.Seed, o.Seed)),
			queries: make(map[*deploymentplanner.Class]*target.Query),
		}
		var start time.Duration
		for i, s := range o.Steps {
			for at := start + g.nextGap(s); at < start+s.Duration; at += g.nextGap(s) {
				if !yield(g.nextRequest(i, at)) {
					return
				}
			}
			start += s.Duration
		}
	}
}

// generator produces the requests of one run.
type generator struct {
	options    *Options
	rng        *rand.Rand
	nextNumber int
	queries    map[*deploymentplanner.Class]*target.Query
}

// nextGap returns the time between two consecutive requests of a step.
func (g *generator) nextGap(s Step) time.Duration {
	mean := float64(time.Second) / s.Rate
	if g.options.Uniform {
		return time.Duration(mean)
	}
	return time.Duration(mean * g.rng.ExpFloat64())
}

func (g *generator) nextRequest(step int, at time.Duration) Request {
	c := g.pickClass()
	r := Request{
		Number:     g.nextNumber,
		SendOffset: at,
		StepIndex:  step,
		Class:      c,
	}
	g.nextNumber++
	if c.Mutation {
		r.Record = fmt.Sprintf("%04x.%08d", g.rng.UintN(1<<16), r.Number)
		r.Text = g.randomWord()
		return r
	}
	r.Query = g.newQuery(c)
	return r
}

func (g *generator) newQuery(c *deploymentplanner.Class) *target.Query {
	if q := g.queries[c]; q != nil && g.options.SameQuery {
		return q
	}
	q := &target.Query{
		Limit: uint32(c.PageSize),
		Terms: g.randomTerms(c.TermCount),
	}
	g.queries[c] = q
	return q
}

// pickClass selects a random class with a probability proportional to its weight.
func (g *generator) pickClass() *deploymentplanner.Class {
	classes := g.options.Classes
	var total float64
	for i := range classes {
		total += classes[i].Weight
	}
	x := g.rng.Float64() * total
	for i := range classes {
		if x -= classes[i].Weight; x < 0 {
			return &classes[i]
		}
	}
	return &classes[len(classes)-1]
}

// randomTerms returns n random words, a random control term that distinguishes
// the query from others, and the extra terms.
func (g *generator) randomTerms(n int) []string {
	terms := make([]string, 0, n+1+len(g.options.ExtraTerms))
	for range n {
		terms = append(terms, g.randomWord())
	}
	terms = append(terms, fmt.Sprintf("%s%08x", synthesizer.ControlPrefix, g.rng.Uint32()))
	return append(terms, g.options.ExtraTerms...)
}

var vocabulary = synthesizer.Vocabulary()

func (g *generator) randomWord() string {
	return vocabulary[g.rng.IntN(len(vocabulary))]
}
