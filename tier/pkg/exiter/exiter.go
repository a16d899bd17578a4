// Package exiter runs the command line of a daemon and turns its errors into exit
// codes, the same for all daemons.
package exiter

import (
	"errors"
	"fmt"
	"io"

	"github.com/spf13/cobra"
)

// Exit codes.
const (
	OK     = 0
	Failed = 1
	// Usage reports a fault of the command line.
	Usage = 2
	// Cut reports that a stop cut requests that were running.
	Cut = 3
)

// Help lists the exit codes, for the help text of a command.
const Help = "Exit codes: 0 stopped, 1 failed, 2 wrong usage, 3 a stop cut running requests."

// ErrCut reports that a stop cut requests that were running.
var ErrCut = errors.New("running requests were cut")

// usageError is a fault of the command line.
type usageError struct{ error }

// Misused marks an error as a fault of the command line.
func Misused(err error) error { return usageError{err} }

// Run executes a command and returns its exit code. Errors are printed with the
// name of the program.
func Run(cmd *cobra.Command, args []string, stdout, stderr io.Writer) int {
	cmd.SilenceUsage, cmd.SilenceErrors = true, true
	cmd.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return Misused(err) })
	cmd.SetArgs(args)
	cmd.SetOut(stdout)
	cmd.SetErr(stderr)
	err := cmd.Execute()
	if err == nil {
		return OK
	}
	// The code remains if nobody reads the message.
	_, _ = fmt.Fprintf(stderr, "%s: %v\n", cmd.Name(), err)
	var usage usageError
	switch {
	case errors.Is(err, ErrCut):
		return Cut
	case errors.As(err, &usage):
		return Usage
	}
	return Failed
}
