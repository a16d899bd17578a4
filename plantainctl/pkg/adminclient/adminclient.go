// Package adminclient implements an HTTP client of the daemons' admin listeners.
package adminclient

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"

	"github.com/rotisserie/eris"
)

// maxAnswerBytes is the maximum size of an answer in bytes. Longer answers are
// truncated.
const maxAnswerBytes = 16 << 20

// Errors of Client.Call and Client.CallAny.
var (
	// ErrNotFound means that the daemon answered with status 404: the requested
	// object does not exist there.
	ErrNotFound = errors.New("not found")
	// ErrUnexpectedStatus means that the daemon answered with a status other than
	// 200 and 404.
	ErrUnexpectedStatus = errors.New("unexpected status")
)

// Client calls the admin listeners of daemons. It is safe for concurrent use.
type Client struct {
	HTTPClient *http.Client
	// Scheme is "http" or "https".
	Scheme string
}

// Call sends a request without a body to the daemon at address and decodes the JSON
// answer into out.
func (c *Client) Call(ctx context.Context, method, address, path string, out any) error {
	r, err := http.NewRequestWithContext(ctx, method, c.Scheme+"://"+address+path, nil)
	if err != nil {
		return eris.Wrapf(err, "call admin listener: daemon %s", address)
	}
	resp, err := c.HTTPClient.Do(r)
	if err != nil {
		return eris.Wrapf(err, "call admin listener: daemon %s", address)
	}
	defer func() { _ = resp.Body.Close() }()
	switch {
	case resp.StatusCode == http.StatusNotFound:
		return eris.Wrapf(ErrNotFound, "call admin listener: daemon %s", address)
	case resp.StatusCode != http.StatusOK:
		return eris.Wrapf(ErrUnexpectedStatus, "call admin listener: daemon %s: %s", address, resp.Status)
	}
	return eris.Wrapf(json.NewDecoder(io.LimitReader(resp.Body, maxAnswerBytes)).Decode(out), "call admin listener: daemon %s", address)
}

// CallAny calls the daemons in turn until a call succeeds. If all calls fail, it
// returns their joined errors.
func (c *Client) CallAny(ctx context.Context, method string, addresses []string, path string, out any) error {
	var errs []error
	for _, address := range addresses {
		err := c.Call(ctx, method, address, path, out)
		if err == nil {
			return nil
		}
		errs = append(errs, err)
	}
	return errors.Join(errs...)
}
