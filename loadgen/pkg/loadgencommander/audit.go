package loadgencommander

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"os"

	"github.com/rotisserie/eris"
	"github.com/spf13/cobra"
)

// maxLineBytes bounds a line of the files in bytes.
const maxLineBytes = 1 << 20

// errAuditFailed ends an audit that found a fault.
var errAuditFailed = eris.New("runs of mutations do not match what callers were told")

// mutationLine is the outcome of one mutation as its caller knows it.
type mutationLine struct {
	// RequestKey is the request key.
	RequestKey string `json:"key"`
	Record     string `json:"record"`
	// Executed is "yes", "no" or "unknown".
	Executed string `json:"run"`
	Detail   string `json:"detail,omitempty"`
}

// executionLine is one run of a mutation, as the target stand-in logs it.
type executionLine struct {
	RequestKey string `json:"key"`
}

// audit counts the mutations and their faults.
type audit struct {
	mutations  int
	executions int
	// executedTwice ran more than once.
	executedTwice []string
	// executedThoughRefused ran although their caller was told that they had not.
	executedThoughRefused []string
	// notExecutedThoughAnswered did not run although their caller was told that they had.
	notExecutedThoughAnswered []string
	// withoutCaller ran without any caller's request.
	withoutCaller []string
}

func newAuditCommand() *cobra.Command {
	var mutations string
	var journals []string
	cmd := &cobra.Command{
		Use:   "audit",
		Short: "Compare the runs of mutations with what callers were told",
		Long: "Reads the outcomes that loadgen run wrote and the journals of the target\n" +
			"stand-ins, and fails if a mutation ran twice, ran although its refusal said that\n" +
			"it had not, or did not run although its answer said so.",
		Example: "  loadgen run --profile kahikatea --classes entry --entry http://127.0.1.1:20000 --mutations told.jsonl\n" +
			"  loadgen audit --mutations told.jsonl --journal runs.jsonl",
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return runAudit(cmd.OutOrStdout(), mutations, journals)
		},
	}
	cmd.Flags().StringVar(&mutations, "mutations", "", "outcomes, from loadgen run --mutations")
	cmd.Flags().StringArrayVar(&journals, "journal", nil, "runs, from standin target --journal; may be repeated")
	return cmd
}

func runAudit(w io.Writer, mutations string, journals []string) error {
	told, err := readLines[mutationLine](mutations)
	if err != nil {
		return eris.Wrap(err, "flag --mutations")
	}
	var runs []executionLine
	for _, file := range journals {
		lines, err := readLines[executionLine](file)
		if err != nil {
			return eris.Wrap(err, "flag --journal")
		}
		runs = append(runs, lines...)
	}
	a := auditExecutions(told, runs)
	if _, err := fmt.Fprintf(w, "mutations %d, runs %d\ndoubled %d %v\nrun though refused %d %v\nnot run though answered %d %v\nwithout a caller %d %v\n",
		a.mutations, a.executions, len(a.executedTwice), a.executedTwice, len(a.executedThoughRefused), a.executedThoughRefused, len(a.notExecutedThoughAnswered), a.notExecutedThoughAnswered, len(a.withoutCaller), a.withoutCaller); err != nil {
		return eris.Wrap(err, "write audit")
	}
	if len(a.executedTwice)+len(a.executedThoughRefused)+len(a.notExecutedThoughAnswered)+len(a.withoutCaller) > 0 {
		return errAuditFailed
	}
	return nil
}

func auditExecutions(told []mutationLine, runs []executionLine) *audit {
	a := &audit{
		mutations:  len(told),
		executions: len(runs),
	}
	counts := make(map[string]int)
	for _, r := range runs {
		if counts[r.RequestKey]++; counts[r.RequestKey] == 2 {
			a.executedTwice = append(a.executedTwice, r.RequestKey)
		}
	}
	known := make(map[string]bool)
	for _, m := range told {
		known[m.RequestKey] = true
		switch n := counts[m.RequestKey]; {
		case m.Executed == "no" && n > 0:
			a.executedThoughRefused = append(a.executedThoughRefused, m.RequestKey)
		case m.Executed == "yes" && n == 0:
			a.notExecutedThoughAnswered = append(a.notExecutedThoughAnswered, m.RequestKey)
		}
	}
	for _, r := range runs {
		if !known[r.RequestKey] {
			a.withoutCaller = append(a.withoutCaller, r.RequestKey)
		}
	}
	return a
}

// readLines reads a file of JSON lines.
func readLines[T any](file string) ([]T, error) {
	b, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	var list []T
	s := bufio.NewScanner(bytes.NewReader(b))
	s.Buffer(nil, maxLineBytes)
	for n := 1; s.Scan(); n++ {
		var line T
		if err := json.Unmarshal(s.Bytes(), &line); err != nil {
			return nil, eris.Wrapf(err, "file %s: line %d", file, n)
		}
		list = append(list, line)
	}
	return list, s.Err()
}
