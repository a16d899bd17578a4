package ctlcommander

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"strings"

	"github.com/spf13/cobra"
)

// fleetStatus is a daemon's view of the fleet.
type fleetStatus struct {
	ID         string         `json:"id"`
	DataCentre string         `json:"datacentre"`
	Revision   uint64         `json:"revision"`
	Ready      bool           `json:"ready"`
	Stale      float64        `json:"stale"`
	Members    []memberStatus `json:"members"`
	Leaving    []string       `json:"leaving"`
}

type memberStatus struct {
	ID         string `json:"id"`
	DataCentre string `json:"datacentre"`
	State      string `json:"state"`
	Revision   uint64 `json:"revision"`
	Admin      string `json:"admin"`
}

func (s fleetStatus) table(r *rows) {
	r.add("daemon %s in %s: revision %d, ready %v, confirmed %.1f s ago", s.ID, s.DataCentre, s.Revision, s.Ready, s.Stale)
	r.add("leaving targets: %s", dash(strings.Join(s.Leaving, ", ")))
	r.add("DAEMON\tDATACENTRE\tSTATE\tREVISION\tADMIN")
	for _, m := range s.Members {
		r.add("%s\t%s\t%s\t%d\t%s", m.ID, m.DataCentre, m.State, m.Revision, m.Admin)
	}
}

// asking makes a command that needs daemons to ask.
func (t *tool) asking(use, short, example string, args cobra.PositionalArgs, f func(ctx context.Context, c *cobra.Command, args []string) error) *cobra.Command {
	return t.command(use, short, example, args, func(ctx context.Context, c *cobra.Command, args []string) error {
		if err := need("entry", t.entries); err != nil {
			return err
		}
		return f(ctx, c, args)
	})
}

// ask calls the first daemon that answers.
func (t *tool) ask(ctx context.Context, method, path string, out any) error {
	a, err := t.askers(t)
	if err != nil {
		return &failure{err: err}
	}
	if err := a.First(ctx, method, t.entries, path, out); err != nil {
		return &failure{err: err}
	}
	return nil
}

func (t *tool) status() *cobra.Command {
	return t.asking("status", "Show the fleet as a daemon sees it",
		"  plantainctl status --entry 10.0.0.1:8082",
		cobra.NoArgs,
		func(ctx context.Context, c *cobra.Command, _ []string) error {
			var s fleetStatus
			if err := t.ask(ctx, http.MethodGet, "/status", &s); err != nil {
				return err
			}
			return t.print(c, s)
		})
}

// quarantined is one request that is refused.
type quarantined struct {
	Fingerprint string   `json:"fingerprint"`
	Institution string   `json:"institution"`
	Expires     string   `json:"expires"`
	Targets     []string `json:"targets"`
}

type quarantineList []quarantined

func (l quarantineList) table(r *rows) {
	r.add("FINGERPRINT\tINSTITUTION\tEXPIRES\tCRASHED")
	for _, q := range l {
		r.add("%s\t%s\t%s\t%s", q.Fingerprint, q.Institution, q.Expires, strings.Join(q.Targets, ","))
	}
}

// cleared is the result of quarantine clear.
type cleared struct {
	Cleared string `json:"cleared"`
}

func (c cleared) table(r *rows) {
	r.add("cleared %s; the fleet learns of it within seconds", c.Cleared)
}

func (t *tool) quarantine() *cobra.Command {
	list := t.asking("list", "List the requests that are refused because targets crashed",
		"  plantainctl quarantine list --entry 10.0.0.1:8082",
		cobra.NoArgs,
		func(ctx context.Context, c *cobra.Command, _ []string) error {
			out := quarantineList{}
			if err := t.ask(ctx, http.MethodGet, "/quarantine", &out); err != nil {
				return err
			}
			return t.print(c, out)
		})
	clear := t.asking("clear FINGERPRINT", "Let a quarantined request run again",
		"  plantainctl quarantine clear 9f3a0c --entry 10.0.0.1:8082",
		cobra.ExactArgs(1),
		func(ctx context.Context, c *cobra.Command, args []string) error {
			var out cleared
			if err := t.ask(ctx, http.MethodDelete, "/quarantine/"+url.PathEscape(args[0]), &out); err != nil {
				return err
			}
			return t.print(c, out)
		})
	return group("quarantine", "List and clear quarantined requests", list, clear)
}

// explanation tells how an answer came about.
type explanation struct {
	Request     string          `json:"request"`
	Trace       string          `json:"trace"`
	Daemon      string          `json:"daemon"`
	Institution string          `json:"institution"`
	Class       string          `json:"class"`
	Collection  string          `json:"collection"`
	Version     string          `json:"version"`
	Snapshot    string          `json:"snapshot"`
	Revision    uint64          `json:"revision"`
	Elapsed     int64           `json:"elapsed"`
	Fraction    float64         `json:"fraction"`
	Restarts    int             `json:"restarts"`
	Missing     []missingShard  `json:"missing"`
	Plans       json.RawMessage `json:"plans"`
	Attempts    []attempt       `json:"attempts"`
	Stats       stats           `json:"stats"`
}

// stats count the sub-requests to targets.
type stats struct {
	Needed  int `json:"needed"`
	Sent    int `json:"sent"`
	Hedges  int `json:"hedges"`
	Retries int `json:"retries"`
}

type missingShard struct {
	Shard     string   `json:"shard"`
	Reason    string   `json:"reason"`
	Gatherers []string `json:"gatherers"`
}

type attempt struct {
	Shard  string `json:"shard"`
	Target string `json:"target"`
	Hedge  bool   `json:"hedge"`
	Status string `json:"status"`
	Start  int64  `json:"start"`
	Sent   int64  `json:"sent"`
	End    int64  `json:"end"`
	Error  string `json:"error,omitempty"`
}

func (e explanation) table(r *rows) {
	r.add("answer of %s to %s: class %s, collection %s, version %s, snapshot %s, revision %d",
		e.Daemon, e.Institution, e.Class, e.Collection, e.Version, e.Snapshot, e.Revision)
	r.add("%d us, coverage %.4f, restarts %d", e.Elapsed, e.Fraction, e.Restarts)
	r.add("sub-requests: needed %d, sent %d, hedges %d, retries %d",
		e.Stats.Needed, e.Stats.Sent, e.Stats.Hedges, e.Stats.Retries)
	for _, m := range e.Missing {
		r.add("missing %s: %s; asked through %s", m.Shard, m.Reason, dash(strings.Join(m.Gatherers, ", ")))
	}
	r.add("SHARD\tTARGET\tHEDGE\tSTATUS\tSTART\tSENT\tEND\tERROR")
	for _, a := range e.Attempts {
		r.add("%s\t%s\t%v\t%s\t%d\t%d\t%d\t%s", a.Shard, a.Target, a.Hedge, a.Status, a.Start, a.Sent, a.End, dash(a.Error))
	}
}

func (t *tool) explain() *cobra.Command {
	return t.asking("explain TRACE", "Tell how an answer came about, and why shards are missing",
		"  plantainctl explain 4bf92f3577b34da6a3ce929d0e0e4736 --entry 10.0.0.1:8082,10.0.0.2:8082",
		cobra.ExactArgs(1),
		func(ctx context.Context, c *cobra.Command, args []string) error {
			var e explanation
			if err := t.ask(ctx, http.MethodGet, "/explain/"+url.PathEscape(args[0]), &e); err != nil {
				return err
			}
			return t.print(c, e)
		})
}
