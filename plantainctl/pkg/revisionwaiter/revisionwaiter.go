// Package revisionwaiter finds out on which daemons a revision of the configuration
// is in force.
package revisionwaiter

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rotisserie/eris"
)

const (
	// pollInterval lies between two rounds of questions.
	pollInterval = 250 * time.Millisecond
	// callTimeout bounds one question.
	callTimeout = 2 * time.Second
	// callLimit is the number of questions at a time.
	callLimit = 16
	// answerLimit is the size in bytes of the largest answer.
	answerLimit = 16 << 20
)

// Waiter asks daemons for their status.
type Waiter struct {
	Client *http.Client
	// Scheme is http or https.
	Scheme string
	Clock  clockwork.Clock
}

// status is the part of GET /status that counts here.
type status struct {
	ID         string   `json:"id"`
	DataCentre string   `json:"datacentre"`
	Revision   uint64   `json:"revision"`
	Members    []member `json:"members"`
}

// member is a daemon as another one sees it.
type member struct {
	ID         string `json:"id"`
	DataCentre string `json:"datacentre"`
	State      string `json:"state"`
	Revision   uint64 `json:"revision"`
	Admin      string `json:"admin"`
}

// reply is what one address answered.
type reply struct {
	address string
	status  *status
	err     error
}

// Wait asks the given addresses, and the daemons that they name, until the
// revision is in force on all daemons that are not known to be dead, or until
// ctx ends. The report tells which it was.
func (w *Waiter) Wait(ctx context.Context, addresses []string, revision uint64) *Report {
	t := newTally(addresses, revision)
	for {
		t.add(w.ask(ctx, t.questions()))
		report := t.report()
		if report.Complete() {
			return report
		}
		select {
		case <-w.Clock.After(pollInterval):
		case <-ctx.Done():
			return report
		}
	}
}

// ask puts one question to each address.
func (w *Waiter) ask(ctx context.Context, addresses []string) []reply {
	replies := make([]reply, len(addresses))
	slots := make(chan struct{}, callLimit)
	var wait sync.WaitGroup
	for i, address := range addresses {
		wait.Go(func() {
			slots <- struct{}{}
			defer func() { <-slots }()
			s, err := w.get(ctx, address)
			replies[i] = reply{
				address: address,
				status:  s,
				err:     err,
			}
		})
	}
	wait.Wait()
	return replies
}

// get asks one daemon.
func (w *Waiter) get(ctx context.Context, address string) (*status, error) {
	ctx, cancel := clockwork.WithTimeout(ctx, w.Clock, callTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, w.Scheme+"://"+address+"/status", nil)
	if err != nil {
		return nil, eris.Wrapf(err, "ask for status: peer %s", address)
	}
	response, err := w.Client.Do(r)
	if err != nil {
		return nil, eris.Wrapf(err, "ask for status: peer %s", address)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return nil, eris.Errorf("ask for status: peer %s: %s", address, response.Status)
	}
	s := &status{}
	if err := json.NewDecoder(io.LimitReader(response.Body, answerLimit)).Decode(s); err != nil {
		return nil, eris.Wrapf(err, "ask for status: peer %s", address)
	}
	return s, nil
}
