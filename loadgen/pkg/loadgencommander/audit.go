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

// maxLineBytes is the maximum length of a line in the audited files.
const maxLineBytes = 1 << 20

// errAuditFailed reports that an audit found differences.
var errAuditFailed = eris.New("executions of mutations do not match the outcomes that callers received")

// mutationLine is a line of the outcomes file: the outcome of one mutation as its
// caller received it.
type mutationLine struct {
	RequestKey string `json:"key"`
	Record     string `json:"record"`
	// Executed is "yes" for an answer, or "no" or "unknown" as a refusal states. It
	// is "unknown" if the request was lost.
	Executed string `json:"run"`
	Detail   string `json:"detail,omitempty"`
}

// executionLine is a line of the journal of a target stand-in: one execution of a
// mutation.
type executionLine struct {
	RequestKey string `json:"key"`
}

// audit is the result of an audit. Its lists contain request keys.
type audit struct {
	mutations  int
	executions int
	// executedTwice lists the mutations that were executed more than once.
	executedTwice []string
	// executedThoughRefused lists the mutations that were executed although a refusal
	// stated that they were not.
	executedThoughRefused []string
	// notExecutedThoughAnswered lists the mutations that were not executed although
	// their callers received an answer.
	notExecutedThoughAnswered []string
	// withoutCaller lists the executions without a mutation in the outcomes file.
	withoutCaller []string
}

func newAuditCommand() *cobra.Command {
	var mutations string
	var journals []string
	cmd := &cobra.Command{
		Use:   "audit",
		Short: "Compare the executions of mutations with the outcomes that callers received",
		Long: "Reads the outcomes that loadgen run wrote and the journals of the target stand-ins.\n" +
			"Fails if a mutation was executed more than once, without a caller or although its\n" +
			"refusal said that it was not, or if it was answered but not executed.",
		Example: "  loadgen run --profile kahikatea --classes entry --entry http://127.0.1.1:20000 --mutations outcomes.jsonl\n" +
			"  loadgen audit --mutations outcomes.jsonl --journal executions.jsonl",
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return runAudit(cmd.OutOrStdout(), mutations, journals)
		},
	}
	cmd.Flags().StringVar(&mutations, "mutations", "", "file with the outcomes, written by loadgen run --mutations")
	cmd.Flags().StringArrayVar(&journals, "journal", nil, "file with the executions, written by standin target --journal; may be repeated")
	return cmd
}

func runAudit(w io.Writer, mutations string, journals []string) error {
	outcomes, err := readLines[mutationLine](mutations)
	if err != nil {
		return eris.Wrap(err, "flag --mutations")
	}
	var executions []executionLine
	for _, file := range journals {
		lines, err := readLines[executionLine](file)
		if err != nil {
			return eris.Wrap(err, "flag --journal")
		}
		executions = append(executions, lines...)
	}
	a := auditExecutions(outcomes, executions)
	if _, err := fmt.Fprintf(w, "mutations %d, executions %d\nexecuted more than once %d %v\nexecuted though refused %d %v\nnot executed though answered %d %v\nwithout a caller %d %v\n",
		a.mutations, a.executions, len(a.executedTwice), a.executedTwice, len(a.executedThoughRefused), a.executedThoughRefused, len(a.notExecutedThoughAnswered), a.notExecutedThoughAnswered, len(a.withoutCaller), a.withoutCaller); err != nil {
		return eris.Wrap(err, "write audit")
	}
	if len(a.executedTwice)+len(a.executedThoughRefused)+len(a.notExecutedThoughAnswered)+len(a.withoutCaller) > 0 {
		return errAuditFailed
	}
	return nil
}

// auditExecutions compares the outcomes of mutations with their executions.
func auditExecutions(outcomes []mutationLine, executions []executionLine) *audit {
	a := &audit{
		mutations:  len(outcomes),
		executions: len(executions),
	}
	counts := make(map[string]int)
	for _, r := range executions {
		if counts[r.RequestKey]++; counts[r.RequestKey] == 2 {
			a.executedTwice = append(a.executedTwice, r.RequestKey)
		}
	}
	known := make(map[string]bool)
	for _, m := range outcomes {
		known[m.RequestKey] = true
		switch n := counts[m.RequestKey]; {
		case m.Executed == "no" && n > 0:
			a.executedThoughRefused = append(a.executedThoughRefused, m.RequestKey)
		case m.Executed == "yes" && n == 0:
			a.notExecutedThoughAnswered = append(a.notExecutedThoughAnswered, m.RequestKey)
		}
	}
	for _, r := range executions {
		if !known[r.RequestKey] {
			a.withoutCaller = append(a.withoutCaller, r.RequestKey)
		}
	}
	return a
}

// readLines reads a file of JSON lines. Its errors name the file and the line.
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
