package ctlcommander

import (
	"context"
	"errors"
	"fmt"
	"os/user"
	"strconv"
	"strings"

	"github.com/rotisserie/eris"
	"github.com/spf13/cobra"

	"plantaincleat/plantainctl/pkg/revisionwaiter"
	"plantaincleat/tier/pkg/configreader"
	"plantaincleat/tier/pkg/loader"
	"plantaincleat/tier/pkg/proposer"
)

func (t *tool) configCommand() *cobra.Command {
	return newGroup("config", "Check, change and follow the configuration",
		t.configCheckCommand(), t.configApplyCommand(), t.configGetCommand(), t.configHistoryCommand(), t.configWaitCommand())
}

func (t *tool) configCheckCommand() *cobra.Command {
	return t.newCommand("check FILE", "Check a configuration file without applying it",
		"  plantainctl config check fleet.json",
		cobra.ExactArgs(1),
		func(_ context.Context, c *cobra.Command, args []string) error {
			cfg, err := loader.LoadConfig(args[0])
			if err != nil {
				return &commandError{err: err}
			}
			return t.print(c, newCheckResult(args[0], cfg))
		})
}

// applyFlags are the flags of config apply.
type applyFlags struct {
	id, author, reason string
	base, above        uint64
	wait               bool
}

func (t *tool) configApplyCommand() *cobra.Command {
	flags := &applyFlags{}
	c := t.newCommand("apply FILE", "Check a configuration file and apply it",
		"  plantainctl config apply fleet.json --kv 10.0.0.9:2379 --reason 'add t7' --base 41\n"+
			"  plantainctl config apply fleet.json --kv 10.0.0.9:2379 --wait --entry 10.0.0.1:8082",
		cobra.ExactArgs(1),
		func(ctx context.Context, c *cobra.Command, args []string) error {
			return t.apply(ctx, c, flags, args[0])
		})
	f := c.Flags()
	f.StringVar(&flags.author, "author", "", "author of the change (default the user's name)")
	f.StringVar(&flags.reason, "reason", "", "reason for the change")
	f.Uint64Var(&flags.base, "base", 0, "revision that the change replaces; the change is refused if another one is current")
	f.Uint64Var(&flags.above, "above", 0, "revision that the new revision must exceed; only after the key-value service has lost its content")
	f.StringVar(&flags.id, "id", "", "id of an earlier attempt that may have been accepted; the change is not accepted twice")
	f.BoolVar(&flags.wait, "wait", false, "wait until the change is in force on every host; requires --entry")
	return c
}

// apply proposes the change, prints the result, and with --wait waits until the
// change is in force on every host.
func (t *tool) apply(ctx context.Context, c *cobra.Command, flags *applyFlags, file string) error {
	if err := requireAddresses("kv", t.kv); err != nil {
		return err
	}
	if flags.wait {
		if err := requireAddresses("entry", t.entries); err != nil {
			return err
		}
	}
	change, err := t.newChange(c, flags, file)
	if err != nil {
		return &commandError{err: err}
	}
	store, err := t.newStore(t)
	if err != nil {
		return &commandError{err: err}
	}
	p := &proposer.Proposer{
		Store: store,
		Clock: t.clock,
	}
	head, err := p.Propose(ctx, change)
	var unknownOutcome *proposer.UnknownOutcomeError
	if errors.As(err, &unknownOutcome) {
		err = fmt.Errorf("%w; to find out, run the same command with --id %s", err, change.ID)
	}
	if err != nil {
		return &commandError{err: err}
	}
	out := applyResult{headRow: newHeadRow(head)}
	if !flags.wait {
		return t.print(c, out)
	}
	w, err := t.newWaiter(t)
	if err != nil {
		return &commandError{err: err}
	}
	report := w.Wait(ctx, t.entries, head.Revision)
	out.Hosts = report.Hosts
	if err := t.print(c, out); err != nil {
		return err
	}
	return newNotInForceError(report)
}

// newChange returns the change that the file and the flags describe. It supplies a
// new id and the user's name as the author if the flags do not give them.
func (t *tool) newChange(c *cobra.Command, flags *applyFlags, file string) (proposer.Change, error) {
	cfg, err := loader.LoadConfig(file)
	if err != nil {
		return proposer.Change{}, err
	}
	change := proposer.Change{
		ID:            flags.id,
		Author:        flags.author,
		Reason:        flags.reason,
		RevisionAbove: flags.above,
		Config:        cfg,
	}
	if c.Flags().Changed("base") {
		change.BaseRevision = &flags.base
	}
	if change.ID == "" {
		if change.ID, err = t.newID(); err != nil {
			return proposer.Change{}, err
		}
	}
	if change.Author == "" {
		u, err := user.Current()
		if err != nil {
			return proposer.Change{}, eris.Wrap(err, "flag --author is required: look up current user")
		}
		change.Author = u.Username
	}
	return change, nil
}

func (t *tool) configGetCommand() *cobra.Command {
	return t.newCommand("get", "Print the current configuration in a form that can be edited and applied",
		"  plantainctl config get --kv 10.0.0.9:2379 >fleet.json",
		cobra.NoArgs,
		func(ctx context.Context, c *cobra.Command, _ []string) error {
			if err := requireAddresses("kv", t.kv); err != nil {
				return err
			}
			store, err := t.newStore(t)
			if err != nil {
				return &commandError{err: err}
			}
			accepted, err := configreader.Read(ctx, store)
			if err != nil {
				return &commandError{err: err}
			}
			return t.printConfig(c, accepted)
		})
}

func (t *tool) configHistoryCommand() *cobra.Command {
	limit := 20
	c := t.newCommand("history", "List the accepted changes, newest first",
		"  plantainctl config history --kv 10.0.0.9:2379 --limit 5",
		cobra.NoArgs,
		func(ctx context.Context, c *cobra.Command, _ []string) error {
			if limit < 1 {
				return fmt.Errorf("flag --limit: %d is not positive", limit)
			}
			if err := requireAddresses("kv", t.kv); err != nil {
				return err
			}
			store, err := t.newStore(t)
			if err != nil {
				return &commandError{err: err}
			}
			heads, _, err := configreader.ReadHistory(ctx, store)
			if err != nil {
				return &commandError{err: err}
			}
			out := historyResult{}
			for _, head := range heads[:min(limit, len(heads))] {
				out.Changes = append(out.Changes, newHeadRow(head))
			}
			return t.print(c, out)
		})
	c.Flags().IntVar(&limit, "limit", limit, "maximum number of changes")
	return c
}

func (t *tool) configWaitCommand() *cobra.Command {
	return t.newCommand("wait REVISION", "Wait until a revision is in force on every host",
		"  plantainctl config wait 42 --entry 10.0.0.1:8082,10.0.1.1:8082 --timeout 30s",
		cobra.ExactArgs(1),
		func(ctx context.Context, c *cobra.Command, args []string) error {
			revision, err := strconv.ParseUint(args[0], 10, 64)
			if err != nil || revision == 0 {
				return fmt.Errorf("%q is not a revision", args[0])
			}
			if err := requireAddresses("entry", t.entries); err != nil {
				return err
			}
			w, err := t.newWaiter(t)
			if err != nil {
				return &commandError{err: err}
			}
			report := w.Wait(ctx, t.entries, revision)
			if err := t.print(c, waitResult{Report: report}); err != nil {
				return err
			}
			return newNotInForceError(report)
		})
}

// newNotInForceError returns an error that names the hosts on which the revision is not
// known to be in force, or nil if it is in force everywhere.
func newNotInForceError(report *revisionwaiter.Report) error {
	if report.InForceEverywhere() {
		return nil
	}
	names := []string{}
	for _, h := range report.Unconfirmed() {
		names = append(names, hostName(h))
	}
	return &commandError{
		err: eris.Wrapf(errNotInForce, "revision %d: %d of %d hosts have not confirmed it: %s",
			report.Revision, len(names), len(report.Hosts), strings.Join(names, ", ")),
	}
}
