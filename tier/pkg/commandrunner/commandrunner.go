// Package commandrunner runs the command line of a daemon and maps errors to
// exit codes, which are the same for all daemons.
package commandrunner

import (
	"errors"
	"fmt"
	"io"

	"github.com/spf13/cobra"
)

// Exit codes of daemons.
const (
	ExitOK     = 0
	ExitFailed = 1
	// ExitUsage reports wrong usage of the command line.
	ExitUsage = 2
	// ExitAborted reports that the shutdown aborted requests in flight.
	ExitAborted = 3
)

// ExitCodeHelp describes the exit codes, for the help text of a command.
const ExitCodeHelp = "Exit codes: 0 stopped, 1 failed, 2 wrong usage, 3 stopped with requests in flight aborted."

// ErrRequestsAborted reports that the shutdown aborted requests in flight.
var ErrRequestsAborted = errors.New("shutdown aborted requests in flight")

// usageError is an error of the command line's usage.
type usageError struct{ error }

// NewUsageError marks an error as wrong usage of the command line, for which Run
// returns ExitUsage.
func NewUsageError(err error) error { return usageError{err} }

// Run executes a command and returns its exit code. It prints an error to stderr
// after the name of the command.
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
	// The exit code still tells the outcome if the message can not be written.
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
