package hostwatcher

import (
	"cmp"
	"encoding/json"
	"errors"
	"io"
	"net/netip"
	"slices"
	"time"

	"github.com/rotisserie/eris"
)

// Errors of a host list.
var (
	// ErrTooLarge reports a list of more than MaxBytes.
	ErrTooLarge = errors.New("host list is too large")
	// ErrGarbled reports an answer that is no host list.
	ErrGarbled = errors.New("answer is not a host list")
)

// MaxBytes is the size of the largest list that is read.
const MaxBytes = 4 << 20

const (
	// maxSeeds bounds the addresses that are kept.
	maxSeeds = 256
	// absence is how long a leaving target that is no longer listed counts as
	// leaving.
	absence = time.Hour
)

// Roles and states of hosts in the list.
const (
	roleDaemon   = "daemon"
	roleTarget   = "target"
	stateLive    = "live"
	stateLeaving = "leaving"
)

// host is one entry of the list.
type host struct {
	ID         string `json:"id"`
	Address    string `json:"address"`
	DataCentre string `json:"datacentre"`
	Role       string `json:"role"`
	State      string `json:"state"`
}

// valid reports whether an entry can be used.
func (h host) valid() bool {
	_, err := netip.ParseAddrPort(h.Address)
	return err == nil && h.ID != "" &&
		(h.Role == roleDaemon || h.Role == roleTarget) &&
		(h.State == stateLive || h.State == stateLeaving)
}

// parse reads a list and returns the usable entries and the number of others.
func parse(r io.Reader) (hosts []host, skipped, size int, err error) {
	body, err := io.ReadAll(io.LimitReader(r, MaxBytes+1))
	if err != nil {
		return nil, 0, len(body), eris.Wrap(err, "read host list")
	}
	if len(body) > MaxBytes {
		return nil, 0, len(body), eris.Wrapf(ErrTooLarge, "more than %d bytes", MaxBytes)
	}
	var raw []json.RawMessage
	if err := json.Unmarshal(body, &raw); err != nil {
		return nil, 0, len(body), eris.Wrapf(ErrGarbled, "%d bytes: %v", len(body), err)
	}
	for _, one := range raw {
		var h host
		if json.Unmarshal(one, &h) != nil || !h.valid() {
			skipped++
			continue
		}
		hosts = append(hosts, h)
	}
	if len(hosts) == 0 && skipped > 0 {
		return nil, skipped, len(body), eris.Wrapf(ErrGarbled, "none of %d entries is usable", skipped)
	}
	return hosts, skipped, len(body), nil
}

// state is what successive lists have told. A host that is no longer listed is
// kept, since the list lags and may lack hosts by mistake.
type state struct {
	// daemons holds when an address was last listed as that of a live daemon.
	daemons map[string]time.Time
	// leaving holds when a target was last listed as leaving.
	leaving map[string]time.Time
}

func newState() state {
	return state{
		daemons: make(map[string]time.Time),
		leaving: make(map[string]time.Time),
	}
}

// merge takes one list.
func (s *state) merge(hosts []host, now time.Time) {
	for _, h := range hosts {
		switch {
		case h.Role == roleDaemon && h.State == stateLive:
			s.daemons[h.Address] = now
		case h.Role == roleTarget && h.State == stateLeaving:
			s.leaving[h.ID] = now
		case h.Role == roleTarget:
			delete(s.leaving, h.ID)
		}
	}
	for id, seen := range s.leaving {
		if now.Sub(seen) >= absence {
			delete(s.leaving, id)
		}
	}
	for _, a := range s.seeds()[min(len(s.daemons), maxSeeds):] {
		delete(s.daemons, a)
	}
}

// seeds returns the daemons' addresses, those last listed first.
func (s *state) seeds() []string {
	out := make([]string, 0, len(s.daemons))
	for a := range s.daemons {
		out = append(out, a)
	}
	slices.SortFunc(out, func(a, b string) int {
		return cmp.Or(s.daemons[b].Compare(s.daemons[a]), cmp.Compare(a, b))
	})
	return out
}

// targets returns the ids of the leaving targets in order.
func (s *state) targets() []string {
	out := make([]string, 0, len(s.leaving))
	for id := range s.leaving {
		out = append(out, id)
	}
	slices.Sort(out)
	return out
}
