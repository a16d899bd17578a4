package sharer

import (
	"math/rand/v2"
	"time"
)

const (
	// maxSpares is the greatest number of tokens that a daemon asks for ahead of requests.
	maxSpares = 16
	// spareNeed is the part of the requests expected in the life of a spare that a daemon asks
	// for ahead. With less than one, it asks for none, since most would expire.
	spareNeed = 0.5
	// passOver is the time for which a daemon that did not answer is asked last.
	passOver = 500 * time.Millisecond
	// maxHold is the longest time for which requests are refused without asking the lender.
	maxHold = 250 * time.Millisecond
	// minRetry and maxRetry bound the time after which a refused request may be sent again.
	minRetry = 50 * time.Millisecond
	maxRetry = 30 * time.Second
)

// Stock is what a daemon that admits requests has borrowed. It is not safe for concurrent
// use.
type Stock struct {
	random   *rand.Rand
	limits   map[string]Limit
	accounts map[string]*stockAccount
	// passed holds until when a daemon that did not answer is asked last.
	passed map[string]time.Time
}

type stockAccount struct {
	demand, refusals Meter
	// spares are the tokens in hand, which expire together.
	spares  int
	expires time.Time
	// unused are the tokens that have expired and can be given back.
	unused int
	// empty is when the next token is due, according to the lender.
	empty time.Time
}

// NewStock returns a stock without institutions. The random source jitters the times after
// which refused requests may be sent again.
func NewStock(r *rand.Rand) *Stock {
	return &Stock{
		random:   r,
		accounts: make(map[string]*stockAccount),
		passed:   make(map[string]time.Time),
	}
}

// Configure replaces the limits. Tokens of institutions whose rate has fallen are dropped.
func (s *Stock) Configure(limits map[string]Limit) {
	for name, a := range s.accounts {
		next, ok := limits[name]
		switch {
		case !ok:
			delete(s.accounts, name)
		case next != s.limits[name]:
			if next.Rate < s.limits[name].Rate {
				a.spares, a.unused = 0, 0
			}
			a.empty = time.Time{}
		}
	}
	s.limits = limits
}

// Resume is to be called when this daemon was frozen. It drops the tokens in hand, which may have
// been granted long ago.
func (s *Stock) Resume() {
	for _, a := range s.accounts {
		a.spares, a.unused = 0, 0
		a.empty = time.Time{}
	}
	clear(s.passed)
}

// Verdict is what becomes of a request.
type Verdict int

// Verdicts on a request.
const (
	// Admitted requests hold a token, or need none.
	Admitted Verdict = iota
	// Refused requests are beyond the limit.
	Refused
	// Unanswered requests are refused because no lender has answered.
	Unanswered
	// Pending requests need a token of the lender.
	Pending
)

var verdictNames = []string{"admitted", "over the limit", "no lender answers", "pending"}

// String returns the name of the verdict as used in logs.
func (v Verdict) String() string { return verdictNames[v] }

// Take decides on a request of an institution, without asking another daemon.
func (s *Stock) Take(now time.Time, institution string) Verdict {
	if s.limits[institution].Rate <= 0 {
		return Admitted
	}
	a := s.account(institution)
	a.demand.Add(now)
	switch {
	case s.Use(now, institution):
		return Admitted
	case now.Before(a.empty):
		return Refused
	}
	return Pending
}

// Use spends a token in hand and reports whether there was one.
func (s *Stock) Use(now time.Time, institution string) bool {
	a := s.account(institution)
	a.expire(now)
	if a.spares == 0 {
		return false
	}
	a.spares--
	return true
}

// Ask returns what to ask a lender for, for a number of requests that wait.
func (s *Stock) Ask(now time.Time, institution string, wanted int) Ask {
	a := s.account(institution)
	a.expire(now)
	out := Ask{
		Institution: institution,
		Wanted:      wanted,
		Unused:      a.unused,
	}
	a.unused = 0
	need := int(spareNeed * a.demand.Value(now) * SpareLife.Seconds())
	out.Spare = max(min(need, maxSpares)-a.spares, 0)
	return out
}

// NeedsSpares reports whether tokens should be borrowed in the background.
func (s *Stock) NeedsSpares(now time.Time, institution string) bool {
	if s.limits[institution].Rate <= 0 {
		return false
	}
	a := s.account(institution)
	return a.spares == 0 && !now.Before(a.empty) && int(spareNeed*a.demand.Value(now)*SpareLife.Seconds()) > 0
}

// Add records a grant, with its spare tokens and with those of requests that wait no longer.
func (s *Stock) Add(now time.Time, institution string, g Grant, abandoned int) {
	a := s.account(institution)
	a.expire(now)
	if n := g.Spare + abandoned; n > 0 {
		if a.spares == 0 {
			a.expires = now.Add(SpareLife)
		}
		a.spares += n
	}
	if g.Wait > 0 && g.Role == LenderRole {
		a.empty = now.Add(min(g.Wait, maxHold))
	}
}

// Retry records a refusal and returns the time after which the request may be sent again,
// given the time until a token is due. Refused requests are spread over the time in which
// there are tokens for as many.
func (s *Stock) Retry(now time.Time, institution string, wait time.Duration) time.Duration {
	a := s.account(institution)
	if due := a.empty.Sub(now); due > wait {
		wait = due
	}
	a.refusals.Add(now)
	spread := wait
	if rate := s.limits[institution].Rate; rate > 0 {
		spread = max(spread, time.Duration(min(a.refusals.Value(now)/rate, maxRetry.Seconds())*float64(time.Second)))
	}
	return min(max(wait, minRetry)+time.Duration(s.random.Float64()*float64(spread)), maxRetry)
}

// Held returns the number of tokens in hand.
func (s *Stock) Held(now time.Time, institution string) int {
	a := s.accounts[institution]
	if a == nil {
		return 0
	}
	a.expire(now)
	return a.spares
}

// Demand returns the requests a second of an institution at this daemon.
func (s *Stock) Demand(now time.Time, institution string) float64 {
	if a := s.accounts[institution]; a != nil {
		return a.demand.Value(now)
	}
	return 0
}

// Arrange moves daemons that have not answered lately to the end of an order.
func (s *Stock) Arrange(now time.Time, order []string) []string {
	var first, last []string
	for _, id := range order {
		if now.Before(s.passed[id]) {
			last = append(last, id)
		} else {
			first = append(first, id)
		}
	}
	return append(first, last...)
}

// Failed records that a daemon has not answered in time.
func (s *Stock) Failed(now time.Time, daemon string) { s.passed[daemon] = now.Add(passOver) }

// Answered records that a daemon has answered.
func (s *Stock) Answered(daemon string) { delete(s.passed, daemon) }

func (s *Stock) account(institution string) *stockAccount {
	a := s.accounts[institution]
	if a == nil {
		a = &stockAccount{}
		s.accounts[institution] = a
	}
	return a
}

func (a *stockAccount) expire(now time.Time) {
	if a.spares > 0 && !now.Before(a.expires) {
		a.unused += a.spares
		a.spares = 0
	}
}
