package ctlcommander

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"strings"

	"github.com/spf13/cobra"
)

// fleetStatus is the answer to GET /status: the state of a daemon and its view of the
// fleet. StaleSeconds is the time since the daemon confirmed that its configuration is
// current, and Draining lists the draining targets.
type fleetStatus struct {
	ID           string         `json:"id"`
	DataCentre   string         `json:"datacentre"`
	Revision     uint64         `json:"revision"`
	Ready        bool           `json:"ready"`
	StaleSeconds float64        `json:"stale"`
	Members      []memberStatus `json:"members"`
	Draining     []string       `json:"leaving"`
}

// memberStatus is a daemon as the answering daemon sees it.
type memberStatus struct {
	ID           string `json:"id"`
	DataCentre   string `json:"datacentre"`
	State        string `json:"state"`
	Revision     uint64 `json:"revision"`
	AdminAddress string `json:"admin"`
}

func (s fleetStatus) writeTable(w *tableWriter) {
	w.addRow("daemon %s in %s: revision %d, ready %v, confirmed %.1f s ago", s.ID, s.DataCentre, s.Revision, s.Ready, s.StaleSeconds)
	w.addRow("leaving targets: %s", dashIfEmpty(strings.Join(s.Draining, ", ")))
	w.addRow("DAEMON\tDATACENTRE\tSTATE\tREVISION\tADMIN")
	for _, m := range s.Members {
		w.addRow("%s\t%s\t%s\t%d\t%s", m.ID, m.DataCentre, m.State, m.Revision, m.AdminAddress)
	}
}

// adminCommand returns a command that requires --entry because it calls daemons.
func (t *tool) adminCommand(use, short, example string, args cobra.PositionalArgs, f func(ctx context.Context, c *cobra.Command, args []string) error) *cobra.Command {
	return t.newCommand(use, short, example, args, func(ctx context.Context, c *cobra.Command, args []string) error {
		if err := requireAddresses("entry", t.entries); err != nil {
			return err
		}
		return f(ctx, c, args)
	})
}

// callDaemon calls the daemons of --entry in turn until a call succeeds.
func (t *tool) callDaemon(ctx context.Context, method, path string, out any) error {
	a, err := t.newAdminClient(t)
	if err != nil {
		return &commandError{err: err}
	}
	if err := a.CallAny(ctx, method, t.entries, path, out); err != nil {
		return &commandError{err: err}
	}
	return nil
}

func (t *tool) statusCommand() *cobra.Command {
	return t.adminCommand("status", "Show the state of the fleet as seen by a daemon",
		"  plantainctl status --entry 10.0.0.1:8082",
		cobra.NoArgs,
		func(ctx context.Context, c *cobra.Command, _ []string) error {
			var s fleetStatus
			if err := t.callDaemon(ctx, http.MethodGet, "/status", &s); err != nil {
				return err
			}
			return t.print(c, s)
		})
}

// quarantineEntry is a request that is refused because it is suspected of crashing
// targets.
type quarantineEntry struct {
	Fingerprint    string   `json:"fingerprint"`
	Institution    string   `json:"institution"`
	ExpiresAt      string   `json:"expires"`
	CrashedTargets []string `json:"targets"`
}

// quarantineList is the result of quarantine list.
type quarantineList []quarantineEntry

func (l quarantineList) writeTable(w *tableWriter) {
	w.addRow("FINGERPRINT\tINSTITUTION\tEXPIRES\tCRASHED")
	for _, q := range l {
		w.addRow("%s\t%s\t%s\t%s", q.Fingerprint, q.Institution, q.ExpiresAt, strings.Join(q.CrashedTargets, ","))
	}
}

// clearResult is the result of quarantine clear.
type clearResult struct {
	Cleared string `json:"cleared"`
}

func (c clearResult) writeTable(w *tableWriter) {
	w.addRow("cleared %s; takes effect on all daemons within seconds", c.Cleared)
}

func (t *tool) quarantineCommand() *cobra.Command {
	list := t.adminCommand("list", "List the requests that are refused because targets crashed while executing them",
		"  plantainctl quarantine list --entry 10.0.0.1:8082",
		cobra.NoArgs,
		func(ctx context.Context, c *cobra.Command, _ []string) error {
			out := quarantineList{}
			if err := t.callDaemon(ctx, http.MethodGet, "/quarantine", &out); err != nil {
				return err
			}
			return t.print(c, out)
		})
	clear := t.adminCommand("clear FINGERPRINT", "Allow a quarantined request again",
		"  plantainctl quarantine clear 9f3a0c --entry 10.0.0.1:8082",
		cobra.ExactArgs(1),
		func(ctx context.Context, c *cobra.Command, args []string) error {
			var out clearResult
			if err := t.callDaemon(ctx, http.MethodDelete, "/quarantine/"+url.PathEscape(args[0]), &out); err != nil {
				return err
			}
			return t.print(c, out)
		})
	return newGroup("quarantine", "List and clear quarantined requests", list, clear)
}

// explanation describes how a daemon produced an answer. ElapsedMicros is the time to
// the answer in microseconds. Restarts counts how often the daemon abandoned a snapshot
// and started the query again on a newer one.
type explanation struct {
	Request       string          `json:"request"`
	Trace         string          `json:"trace"`
	Daemon        string          `json:"daemon"`
	Institution   string          `json:"institution"`
	Class         string          `json:"class"`
	Collection    string          `json:"collection"`
	Version       string          `json:"version"`
	Snapshot      string          `json:"snapshot"`
	Revision      uint64          `json:"revision"`
	ElapsedMicros int64           `json:"elapsed"`
	Fraction      float64         `json:"fraction"`
	Restarts      int             `json:"restarts"`
	Missing       []missingShard  `json:"missing"`
	Plans         json.RawMessage `json:"plans"`
	Attempts      []attempt       `json:"attempts"`
	Stats         subRequestStats `json:"stats"`
}

// subRequestStats counts the sub-requests that were sent to targets.
type subRequestStats struct {
	Needed  int `json:"needed"`
	Sent    int `json:"sent"`
	Hedges  int `json:"hedges"`
	Retries int `json:"retries"`
}

// missingShard is a shard that the answer does not cover. Gatherers are the ids of the
// daemons that were asked for the shard.
type missingShard struct {
	Shard     string   `json:"shard"`
	Reason    string   `json:"reason"`
	Gatherers []string `json:"gatherers"`
}

// attempt is one attempt of a sub-request. Times are in microseconds since the start of
// its sub-plan, which is the request to one daemon for several shards. SentMicros is
// zero if the attempt was not sent.
type attempt struct {
	Shard       string `json:"shard"`
	Target      string `json:"target"`
	Hedge       bool   `json:"hedge"`
	Status      string `json:"status"`
	StartMicros int64  `json:"start"`
	SentMicros  int64  `json:"sent"`
	EndMicros   int64  `json:"end"`
	Error       string `json:"error,omitempty"`
}

func (e explanation) writeTable(w *tableWriter) {
	w.addRow("answer of %s to %s: class %s, collection %s, version %s, snapshot %s, revision %d",
		e.Daemon, e.Institution, e.Class, e.Collection, e.Version, e.Snapshot, e.Revision)
	w.addRow("%d us, coverage %.4f, restarts %d", e.ElapsedMicros, e.Fraction, e.Restarts)
	w.addRow("sub-requests: needed %d, sent %d, hedges %d, retries %d",
		e.Stats.Needed, e.Stats.Sent, e.Stats.Hedges, e.Stats.Retries)
	for _, m := range e.Missing {
		w.addRow("missing shard %s: %s; asked daemons %s", m.Shard, m.Reason, dashIfEmpty(strings.Join(m.Gatherers, ", ")))
	}
	w.addRow("SHARD\tTARGET\tHEDGE\tSTATUS\tSTART\tSENT\tEND\tERROR")
	for _, a := range e.Attempts {
		w.addRow("%s\t%s\t%v\t%s\t%d\t%d\t%d\t%s", a.Shard, a.Target, a.Hedge, a.Status, a.StartMicros, a.SentMicros, a.EndMicros, dashIfEmpty(a.Error))
	}
}

func (t *tool) explainCommand() *cobra.Command {
	return t.adminCommand("explain TRACE", "Explain how an answer was produced and why shards are missing",
		"  plantainctl explain 4bf92f3577b34da6a3ce929d0e0e4736 --entry 10.0.0.1:8082,10.0.0.2:8082",
		cobra.ExactArgs(1),
		func(ctx context.Context, c *cobra.Command, args []string) error {
			var e explanation
			if err := t.callDaemon(ctx, http.MethodGet, "/explain/"+url.PathEscape(args[0]), &e); err != nil {
				return err
			}
			return t.print(c, e)
		})
}
