// Package ctlcommander implements the command line of plantainctl.
//
// The exit code distinguishes the results for scripts: see the constants CodeOK to
// CodeNotInForce.
package ctlcommander

import (
	"context"
	"errors"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/spf13/cobra"

	"plantaincleat/plantainctl/pkg/adminclient"
	"plantaincleat/plantainctl/pkg/revisionwaiter"
	"plantaincleat/tier/pkg/proposer"
	"plantaincleat/tier/pkg/storer"
)

// Exit codes.
const (
	CodeOK = 0
	// CodeRefused means that the input was refused or that the command failed for
	// a reason without its own code. Nothing was changed, unless the error message
	// says that the output could not be written.
	CodeRefused = 1
	// CodeUsage means invalid flags or arguments.
	CodeUsage = 2
	// CodeUnavailable means that the key-value service did not answer. The error
	// message states whether the change may have been accepted.
	CodeUnavailable = 3
	// CodeConflict means that another change was accepted first. Nothing was changed.
	CodeConflict = 4
	// CodeNotInForce means that a revision is not known to be in force on every
	// daemon.
	CodeNotInForce = 5
)

const exitHelp = `Exit codes:
  0  done
  1  refused, invalid, not found, or no daemon answered; nothing was changed
  2  invalid flags or arguments
  3  the key-value service did not answer; the message states whether the
     change may have been accepted
  4  another change was accepted first; the message names it
  5  the revision is not in force on every host; the output lists the hosts`

// errNotInForce reports that a revision is not known to be in force on every daemon.
var errNotInForce = errors.New("revision not in force everywhere")

// commandError is an error of a command whose flags and arguments are valid. All other
// errors are usage errors.
type commandError struct {
	err error
}

func (e *commandError) Error() string { return e.err.Error() }

func (e *commandError) Unwrap() error { return e.err }

// tool contains the flags that all commands share, and the dependencies that tests
// replace.
type tool struct {
	kv, entries          []string
	output               string
	timeout              time.Duration
	ca, certificate, key string
	insecure             bool

	clock clockwork.Clock
	// newID returns an id for a change.
	newID func() (string, error)
	// newStore connects to the key-value service.
	newStore func(t *tool) (storer.Store, error)
	// newWaiter returns a waiter that polls the daemons' admin listeners.
	newWaiter func(t *tool) (*revisionwaiter.Waiter, error)
	// newAdminClient returns a client of the daemons' admin listeners.
	newAdminClient func(t *tool) (*adminclient.Client, error)
}

// Run executes a command line and returns its exit code.
func Run(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	t := &tool{
		clock:          clockwork.NewRealClock(),
		newID:          proposer.NewID,
		newStore:       openStore,
		newWaiter:      openWaiter,
		newAdminClient: openAdminClient,
	}
	return t.run(ctx, args, stdout, stderr)
}

func (t *tool) run(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	root := t.rootCommand()
	root.SetArgs(args)
	root.SetOut(stdout)
	root.SetErr(stderr)
	err := root.ExecuteContext(ctx)
	if err == nil {
		return CodeOK
	}
	code := exitCode(err)
	hint := ""
	if code == CodeUsage {
		hint = "Run with --help for usage.\n"
	}
	// The error is ignored, because the exit code reports the failure as well.
	_, _ = fmt.Fprintf(stderr, "plantainctl: %v\n%s", err, hint)
	return code
}

// exitCode returns the exit code for an error.
func exitCode(err error) int {
	var cmdErr *commandError
	var conflict *proposer.ConflictError
	switch {
	case !errors.As(err, &cmdErr):
		return CodeUsage
	case errors.As(err, &conflict):
		return CodeConflict
	case errors.Is(err, errNotInForce):
		return CodeNotInForce
	case errors.Is(err, storer.ErrUnavailable), errors.Is(err, storer.ErrUnknownOutcome):
		return CodeUnavailable
	}
	return CodeRefused
}

func (t *tool) rootCommand() *cobra.Command {
	root := &cobra.Command{
		Use:           "plantainctl",
		Short:         "Operate the query tier",
		Long:          "Operates the query tier.\n\n" + exitHelp,
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	f := root.PersistentFlags()
	f.StringSliceVar(&t.kv, "kv", nil, "addresses (IP:PORT) of the key-value service")
	f.StringSliceVar(&t.entries, "entry", nil, "addresses (IP:PORT) of the daemons' admin listeners")
	f.StringVar(&t.output, "output", outputTable, "output format, table or json")
	f.DurationVar(&t.timeout, "timeout", 15*time.Second, "time allowed for the command")
	f.StringVar(&t.ca, "ca", "", "PEM file of the CA of the key-value service and the daemons")
	f.StringVar(&t.certificate, "certificate", "", "PEM file of the client certificate")
	f.StringVar(&t.key, "key", "", "PEM file of the private key of the client certificate")
	f.BoolVar(&t.insecure, "insecure", false, "allow plain text on addresses other than loopback")
	formats := cobra.FixedCompletions([]string{outputTable, outputJSON}, cobra.ShellCompDirectiveNoFileComp)
	// RegisterFlagCompletionFunc fails only for a flag that does not exist.
	_ = root.RegisterFlagCompletionFunc("output", formats)
	root.AddCommand(t.configCommand(), t.targetCommand(), t.quarantineCommand(), t.evacuationCommand(), t.statusCommand(), t.explainCommand())
	return root
}

// newCommand returns a command that validates the shared flags and calls f with a
// context that ends after the --timeout. It completes file names if use contains
// FILE.
func (t *tool) newCommand(use, short, example string, args cobra.PositionalArgs, f func(ctx context.Context, c *cobra.Command, args []string) error) *cobra.Command {
	c := &cobra.Command{
		Use:     use,
		Short:   short,
		Long:    short + ".\n\n" + exitHelp,
		Example: example,
		Args:    args,
		RunE: func(c *cobra.Command, args []string) error {
			if err := t.checkFlags(c); err != nil {
				return err
			}
			ctx, cancel := clockwork.WithTimeout(c.Context(), t.clock, t.timeout)
			defer cancel()
			return f(ctx, c, args)
		},
	}
	if !strings.Contains(use, "FILE") {
		c.ValidArgsFunction = cobra.NoFileCompletions
	}
	return c
}

// newGroup returns a command that only contains subcommands.
func newGroup(use, short string, commands ...*cobra.Command) *cobra.Command {
	c := &cobra.Command{
		Use:   use,
		Short: short,
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			return fmt.Errorf("%s: a subcommand is required", c.CommandPath())
		},
	}
	c.AddCommand(commands...)
	return c
}
