// Package revisionwaiter polls daemons until a revision of the configuration is in
// force on all of them.
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
	// pollInterval is the time between two rounds of calls.
	pollInterval = 250 * time.Millisecond
	// callTimeout is the time allowed for one call.
	callTimeout = 2 * time.Second
	// maxConcurrentCalls is the maximum number of concurrent calls.
	maxConcurrentCalls = 16
	// maxAnswerBytes is the maximum size of an answer in bytes. Longer answers are
	// truncated.
	maxAnswerBytes = 16 << 20
)

// Waiter polls the status of daemons.
type Waiter struct {
	HTTPClient *http.Client
	// Scheme is "http" or "https".
	Scheme string
	Clock  clockwork.Clock
}

// status contains the fields of the answer to GET /status that Waiter uses.
type status struct {
	ID         string   `json:"id"`
	DataCentre string   `json:"datacentre"`
	Revision   uint64   `json:"revision"`
	Members    []member `json:"members"`
}

// member describes a daemon from the view of one of its peers, or of itself.
type member struct {
	ID           string `json:"id"`
	DataCentre   string `json:"datacentre"`
	State        string `json:"state"`
	Revision     uint64 `json:"revision"`
	AdminAddress string `json:"admin"`
}

// pollResult is the result of polling one address. Either status or err is nil.
type pollResult struct {
	address string
	status  *status
	err     error
}

// Wait polls the daemons at the addresses, and the members that they report, until
// the revision is in force on all daemons that are neither dead nor have left, or
// until ctx ends. Report.InForceEverywhere distinguishes the two cases.
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

// poll fetches the status of the daemon at each address.
func (w *Waiter) poll(ctx context.Context, addresses []string) []pollResult {
	results := make([]pollResult, len(addresses))
	semaphore := make(chan struct{}, maxConcurrentCalls)
	var wg sync.WaitGroup
	for i, address := range addresses {
		wg.Go(func() {
			semaphore <- struct{}{}
			defer func() { <-semaphore }()
			s, err := w.fetchStatus(ctx, address)
			results[i] = pollResult{
				address: address,
				status:  s,
				err:     err,
			}
		})
	}
	wg.Wait()
	return results
}

// fetchStatus fetches the status of the daemon at address.
func (w *Waiter) fetchStatus(ctx context.Context, address string) (*status, error) {
	ctx, cancel := clockwork.WithTimeout(ctx, w.Clock, callTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, w.Scheme+"://"+address+"/status", nil)
	if err != nil {
		return nil, eris.Wrapf(err, "get status: daemon %s", address)
	}
	response, err := w.HTTPClient.Do(r)
	if err != nil {
		return nil, eris.Wrapf(err, "get status: daemon %s", address)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return nil, eris.Errorf("get status: daemon %s: %s", address, response.Status)
	}
	s := &status{}
	if err := json.NewDecoder(io.LimitReader(response.Body, maxAnswerBytes)).Decode(s); err != nil {
		return nil, eris.Wrapf(err, "get status: daemon %s", address)
	}
	return s, nil
}
