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
	// maxConcurrentCalls is the number of questions at a time.
	maxConcurrentCalls = 16
	// maxAnswerBytes is the size in bytes of the largest answer.
	maxAnswerBytes = 16 << 20
)

// Waiter asks daemons for their status.
type Waiter struct {
	HTTPClient *http.Client
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
	ID           string `json:"id"`
	DataCentre   string `json:"datacentre"`
	State        string `json:"state"`
	Revision     uint64 `json:"revision"`
	AdminAddress string `json:"admin"`
}

// pollResult is what one address answered.
type pollResult struct {
	address string
	status  *status
	err     error
}

// Wait asks the given addresses, and the daemons that they name, until the
// revision is in force on all daemons that are not known to be dead, or until
// ctx ends. The report tells which it was.
func (w *Waiter) Wait(ctx context.Context, addresses []string, revision uint64) *Report {
	t := newTracker(addresses, revision)
	for {
		t.addRound(w.poll(ctx, t.addressesToPoll()))
		report := t.report()
		if report.InForceEverywhere() {
			return report
		}
		select {
		case <-w.Clock.After(pollInterval):
		case <-ctx.Done():
			return report
		}
	}
}

// poll puts one question to each address.
func (w *Waiter) poll(ctx context.Context, addresses []string) []pollResult {
	replies := make([]pollResult, len(addresses))
	slots := make(chan struct{}, maxConcurrentCalls)
	var wait sync.WaitGroup
	for i, address := range addresses {
		wait.Go(func() {
			slots <- struct{}{}
			defer func() { <-slots }()
			s, err := w.fetchStatus(ctx, address)
			replies[i] = pollResult{
				address: address,
				status:  s,
				err:     err,
			}
		})
	}
	wait.Wait()
	return replies
}

// fetchStatus asks one daemon.
func (w *Waiter) fetchStatus(ctx context.Context, address string) (*status, error) {
	ctx, cancel := clockwork.WithTimeout(ctx, w.Clock, callTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, w.Scheme+"://"+address+"/status", nil)
	if err != nil {
		return nil, eris.Wrapf(err, "ask for status: peer %s", address)
	}
	response, err := w.HTTPClient.Do(r)
	if err != nil {
		return nil, eris.Wrapf(err, "ask for status: peer %s", address)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return nil, eris.Errorf("ask for status: peer %s: %s", address, response.Status)
	}
	s := &status{}
	if err := json.NewDecoder(io.LimitReader(response.Body, maxAnswerBytes)).Decode(s); err != nil {
		return nil, eris.Wrapf(err, "ask for status: peer %s", address)
	}
	return s, nil
}
