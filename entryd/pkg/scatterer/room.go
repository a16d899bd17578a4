package scatterer

import (
	"errors"
	"fmt"

	"plantaincleat/entryd/pkg/httpsender"
	"plantaincleat/tier/gen/peer"
)

// requestBytes is what a request of another daemon costs besides its body and headers, in bytes.
const requestBytes = 1 << 10

// errNoRoom reports that this daemon has no room for a copy of a request.
var errNoRoom = errors.New("no room for a copy of the request")

// reserveCopy charges the copy of the body that is made for another daemon, until release. A request
// without a body costs nothing.
func (s *Scatterer) reserveCopy(body []byte) (release func(), err error) {
	if len(body) == 0 || s.Account == nil {
		return func() {}, nil
	}
	release, ok := s.Account.Reserve(int64(len(body)))
	if !ok {
		return nil, fmt.Errorf("copy the request for another daemon: %w: %w", errNoRoom, httpsender.ErrBusy)
	}
	return release, nil
}

// reserveReceived charges a request of another daemon, until release. It reports whether there is room.
func (s *Scatterer) reserveReceived(in *peer.ScatterRequest) (release func(), ok bool) {
	if s.Account == nil {
		return func() {}, true
	}
	n := requestBytes + len(in.GetBody()) + len(in.GetPath())
	for _, h := range in.GetHeaders() {
		n += len(h.GetName()) + len(h.GetValue())
	}
	return s.Account.Reserve(int64(n))
}
