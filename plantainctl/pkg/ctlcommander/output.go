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

// columnPadding is the minimum number of spaces between two columns.
const columnPadding = 2

// printable is a result that can be printed as a table, or as JSON through
// encoding/json.
type printable interface {
	writeTable(w *tableWriter)
}

// tableWriter writes the rows of a table. After the first error, which it keeps, it
// writes no more.
type tableWriter struct {
	w   *tabwriter.Writer
	err error
}

// addRow writes one row. The format separates the cells by tabs.
func (r *tableWriter) addRow(format string, args ...any) {
	if r.err == nil {
		_, r.err = fmt.Fprintf(r.w, format+"\n", args...)
	}
}

// print writes a result in the format that --output selects.
func (t *tool) print(c *cobra.Command, p printable) error {
	if t.output == outputJSON {
		return printJSON(c, p)
	}
	r := &tableWriter{w: tabwriter.NewWriter(c.OutOrStdout(), 0, 0, columnPadding, ' ', 0)}
	p.writeTable(r)
	if r.err == nil {
		r.err = r.w.Flush()
	}
	return newOutputError(r.err)
}

func printJSON(c *cobra.Command, v any) error {
	e := json.NewEncoder(c.OutOrStdout())
	e.SetIndent("", "  ")
	return newOutputError(e.Encode(v))
}

// newOutputError returns an error of writing the output as a commandError, or nil.
func newOutputError(err error) error {
	if err == nil {
		return nil
	}
	return &commandError{err: eris.Wrap(err, "write output")}
}

// checkResult is the result of config check: the numbers of objects in a valid
// configuration.
type checkResult struct {
	File         string `json:"file"`
	Targets      int    `json:"targets"`
	Collections  int    `json:"collections"`
	Institutions int    `json:"institutions"`
}

func newCheckResult(file string, cfg *config.Config) checkResult {
	return checkResult{
		File:         file,
		Targets:      len(cfg.GetTargets()),
		Collections:  len(cfg.GetCollections()),
		Institutions: len(cfg.GetInstitutions()),
	}
}

func (s checkResult) writeTable(w *tableWriter) {
	w.addRow("%s: valid, with %d targets, %d collections and %d institutions",
		s.File, s.Targets, s.Collections, s.Institutions)
}

// headRow is the printable form of the head of a configuration, which describes the
// change that was accepted.
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

// applyResult is the result of config apply, target drain and target resume. Hosts is
// set only by config apply --wait.
type applyResult struct {
	headRow
	Hosts []revisionwaiter.Host `json:"hosts,omitempty"`
}

func (a applyResult) writeTable(w *tableWriter) {
	w.addRow("accepted as revision %d, change %s by %s", a.Revision, a.Change, a.Author)
	if a.Hosts != nil {
		writeHosts(w, a.Hosts)
	}
}

// historyResult is the result of config history.
type historyResult struct {
	Changes []headRow `json:"changes"`
}

func (h historyResult) writeTable(w *tableWriter) {
	w.addRow("REVISION\tTIME\tAUTHOR\tCHANGE\tREASON")
	for _, c := range h.Changes {
		w.addRow("%d\t%s\t%s\t%s\t%s", c.Revision, c.Time, c.Author, c.Change, c.Reason)
	}
}

// waitResult is the result of config wait.
type waitResult struct {
	*revisionwaiter.Report
}

func (h waitResult) writeTable(w *tableWriter) {
	writeHosts(w, h.Hosts)
}

func writeHosts(w *tableWriter, hosts []revisionwaiter.Host) {
	w.addRow("HOST\tDATACENTRE\tSTATE\tREVISION\tCONFIRMED\tADMIN")
	for _, h := range hosts {
		w.addRow("%s\t%s\t%s\t%d\t%v\t%s", dashIfEmpty(h.ID), dashIfEmpty(h.DataCentre), h.State, h.HighestRevision, h.Confirmed, h.AdminAddress)
	}
}

func dashIfEmpty(s string) string {
	if s == "" {
		return "-"
	}
	return s
}

// hostName returns the name and state of a host for an error message.
func hostName(h revisionwaiter.Host) string {
	if h.ID == "" {
		return fmt.Sprintf("%s (%s)", h.AdminAddress, h.State)
	}
	return fmt.Sprintf("%s (%s, %s, at revision %d)", h.ID, h.DataCentre, h.State, h.HighestRevision)
}

// printConfig writes a configuration with its head. The table format is a valid input
// of config apply, with the head in a comment.
func (t *tool) printConfig(c *cobra.Command, a *config.Accepted) error {
	content, err := marshalIndented(a.Config)
	if err != nil {
		return &commandError{err: err}
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
	return newOutputError(err)
}

// marshalIndented returns the indented JSON of a message. It formats the output of
// protojson again, because protojson varies its white space deliberately.
func marshalIndented(m proto.Message) ([]byte, error) {
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
