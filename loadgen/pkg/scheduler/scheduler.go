// Package scheduler decides when each request of an open-loop load is sent and
// what it asks. Everything follows from a seed: the time that answers take has
// no influence.
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

// Step is a part of a run with a constant rate.
type Step struct {
	// Factor is the multiple of the run's rate.
	Factor float64
	// Rate is in requests per second.
	Rate     float64
	Duration time.Duration
}

// Options describe the load.
type Options struct {
	Classes []deploymentplanner.Class
	Steps   []Step
	Seed    uint64
	// Uniform spaces requests evenly. Otherwise the gaps are exponential, as
	// those of many independent callers.
	Uniform bool
	// ExtraTerms are added to each query.
	ExtraTerms []string
	// SameQuery gives all reads of a class the same query, as a caller does that
	// sends its request again. Otherwise no two queries are the same.
	SameQuery bool
}

// Request is one request of the load.
type Request struct {
	// Number counts from 0.
	Number int
	// SendOffset is the intended send time, after the start of the run.
	SendOffset time.Duration
	StepIndex  int
	// Class points into the options' classes.
	Class *deploymentplanner.Class
	// Query is the first page of a read.
	Query *target.Query
	// Record is the key of the record of a mutation.
	Record string
	Text   string
}

// Validate returns an error that names the first field at fault.
func (o *Options) Validate() error {
	if len(o.Classes) == 0 {
		return eris.New("field classes: at least one is needed")
	}
	for _, c := range o.Classes {
		if c.Weight <= 0 {
			return eris.Errorf("field classes: class %s has no weight", c.Name)
		}
	}
	if len(o.Steps) == 0 {
		return eris.New("field steps: at least one is needed")
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

// Schedule yields the requests of a run in the order of their send times.
func (o *Options) Schedule() iter.Seq[Request] {
	return func(yield func(Request) bool) {
		p := &generator{
			options: o,
			rng:     rand.New(rand.NewPCG(o.Seed, o.Seed)),
			queries: make(map[*deploymentplanner.Class]*target.Query),
		}
		var start time.Duration
		for i, s := range o.Steps {
			for at := start + p.nextGap(s); at < start+s.Duration; at += p.nextGap(s) {
				if !yield(p.nextRequest(i, at)) {
					return
				}
			}
			start += s.Duration
		}
	}
}

type generator struct {
	options    *Options
	rng        *rand.Rand
	nextNumber int
	queries    map[*deploymentplanner.Class]*target.Query
}

// nextGap returns the time to the next request.
func (p *generator) nextGap(s Step) time.Duration {
	mean := float64(time.Second) / s.Rate
	if p.options.Uniform {
		return time.Duration(mean)
	}
	return time.Duration(mean * p.rng.ExpFloat64())
}

func (p *generator) nextRequest(step int, at time.Duration) Request {
	c := p.pickClass()
	r := Request{
		Number:     p.nextNumber,
		SendOffset: at,
		StepIndex:  step,
		Class:      c,
	}
	p.nextNumber++
	if c.Mutation {
		r.Record = fmt.Sprintf("%04x.%08d", p.rng.UintN(1<<16), r.Number)
		r.Text = p.randomWord()
		return r
	}
	r.Query = p.newQuery(c)
	return r
}

func (p *generator) newQuery(c *deploymentplanner.Class) *target.Query {
	if q := p.queries[c]; q != nil && p.options.SameQuery {
		return q
	}
	q := &target.Query{
		Limit: uint32(c.PageSize),
		Terms: p.randomTerms(c.TermCount),
	}
	p.queries[c] = q
	return q
}

// pickClass draws a class by weight.
func (p *generator) pickClass() *deploymentplanner.Class {
	classes := p.options.Classes
	var total float64
	for i := range classes {
		total += classes[i].Weight
	}
	x := p.rng.Float64() * total
	for i := range classes {
		if x -= classes[i].Weight; x < 0 {
			return &classes[i]
		}
	}
	return &classes[len(classes)-1]
}

// randomTerms draws words, and one control term that makes the query unlike others.
func (p *generator) randomTerms(n int) []string {
	terms := make([]string, 0, n+1+len(p.options.ExtraTerms))
	for range n {
		terms = append(terms, p.randomWord())
	}
	terms = append(terms, fmt.Sprintf("%s%08x", synthesizer.ControlPrefix, p.rng.Uint32()))
	return append(terms, p.options.ExtraTerms...)
}

var vocabulary = synthesizer.Vocabulary()

func (p *generator) randomWord() string {
	return vocabulary[p.rng.IntN(len(vocabulary))]
}
