package revisionwaiter

import (
	"cmp"
	"slices"
)

// States of a daemon as its peers report them, from the most to the least
// alive.
const (
	stateAlive       = "alive"
	stateSuspect     = "suspect"
	stateUnreachable = "unreachable"
	stateDead        = "dead"
	stateLeft        = "left"
	// stateNoAnswer is that of an address at which no daemon answered.
	stateNoAnswer = "silent"
)

// stateRank ranks the states: the lowest of several views counts.
var stateRank = map[string]int{
	stateAlive:       1,
	stateSuspect:     2,
	stateNoAnswer:    3,
	stateUnreachable: 4,
	stateDead:        5,
	stateLeft:        6,
}

// Host is one daemon in a Report.
type Host struct {
	// ID is empty if no daemon is known to have the address.
	ID         string `json:"id"`
	DataCentre string `json:"datacentre"`
	State      string `json:"state"`
	// HighestRevision is the highest that the daemon is known to have adopted.
	HighestRevision uint64 `json:"revision"`
	AdminAddress    string `json:"admin"`
	// Confirmed is true if the revision is in force at the daemon.
	Confirmed bool `json:"confirmed"`
	// Error is the reason why the daemon could not be asked.
	Error string `json:"error,omitempty"`
}

// mustConfirm tells whether the revision must be in force at the host.
func (h Host) mustConfirm() bool {
	return h.State != stateDead && h.State != stateLeft
}

// Report tells where a revision is in force.
type Report struct {
	Revision uint64 `json:"revision"`
	Hosts    []Host `json:"hosts"`
}

// Unconfirmed returns the hosts that can not confirm the revision. Dead ones are
// left out.
func (r *Report) Unconfirmed() []Host {
	var missing []Host
	for _, h := range r.Hosts {
		if h.mustConfirm() && !h.Confirmed {
			missing = append(missing, h)
		}
	}
	return missing
}

// InForceEverywhere tells whether the revision is in force everywhere.
func (r *Report) InForceEverywhere() bool {
	return len(r.Hosts) > 0 && len(r.Unconfirmed()) == 0
}

// tracker collects answers. A daemon never moves to a lower revision, so that
// what was confirmed once stays so.
type tracker struct {
	revision  uint64
	addresses []string
	hosts     map[string]*Host
	// errorByAddress are the addresses that did not answer in the last round, with
	// the reason.
	errorByAddress map[string]string
}

func newTracker(addresses []string, revision uint64) *tracker {
	return &tracker{
		revision:  revision,
		addresses: addresses,
		hosts:     map[string]*Host{},
	}
}

// addressesToPoll returns the addresses to ask in the next round: the given ones
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

// addRound takes in the answers of one round.
func (t *tracker) addRound(replies []pollResult) {
	t.errorByAddress = map[string]string{}
	seen := map[string]bool{}
	for _, r := range replies {
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

// merge merges one view of a daemon. seen are the daemons met in this round.
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

// report returns the state after the last round.
func (t *tracker) report() *Report {
	report := &Report{Revision: t.revision}
	known := map[string]bool{}
	for _, h := range t.hosts {
		one := *h
		if !one.Confirmed {
			one.Error = t.errorByAddress[one.AdminAddress]
		}
		known[one.AdminAddress] = true
		report.Hosts = append(report.Hosts, one)
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
