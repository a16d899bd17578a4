package revisionwaiter

import (
	"cmp"
	"slices"
)

// States of a daemon, ordered as in stateRank except for stateNoAnswer. Peers report
// all states but stateNoAnswer.
const (
	stateAlive       = "alive"
	stateSuspect     = "suspect"
	stateUnreachable = "unreachable"
	stateDead        = "dead"
	stateLeft        = "left"
	// stateNoAnswer is the state of an address at which no daemon answered and that
	// no daemon is known to have.
	stateNoAnswer = "silent"
)

// stateRank orders the states. If several peers report different states of a daemon,
// the state with the lowest rank applies.
var stateRank = map[string]int{
	stateAlive:       1,
	stateSuspect:     2,
	stateNoAnswer:    3,
	stateUnreachable: 4,
	stateDead:        5,
	stateLeft:        6,
}

// Host is a daemon in a Report, or an address at which no daemon answered.
type Host struct {
	// ID is empty if no daemon is known to have the address.
	ID         string `json:"id"`
	DataCentre string `json:"datacentre"`
	State      string `json:"state"`
	// HighestRevision is the highest revision that the daemon is known to have
	// adopted.
	HighestRevision uint64 `json:"revision"`
	AdminAddress    string `json:"admin"`
	// Confirmed is true if the daemon is known to have adopted the revision of the
	// report or a higher one.
	Confirmed bool `json:"confirmed"`
	// Error is the error of the call in the last round. It is empty if the call
	// succeeded, if there was none, or if the daemon has confirmed the revision.
	Error string `json:"error,omitempty"`
}

// mustConfirm reports whether the revision must be in force on the host. Daemons that
// are dead or have left do not count.
func (h Host) mustConfirm() bool {
	return h.State != stateDead && h.State != stateLeft
}

// Report lists the daemons with the state of a revision on each.
type Report struct {
	Revision uint64 `json:"revision"`
	Hosts    []Host `json:"hosts"`
}

// Unconfirmed returns the hosts on which the revision must be in force but is not
// known to be.
func (r *Report) Unconfirmed() []Host {
	var unconfirmed []Host
	for _, h := range r.Hosts {
		if h.mustConfirm() && !h.Confirmed {
			unconfirmed = append(unconfirmed, h)
		}
	}
	return unconfirmed
}

// InForceEverywhere reports whether at least one daemon is known and the revision is
// in force on all hosts on which it must be.
func (r *Report) InForceEverywhere() bool {
	return len(r.Hosts) > 0 && len(r.Unconfirmed()) == 0
}

// tracker accumulates the results of all rounds. A daemon never adopts a lower
// revision than before, so a confirmation remains valid in later rounds.
type tracker struct {
	revision  uint64
	addresses []string
	hosts     map[string]*Host
	// errorByAddress contains the errors of the calls that failed in the last
	// round.
	errorByAddress map[string]string
}

func newTracker(addresses []string, revision uint64) *tracker {
	return &tracker{
		revision:  revision,
		addresses: addresses,
		hosts:     map[string]*Host{},
	}
}

// addressesToPoll returns the addresses to poll in the next round: the given ones
// and those of the daemons that have not confirmed the revision yet.
func (t *tracker) addressesToPoll() []string {
	addresses := slices.Clone(t.addresses)
	for _, h := range t.hosts {
		if h.mustConfirm() && !h.Confirmed && h.AdminAddress != "" {
			addresses = append(addresses, h.AdminAddress)
		}
	}
	slices.Sort(addresses)
	return slices.Compact(addresses)
}

// addRound adds the results of one round.
func (t *tracker) addRound(results []pollResult) {
	t.errorByAddress = map[string]string{}
	seen := map[string]bool{}
	for _, r := range results {
		if r.err != nil {
			t.errorByAddress[r.address] = r.err.Error()
			continue
		}
		t.merge(seen, member{
			ID:           r.status.ID,
			DataCentre:   r.status.DataCentre,
			State:        stateAlive,
			Revision:     r.status.Revision,
			AdminAddress: r.address,
		})
		for _, m := range r.status.Members {
			t.merge(seen, m)
		}
	}
}

// merge adds one view of a daemon. seen contains the ids of the daemons of which a
// view was already added in this round.
func (t *tracker) merge(seen map[string]bool, m member) {
	h := t.hosts[m.ID]
	if h == nil {
		h = &Host{ID: m.ID}
		t.hosts[m.ID] = h
	}
	if !seen[m.ID] || stateRank[m.State] < stateRank[h.State] {
		h.State = m.State
	}
	seen[m.ID] = true
	h.DataCentre = m.DataCentre
	h.AdminAddress = cmp.Or(h.AdminAddress, m.AdminAddress)
	h.HighestRevision = max(h.HighestRevision, m.Revision)
	h.Confirmed = h.HighestRevision >= t.revision
}

// report returns the report after the last round, sorted by data centre, id and
// address.
func (t *tracker) report() *Report {
	report := &Report{Revision: t.revision}
	known := map[string]bool{}
	for _, h := range t.hosts {
		host := *h
		if !host.Confirmed {
			host.Error = t.errorByAddress[host.AdminAddress]
		}
		known[host.AdminAddress] = true
		report.Hosts = append(report.Hosts, host)
	}
	for address, reason := range t.errorByAddress {
		if known[address] {
			continue
		}
		report.Hosts = append(report.Hosts, Host{
			State:        stateNoAnswer,
			AdminAddress: address,
			Error:        reason,
		})
	}
	slices.SortFunc(report.Hosts, func(a, b Host) int {
		return cmp.Or(cmp.Compare(a.DataCentre, b.DataCentre), cmp.Compare(a.ID, b.ID), cmp.Compare(a.AdminAddress, b.AdminAddress))
	})
	return report
}
