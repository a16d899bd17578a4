// Package commandrunner runs the command line of a daemon and turns its errors into exit
// codes, the same for all daemons.
package commandrunner

import (
	"errors"
	"fmt"
	"io"

	"github.com/spf13/cobra"
)

// Exit codes.
const (
	ExitOK     = 0
	ExitFailed = 1
	// ExitUsage reports a fault of the command line.
	ExitUsage = 2
	// ExitAborted reports that a stop cut requests that were running.
	ExitAborted = 3
)

// ExitCodeHelp lists the exit codes, for the help text of a command.
const ExitCodeHelp = "Exit codes: 0 stopped, 1 failed, 2 wrong usage, 3 a stop cut running requests."

// ErrRequestsAborted reports that a stop cut requests that were running.
var ErrRequestsAborted = errors.New("running requests were cut")

// usageError is a fault of the command line.
type usageError struct{ error }

// NewUsageError marks an error as a fault of the command line.
func NewUsageError(err error) error { return usageError{err} }

// Run executes a command and returns its exit code. Errors are printed with the
// name of the program.
func Run(cmd *cobra.Command, args []string, stdout, stderr io.Writer) int {
	cmd.SilenceUsage, cmd.SilenceErrors = true, true
	cmd.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return NewUsageError(err) })
	cmd.SetArgs(args)
	cmd.SetOut(stdout)
	cmd.SetErr(stderr)
	err := cmd.Execute()
	if err == nil {
		return ExitOK
	}
	// The code remains if nobody reads the message.
	_, _ = fmt.Fprintf(stderr, "%s: %v\n", cmd.Name(), err)
	var usage usageError
	switch {
	case errors.Is(err, ErrRequestsAborted):
		return ExitAborted
	case errors.As(err, &usage):
		return ExitUsage
	}
	return ExitFailed
}
