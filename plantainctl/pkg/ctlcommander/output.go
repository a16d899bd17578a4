package ctlcommander

import (
	"bytes"
	"encoding/json"
	"fmt"
	"text/tabwriter"
	"time"

	"github.com/rotisserie/eris"
	"github.com/spf13/cobra"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"plantaincleat/plantainctl/pkg/revisionwaiter"
	"plantaincleat/tier/gen/config"
)

// Values of the flag --output.
const (
	outputTable = "table"
	outputJSON  = "json"
)

// tabPadding is the number of spaces between two columns.
const tabPadding = 2

// printable is a result that can be printed as a table. Its JSON form is that
// of encoding/json.
type printable interface {
	table(w *rows)
}

// rows writes the rows of a table and keeps the first error.
type rows struct {
	w   *tabwriter.Writer
	err error
}

// add writes one row, whose cells are separated by tabs.
func (r *rows) add(format string, args ...any) {
	if r.err == nil {
		_, r.err = fmt.Fprintf(r.w, format+"\n", args...)
	}
}

// print writes a result in the wanted form.
func (t *tool) print(c *cobra.Command, p printable) error {
	if t.output == outputJSON {
		return printJSON(c, p)
	}
	r := &rows{w: tabwriter.NewWriter(c.OutOrStdout(), 0, 0, tabPadding, ' ', 0)}
	p.table(r)
	if r.err == nil {
		r.err = r.w.Flush()
	}
	return printed(r.err)
}

func printJSON(c *cobra.Command, v any) error {
	e := json.NewEncoder(c.OutOrStdout())
	e.SetIndent("", "  ")
	return printed(e.Encode(v))
}

// printed makes a failure of an error in writing the output.
func printed(err error) error {
	if err == nil {
		return nil
	}
	return &failure{err: eris.Wrap(err, "write output")}
}

// summary tells what a checked configuration holds.
type summary struct {
	File         string `json:"file"`
	Targets      int    `json:"targets"`
	Collections  int    `json:"collections"`
	Institutions int    `json:"institutions"`
}

func newSummary(file string, cfg *config.Config) summary {
	return summary{
		File:         file,
		Targets:      len(cfg.GetTargets()),
		Collections:  len(cfg.GetCollections()),
		Institutions: len(cfg.GetInstitutions()),
	}
}

func (s summary) table(r *rows) {
	r.add("%s: valid, with %d targets, %d collections and %d institutions",
		s.File, s.Targets, s.Collections, s.Institutions)
}

// headRow is the head of a configuration.
type headRow struct {
	Revision uint64 `json:"revision"`
	Change   string `json:"change"`
	Author   string `json:"author"`
	Reason   string `json:"reason"`
	Time     string `json:"time"`
}

func newHeadRow(h *config.Head) headRow {
	return headRow{
		Revision: h.GetRevision(),
		Change:   h.GetChange(),
		Author:   h.GetAuthor(),
		Reason:   h.GetReason(),
		Time:     time.UnixMilli(h.GetTime()).UTC().Format(time.RFC3339),
	}
}

// applied is the result of config apply.
type applied struct {
	headRow
	Hosts []revisionwaiter.Host `json:"hosts,omitempty"`
}

func (a applied) table(r *rows) {
	r.add("accepted as revision %d, change %s by %s", a.Revision, a.Change, a.Author)
	if a.Hosts != nil {
		printHosts(r, a.Hosts)
	}
}

// history is the result of config history.
type history struct {
	Changes []headRow `json:"changes"`
}

func (h history) table(r *rows) {
	r.add("REVISION\tTIME\tAUTHOR\tCHANGE\tREASON")
	for _, c := range h.Changes {
		r.add("%d\t%s\t%s\t%s\t%s", c.Revision, c.Time, c.Author, c.Change, c.Reason)
	}
}

// hosts is the result of config wait.
type hosts struct {
	*revisionwaiter.Report
}

func (h hosts) table(r *rows) {
	printHosts(r, h.Hosts)
}

func printHosts(r *rows, all []revisionwaiter.Host) {
	r.add("HOST\tDATACENTRE\tSTATE\tREVISION\tCONFIRMED\tADMIN")
	for _, h := range all {
		r.add("%s\t%s\t%s\t%d\t%v\t%s", dash(h.ID), dash(h.DataCentre), h.State, h.Revision, h.Confirmed, h.Admin)
	}
}

func dash(s string) string {
	if s == "" {
		return "-"
	}
	return s
}

// hostName names a host in a message.
func hostName(h revisionwaiter.Host) string {
	if h.ID == "" {
		return fmt.Sprintf("%s (%s)", h.Admin, h.State)
	}
	return fmt.Sprintf("%s (%s, %s, at revision %d)", h.ID, h.DataCentre, h.State, h.Revision)
}

// printConfig writes a configuration so that it can be applied again. The
// table form has the head in comments.
func (t *tool) printConfig(c *cobra.Command, a *config.Accepted) error {
	content, err := marshal(a.Config)
	if err != nil {
		return &failure{err: err}
	}
	if t.output == outputJSON {
		return printJSON(c, struct {
			headRow
			Config json.RawMessage `json:"config"`
		}{
			headRow: newHeadRow(a.Head),
			Config:  content,
		})
	}
	r := newHeadRow(a.Head)
	_, err = fmt.Fprintf(c.OutOrStdout(), "// Revision %d, change %s by %s at %s: %q\n%s\n",
		r.Revision, r.Change, r.Author, r.Time, r.Reason, content)
	return printed(err)
}

// marshal returns the JSON of a message. It is laid out again, as the
// encoder of the protocol buffers varies its spaces.
func marshal(m proto.Message) ([]byte, error) {
	raw, err := protojson.Marshal(m)
	if err != nil {
		return nil, eris.Wrap(err, "encode configuration")
	}
	out := bytes.Buffer{}
	if err := json.Indent(&out, raw, "", "  "); err != nil {
		return nil, eris.Wrap(err, "encode configuration")
	}
	return out.Bytes(), nil
}
