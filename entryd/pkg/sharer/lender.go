package sharer

import (
	"errors"
	"time"
)

const (
	// SpareLife is the time after which a token that was granted ahead expires.
	SpareLife = time.Second
	// keptFraction is the part of the depth that the lender keeps, but no less than the burst:
	// it grants tokens ahead of requests only from the rest.
	keptFraction = 0.5
	// startTime is the time for which a new lender lends at the start rate. After it, all
	// daemons have heard of the loss of the one before.
	startTime = 2500 * time.Millisecond
	// emptyWait is the time after which a daemon without a rate of its own is asked again.
	emptyWait = time.Second
)

// Errors of Lender.Lend.
var (
	// ErrNotLender reports that the daemon neither is the lender nor stands in for it.
	ErrNotLender = errors.New("lend: not a lender of the institution")
	// ErrUnknownInstitution reports that the configuration in force has no such institution.
	ErrUnknownInstitution = errors.New("lend: unknown institution")
)

// Ask is a request for tokens.
type Ask struct {
	Institution string
	// Wanted is the number of requests that wait, Spare the number of tokens to grant ahead,
	// and Unused the number of tokens that are given back.
	Wanted, Spare, Unused int
}

// Grant is the answer to an Ask.
type Grant struct {
	Granted, Spare int
	// Wait is the time after which a token is due, if fewer than wanted were granted.
	Wait time.Duration
	// Role is that of the daemon that granted.
	Role Role
}

// Lender lends the tokens of the institutions for which a daemon is the lender or a standby.
// It is not safe for concurrent use.
type Lender struct {
	quota    Quota
	limits   map[string]Limit
	view     *View
	accounts map[string]*account
}

// account is what a daemon may lend of an institution.
type account struct {
	role   Role
	bucket Bucket
	// since is when the daemon became the lender, and starting is true for startTime after.
	since    time.Time
	starting bool
	// spares allows tokens to be granted ahead.
	spares Bucket
}

// NewLender returns a lender without institutions.
func NewLender(q Quota, v *View) *Lender {
	return &Lender{
		quota:    q,
		view:     v,
		accounts: make(map[string]*account),
	}
}

// Configure replaces the limits. A limit that was lowered holds at once.
func (l *Lender) Configure(now time.Time, limits map[string]Limit) {
	l.limits = limits
	for name, a := range l.accounts {
		if _, ok := limits[name]; !ok {
			delete(l.accounts, name)
			continue
		}
		l.settle(now, name, a)
	}
}

// SetView replaces the view of the fleet.
func (l *Lender) SetView(now time.Time, v *View) {
	l.view = v
	for name, a := range l.accounts {
		role := v.Role(name)
		if role == LenderRole && a.role != LenderRole {
			a.since = now
		}
		a.role = role
		l.settle(now, name, a)
	}
}

// Resume is to be called with the new view when this daemon was frozen. What it could have lent
// until then counts no more.
func (l *Lender) Resume(v *View) {
	l.view = v
	clear(l.accounts)
}

// Lends returns the role of the daemon for an institution, and the tokens that it could lend.
func (l *Lender) Lends(now time.Time, institution string) (Role, float64) {
	a := l.accounts[institution]
	if a == nil {
		return l.view.Role(institution), 0
	}
	a.bucket.Fill(now)
	return a.role, a.bucket.Tokens()
}

// settle sets the rates and depths of an account. It adds no tokens. A daemon that is no
// lender keeps no more than the reserve.
func (l *Lender) settle(now time.Time, name string, a *account) {
	limit, fraction := l.limits[name], l.view.fraction
	part := l.quota.allowance(limit)
	if a.role != LenderRole {
		a.bucket.Set(now, part.reserveRate*fraction, part.reserve*fraction)
		a.spares = Bucket{}
		return
	}
	rate := part.rate
	a.starting = l.view.young || now.Sub(a.since) < startTime
	if a.starting {
		rate = part.startRate
	}
	a.bucket.Set(now, rate*fraction, part.depth*fraction)
	// Half of the spares may be saved and half are restored in the life of one, so that there
	// are never more.
	spares := part.spares * fraction / 2
	a.spares.Set(now, spares/SpareLife.Seconds(), spares)
}

// account returns the account of an institution. A new one holds the reserve, and what the
// lender has earned since the fleet last changed.
func (l *Lender) account(now time.Time, name string) *account {
	if a := l.accounts[name]; a != nil {
		return a
	}
	a := &account{
		role:  l.view.Role(name),
		since: l.view.since,
	}
	l.accounts[name] = a
	l.settle(now, name, a)
	if a.role == LenderRole || !l.view.young {
		a.bucket.Put(l.quota.allowance(l.limits[name]).reserve * l.view.fraction)
	}
	if a.role == LenderRole {
		a.bucket.Put(a.bucket.Rate() * now.Sub(l.view.since).Seconds())
	}
	return a
}

// Lend grants tokens. An institution without a limit gets what it asks for.
func (l *Lender) Lend(now time.Time, ask Ask) (Grant, error) {
	limit, ok := l.limits[ask.Institution]
	if !ok {
		return Grant{}, ErrUnknownInstitution
	}
	if limit.Rate <= 0 {
		return Grant{
			Granted: ask.Wanted,
		}, nil
	}
	a := l.account(now, ask.Institution)
	if a.role == Borrower {
		return Grant{}, ErrNotLender
	}
	if a.starting {
		l.settle(now, ask.Institution, a)
	}
	a.bucket.Fill(now)
	a.bucket.Put(float64(ask.Unused))
	g := Grant{
		Role: a.role,
	}
	for g.Granted < ask.Wanted && a.bucket.Take(now) {
		g.Granted++
	}
	keep := max(keptFraction*a.bucket.Burst(), limit.Burst)
	for g.Spare < ask.Spare && a.bucket.Tokens()-1 >= keep && a.spares.Take(now) {
		a.bucket.Take(now)
		g.Spare++
	}
	if g.Granted < ask.Wanted {
		g.Wait = emptyWait
		if next, ok := a.bucket.Next(now); ok && a.bucket.Burst() >= 1 {
			g.Wait = next.Sub(now)
		}
	}
	return g, nil
}
