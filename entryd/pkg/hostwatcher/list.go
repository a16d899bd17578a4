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

// Errors of reading a host list.
var (
	// ErrTooLarge means that a list is longer than MaxBytes.
	ErrTooLarge = errors.New("host list is too large")
	// ErrNotHostList means that an answer is not a host list.
	ErrNotHostList = errors.New("answer is not a host list")
)

// MaxBytes is the size in bytes of the longest list that is read.
const MaxBytes = 4 << 20

const (
	// maxSeeds bounds the number of daemon addresses that are kept.
	maxSeeds = 256
	// unlistedDrainingPeriod is how long a draining target that is no longer
	// listed still counts as draining.
	unlistedDrainingPeriod = time.Hour
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

// valid reports whether an entry has an id, an IP address with a port, and a known role
// and state.
func (h host) valid() bool {
	_, err := netip.ParseAddrPort(h.Address)
	return err == nil && h.ID != "" &&
		(h.Role == roleDaemon || h.Role == roleTarget) &&
		(h.State == stateLive || h.State == stateLeaving)
}

// parse reads a list. It returns the valid entries, the number of skipped ones, and the
// size of the list in bytes.
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
		return nil, 0, len(body), eris.Wrapf(ErrNotHostList, "%d bytes: %v", len(body), err)
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
		return nil, skipped, len(body), eris.Wrapf(ErrNotHostList, "none of %d entries is valid", skipped)
	}
	return hosts, skipped, len(body), nil
}

// knownHosts accumulates the hosts of successive lists. A host that is no longer listed
// is not removed at once, since the list may be delayed or incomplete; merge states when
// it is removed.
type knownHosts struct {
	// daemons maps the address of a daemon to the time at which it was last
	// listed as live.
	daemons map[string]time.Time
	// draining maps the id of a target to the time at which it was last listed as
	// leaving.
	draining map[string]time.Time
}

func newKnownHosts() knownHosts {
	return knownHosts{
		daemons:  make(map[string]time.Time),
		draining: make(map[string]time.Time),
	}
}

// merge adds the entries of one list. It removes draining targets that are listed as
// live or have been missing for unlistedDrainingPeriod, and the least recently listed
// daemons beyond maxSeeds.
func (k *knownHosts) merge(hosts []host, now time.Time) {
	for _, h := range hosts {
		switch {
		case h.Role == roleDaemon && h.State == stateLive:
			k.daemons[h.Address] = now
		case h.Role == roleTarget && h.State == stateLeaving:
			k.draining[h.ID] = now
		case h.Role == roleTarget:
			delete(k.draining, h.ID)
		}
	}
	for id, seen := range k.draining {
		if now.Sub(seen) >= unlistedDrainingPeriod {
			delete(k.draining, id)
		}
	}
	for _, a := range k.seeds()[min(len(k.daemons), maxSeeds):] {
		delete(k.daemons, a)
	}
}

// seeds returns the addresses of daemons, with the most recently listed first.
func (k *knownHosts) seeds() []string {
	out := make([]string, 0, len(k.daemons))
	for a := range k.daemons {
		out = append(out, a)
	}
	slices.SortFunc(out, func(a, b string) int {
		return cmp.Or(k.daemons[b].Compare(k.daemons[a]), cmp.Compare(a, b))
	})
	return out
}

// drainingTargets returns the ids of the draining targets in sorted order.
func (k *knownHosts) drainingTargets() []string {
	out := make([]string, 0, len(k.draining))
	for id := range k.draining {
		out = append(out, id)
	}
	slices.Sort(out)
	return out
}
