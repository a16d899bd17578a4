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
	// stateSilent is that of an address at which no daemon answered.
	stateSilent = "silent"
)

// order ranks the states: the lowest of several views counts.
var order = map[string]int{
	stateAlive:       1,
	stateSuspect:     2,
	stateSilent:      3,
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
	// Revision is the highest that the daemon is known to have adopted.
	Revision uint64 `json:"revision"`
	Admin    string `json:"admin"`
	// Confirmed is true if the revision is in force at the daemon.
	Confirmed bool `json:"confirmed"`
	// Error is the reason why the daemon could not be asked.
	Error string `json:"error,omitempty"`
}

// required tells whether the revision must be in force at the host.
func (h Host) required() bool {
	return h.State != stateDead && h.State != stateLeft
}

// Report tells where a revision is in force.
type Report struct {
	Revision uint64 `json:"revision"`
	Hosts    []Host `json:"hosts"`
}

// Missing returns the hosts that can not confirm the revision. Dead ones are
// left out.
func (r *Report) Missing() []Host {
	var missing []Host
	for _, h := range r.Hosts {
		if h.required() && !h.Confirmed {
			missing = append(missing, h)
		}
	}
	return missing
}

// Complete tells whether the revision is in force everywhere.
func (r *Report) Complete() bool {
	return len(r.Hosts) > 0 && len(r.Missing()) == 0
}

// tally collects answers. A daemon never moves to a lower revision, so that
// what was confirmed once stays so.
type tally struct {
	revision  uint64
	addresses []string
	hosts     map[string]*Host
	// silent are the addresses that did not answer in the last round, with
	// the reason.
	silent map[string]string
}

func newTally(addresses []string, revision uint64) *tally {
	return &tally{
		revision:  revision,
		addresses: addresses,
		hosts:     map[string]*Host{},
	}
}

// questions returns the addresses to ask in the next round: the given ones
// and those of the daemons that have not confirmed the revision yet.
func (t *tally) questions() []string {
	addresses := slices.Clone(t.addresses)
	for _, h := range t.hosts {
		if h.required() && !h.Confirmed && h.Admin != "" {
			addresses = append(addresses, h.Admin)
		}
	}
	slices.Sort(addresses)
	return slices.Compact(addresses)
}

// add takes in the answers of one round.
func (t *tally) add(replies []reply) {
	t.silent = map[string]string{}
	seen := map[string]bool{}
	for _, r := range replies {
		if r.err != nil {
			t.silent[r.address] = r.err.Error()
			continue
		}
		t.see(seen, member{
			ID:         r.status.ID,
			DataCentre: r.status.DataCentre,
			State:      stateAlive,
			Revision:   r.status.Revision,
			Admin:      r.address,
		})
		for _, m := range r.status.Members {
			t.see(seen, m)
		}
	}
}

// see merges one view of a daemon. seen are the daemons met in this round.
func (t *tally) see(seen map[string]bool, m member) {
	h := t.hosts[m.ID]
	if h == nil {
		h = &Host{ID: m.ID}
		t.hosts[m.ID] = h
	}
	if !seen[m.ID] || order[m.State] < order[h.State] {
		h.State = m.State
	}
	seen[m.ID] = true
	h.DataCentre = m.DataCentre
	h.Admin = cmp.Or(h.Admin, m.Admin)
	h.Revision = max(h.Revision, m.Revision)
	h.Confirmed = h.Revision >= t.revision
}

// report returns the state after the last round.
func (t *tally) report() *Report {
	report := &Report{Revision: t.revision}
	known := map[string]bool{}
	for _, h := range t.hosts {
		one := *h
		if !one.Confirmed {
			one.Error = t.silent[one.Admin]
		}
		known[one.Admin] = true
		report.Hosts = append(report.Hosts, one)
	}
	for address, reason := range t.silent {
		if known[address] {
			continue
		}
		report.Hosts = append(report.Hosts, Host{
			State: stateSilent,
			Admin: address,
			Error: reason,
		})
	}
	slices.SortFunc(report.Hosts, func(a, b Host) int {
		return cmp.Or(cmp.Compare(a.DataCentre, b.DataCentre), cmp.Compare(a.ID, b.ID), cmp.Compare(a.Admin, b.Admin))
	})
	return report
}
