// Package ctlcommander is the command line of the operators' tool.
//
// The exit code tells a script what happened: see the constants CodeOK to
// CodeMissing.
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
	// CodeRefused means that the input was refused or something failed for
	// good. Nothing was changed.
	CodeRefused = 1
	// CodeUsage means wrong flags or arguments.
	CodeUsage = 2
	// CodeUnavailable means that the key-value service did not answer. The
	// message tells whether the change may have been accepted.
	CodeUnavailable = 3
	// CodeConflict means that another change was accepted first.
	CodeConflict = 4
	// CodeNotInForce means that a revision is not in force everywhere.
	CodeNotInForce = 5
)

const exitHelp = `Exit codes:
  0  done
  1  refused, invalid, not found, or no daemon answered; nothing was changed
  2  wrong flags or arguments
  3  the key-value service did not answer; the message tells whether the
     change may have been accepted
  4  another change was accepted first; the message names it
  5  the revision is not in force on every host; the output names them`

// errNotInForce reports that a revision is not in force everywhere.
var errNotInForce = errors.New("not in force everywhere")

// commandError is an error of a command that was used rightly.
type commandError struct {
	err error
}

func (f *commandError) Error() string { return f.err.Error() }

func (f *commandError) Unwrap() error { return f.err }

// tool holds the flags that all commands share and what they depend on.
type tool struct {
	kv, entries          []string
	output               string
	timeout              time.Duration
	ca, certificate, key string
	insecure             bool

	clock clockwork.Clock
	newID func() (string, error)
	// newStore connects to the key-value service.
	newStore func(t *tool) (storer.Store, error)
	// newWaiter returns a Waiter.
	newWaiter func(t *tool) (*revisionwaiter.Waiter, error)
	// newAdminClient returns an Asker.
	newAdminClient func(t *tool) (*adminclient.Client, error)
}

// Run executes a command line and returns the exit code.
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
	// The exit code remains if nobody reads the message.
	_, _ = fmt.Fprintf(stderr, "plantainctl: %v\n%s", err, hint)
	return code
}

// exitCode maps an error to the code that stands for it.
func exitCode(err error) int {
	var failed *commandError
	var lost *proposer.ConflictError
	switch {
	case !errors.As(err, &failed):
		return CodeUsage
	case errors.As(err, &lost):
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
	f.StringSliceVar(&t.kv, "kv", nil, "IP addresses with ports of the key-value service")
	f.StringSliceVar(&t.entries, "entry", nil, "IP addresses with ports of daemons' admin listeners")
	f.StringVar(&t.output, "output", outputTable, "table or json")
	f.DurationVar(&t.timeout, "timeout", 15*time.Second, "time allowed for the command")
	f.StringVar(&t.ca, "ca", "", "PEM file of the CA of the service and the daemons")
	f.StringVar(&t.certificate, "certificate", "", "PEM file of the tool's certificate")
	f.StringVar(&t.key, "key", "", "PEM file of the certificate's key")
	f.BoolVar(&t.insecure, "insecure", false, "allow plain text on addresses other than loopback")
	forms := cobra.FixedCompletions([]string{outputTable, outputJSON}, cobra.ShellCompDirectiveNoFileComp)
	// It fails only for a flag that does not exist.
	_ = root.RegisterFlagCompletionFunc("output", forms)
	root.AddCommand(t.configCommand(), t.targetCommand(), t.quarantineCommand(), t.statusCommand(), t.explainCommand())
	return root
}

// newCommand makes a command that takes the arguments named in use.
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

// newGroup makes a command that only holds others.
func newGroup(use, short string, commands ...*cobra.Command) *cobra.Command {
	c := &cobra.Command{
		Use:   use,
		Short: short,
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			return fmt.Errorf("%s needs a command", c.CommandPath())
		},
	}
	c.AddCommand(commands...)
	return c
}
