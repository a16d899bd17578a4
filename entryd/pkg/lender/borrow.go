package lender

import (
	"context"
	"errors"
	"time"

	"github.com/jonboulle/clockwork"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"plantaincleat/entryd/pkg/sharer"
	"plantaincleat/tier/gen/peer"
)

const (
	// answerTimeout is the time after which the next daemon is asked. It is longer than a
	// round trip between regions.
	answerTimeout = 40 * time.Millisecond
	// callTimeout is the time after which a call is given up. The tokens of a late answer are
	// kept for requests to come.
	callTimeout = time.Second
)

var (
	// errTimeout reports that a daemon has not answered within answerTimeout.
	errTimeout = errors.New("lend: no answer in time")
	// errFrozen reports that this daemon was frozen while it waited for an answer.
	errFrozen = errors.New("lend: frozen while waiting for an answer")
)

// borrow adds a request to those that wait for tokens, or borrows spare tokens if w is nil,
// and starts a goroutine unless one is borrowing for the institution already. r.mu is held.
func (r *Runner) borrow(institution string, w *waiter) {
	list, running := r.waiting[institution]
	if w != nil {
		list = append(list, w)
	}
	r.waiting[institution] = list
	if !running {
		go r.run(institution)
	}
}

// run borrows tokens for the requests that wait until there are none.
func (r *Runner) run(institution string) {
	for {
		r.mu.Lock()
		list := r.waiting[institution]
		batch := list[:min(len(list), maxWanted)]
		r.waiting[institution] = list[len(batch):]
		now := r.begin()
		since := r.since
		ask := r.stock.Ask(now, institution, len(batch))
		order := r.stock.Arrange(now, r.fleet.View().Order(institution))
		r.mu.Unlock()
		var grant sharer.Grant
		var from string
		var err error
		if ask.Wanted+ask.Spare > 0 {
			grant, from, err = r.askAll(order, ask)
		}
		r.mu.Lock()
		if r.begin(); r.since != since {
			// The tokens were granted before the freeze.
			grant, err = sharer.Grant{}, errFrozen
		}
		r.deliver(institution, batch, grant, from, err)
		if len(r.waiting[institution]) == 0 {
			delete(r.waiting, institution)
			r.mu.Unlock()
			return
		}
		r.mu.Unlock()
	}
}

// deliver passes tokens to the requests that wait. r.mu is held.
func (r *Runner) deliver(institution string, batch []*waiter, g sharer.Grant, from string, err error) {
	left := g.Granted
	now := r.Clock.Now()
	if err == nil {
		r.usageFor(institution).heard = now
	}
	for _, w := range batch {
		a := answer{
			verdict: sharer.Unanswered,
			from:    from,
		}
		switch {
		case w.gone:
			continue
		case left > 0:
			left--
			a.verdict = sharer.Admitted
		case r.stock.Use(now, institution):
			// The tokens of a late answer have come while others were asked.
			a.verdict = sharer.Admitted
		case err == nil && g.Role == sharer.LenderRole:
			a.verdict = sharer.Refused
			a.wait = g.Wait
		}
		w.done <- a
	}
	r.stock.Add(now, institution, g, left)
}

// askAll asks the daemons in order until all requests that wait have tokens or the lender says
// that there are no more. It returns the sum of the grants and the id of the daemon that has
// answered last.
func (r *Runner) askAll(order []string, ask sharer.Ask) (sharer.Grant, string, error) {
	var sum sharer.Grant
	err, from := errTimeout, ""
	for _, id := range order {
		g, failure := r.askOne(id, ask)
		// A daemon that answers late has taken back what is unused: it is told only once.
		ask.Unused = 0
		if failure != nil {
			continue
		}
		from, err = id, nil
		ask.Wanted -= min(g.Granted, ask.Wanted)
		sum.Granted += g.Granted
		sum.Spare += g.Spare
		sum.Role, sum.Wait = g.Role, g.Wait
		if g.Role == sharer.LenderRole || ask.Wanted == 0 {
			break
		}
	}
	return sum, from, err
}

// askOne asks one daemon and waits for its answer no longer than answerTimeout.
func (r *Runner) askOne(id string, ask sharer.Ask) (sharer.Grant, error) {
	if id == r.ID {
		r.mu.Lock()
		defer r.mu.Unlock()
		return r.lender.Lend(r.begin(), ask)
	}
	type result struct {
		grant sharer.Grant
		err   error
	}
	done := make(chan result)
	late := make(chan struct{})
	begin := r.Clock.Now()
	go func() {
		g, err := r.call(id, ask)
		select {
		case done <- result{
			grant: g,
			err:   err,
		}:
		case <-late:
			r.recordLate(id, ask.Institution, g, err, begin)
		}
	}()
	timer := r.Clock.NewTimer(answerTimeout)
	defer timer.Stop()
	select {
	case res := <-done:
		r.recordAnswer(id, res.err)
		return res.grant, res.err
	case <-timer.Chan():
		close(late)
		r.recordAnswer(id, errTimeout)
		return sharer.Grant{}, errTimeout
	}
}

// recordAnswer records whether a daemon has answered. One that says that it is no lender has.
func (r *Runner) recordAnswer(id string, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if err == nil || status.Code(err) == codes.FailedPrecondition || status.Code(err) == codes.NotFound {
		r.stock.Answered(id)
		return
	}
	r.stock.Failed(r.Clock.Now(), id)
}

// recordLate keeps the tokens of an answer that came too late, unless this daemon was frozen
// since it asked.
func (r *Runner) recordLate(id, institution string, g sharer.Grant, err error, begin time.Time) {
	if err != nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.begin()
	r.stock.Answered(id)
	if r.limits[institution].Rate > 0 && !r.since.After(begin) {
		r.stock.Add(now, institution, g, g.Granted)
	}
}

// call makes one call to a peer.
func (r *Runner) call(id string, ask sharer.Ask) (sharer.Grant, error) {
	r.mu.Lock()
	address, revision := r.addresses[id], r.revision
	r.mu.Unlock()
	conn, err := r.Dial(address)
	if err != nil {
		return sharer.Grant{}, err
	}
	ctx, cancel := clockwork.WithTimeout(context.Background(), r.Clock, callTimeout)
	defer cancel()
	reply, err := peer.NewPeerClient(conn).Lend(ctx, &peer.LendRequest{
		Institution: ask.Institution,
		Borrower:    r.ID,
		Wanted:      uint32(ask.Wanted),
		Spare:       uint32(ask.Spare),
		Unused:      uint32(ask.Unused),
		Revision:    revision,
	})
	if err != nil {
		return sharer.Grant{}, err
	}
	return decodeGrant(reply, ask), nil
}

// decodeGrant returns the grant of a reply, which counts for no more than was asked for.
func decodeGrant(reply *peer.LendReply, ask sharer.Ask) sharer.Grant {
	g := sharer.Grant{
		Granted: min(int(reply.GetGranted()), ask.Wanted),
		Spare:   min(int(reply.GetSpare()), ask.Spare),
		Wait:    time.Duration(reply.GetWait()) * time.Millisecond,
		Role:    sharer.Standby,
	}
	if reply.GetLender() {
		g.Role = sharer.LenderRole
	}
	return g
}
