// Package adminclient calls the operators' listeners of daemons.
package adminclient

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"

	"github.com/rotisserie/eris"
)

// maxAnswerBytes is the size in bytes of the largest answer.
const maxAnswerBytes = 16 << 20

// Errors of calls.
var (
	// ErrNotFound reports that the daemon does not have what was asked for.
	ErrNotFound = errors.New("not found")
	// ErrUnexpectedStatus reports an answer other than success.
	ErrUnexpectedStatus = errors.New("unexpected answer")
)

// Client calls daemons.
type Client struct {
	HTTPClient *http.Client
	// Scheme is http or https.
	Scheme string
}

// Call calls one daemon and decodes its JSON answer into out.
func (a *Client) Call(ctx context.Context, method, address, path string, out any) error {
	r, err := http.NewRequestWithContext(ctx, method, a.Scheme+"://"+address+path, nil)
	if err != nil {
		return eris.Wrapf(err, "ask: daemon %s", address)
	}
	resp, err := a.HTTPClient.Do(r)
	if err != nil {
		return eris.Wrapf(err, "ask: daemon %s", address)
	}
	defer func() { _ = resp.Body.Close() }()
	switch {
	case resp.StatusCode == http.StatusNotFound:
		return eris.Wrapf(ErrNotFound, "ask: daemon %s", address)
	case resp.StatusCode != http.StatusOK:
		return eris.Wrapf(ErrUnexpectedStatus, "ask: daemon %s: %s", address, resp.Status)
	}
	return eris.Wrapf(json.NewDecoder(io.LimitReader(resp.Body, maxAnswerBytes)).Decode(out), "ask: daemon %s", address)
}

// CallAny calls the daemons in turn until one has what was asked for. It returns
// the errors of all if none does.
func (a *Client) CallAny(ctx context.Context, method string, addresses []string, path string, out any) error {
	var all []error
	for _, address := range addresses {
		err := a.Call(ctx, method, address, path, out)
		if err == nil {
			return nil
		}
		all = append(all, err)
	}
	return errors.Join(all...)
}
