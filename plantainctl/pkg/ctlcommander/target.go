package ctlcommander

import (
	"context"
	"errors"
	"fmt"

	"github.com/spf13/cobra"

	"plantaincleat/tier/gen/config"
	"plantaincleat/tier/pkg/configreader"
	"plantaincleat/tier/pkg/proposer"
)

// maxDrainAttempts is the maximum number of attempts to change one target while other
// changes of the configuration are accepted first.
const maxDrainAttempts = 5

var errNoTarget = errors.New("not in the configuration")

func (t *tool) targetCommand() *cobra.Command {
	return newGroup("target", "List targets, and stop or resume sending new requests to them",
		t.targetListCommand(), t.targetDrainCommand("drain ID", "Stop sending new requests to a target", true),
		t.targetDrainCommand("resume ID", "Resume sending new requests to a drained target", false))
}

// targetRow is the printable form of a target of the configuration.
type targetRow struct {
	ID         string `json:"id"`
	Address    string `json:"address"`
	DataCentre string `json:"datacentre"`
	Slots      uint32 `json:"slots"`
	Draining   bool   `json:"leaving"`
}

type targetList []targetRow

func (l targetList) writeTable(w *tableWriter) {
	w.addRow("TARGET\tADDRESS\tDATACENTRE\tSLOTS\tLEAVING")
	for _, t := range l {
		w.addRow("%s\t%s\t%s\t%d\t%v", t.ID, t.Address, t.DataCentre, t.Slots, t.Draining)
	}
}

func (t *tool) targetListCommand() *cobra.Command {
	return t.newCommand("list", "List the configured targets",
		"  plantainctl target list --kv 10.0.0.9:2379",
		cobra.NoArgs,
		func(ctx context.Context, c *cobra.Command, _ []string) error {
			if err := requireAddresses("kv", t.kv); err != nil {
				return err
			}
			store, err := t.newStore(t)
			if err != nil {
				return &commandError{err: err}
			}
			a, err := configreader.Read(ctx, store)
			if err != nil {
				return &commandError{err: err}
			}
			out := targetList{}
			for _, target := range a.GetConfig().GetTargets() {
				out = append(out, targetRow{
					ID:         target.GetId(),
					Address:    target.GetAddress(),
					DataCentre: target.GetDatacentre(),
					Slots:      target.GetSlots(),
					Draining:   target.GetLeaving(),
				})
			}
			return t.print(c, out)
		})
}

func (t *tool) targetDrainCommand(use, short string, draining bool) *cobra.Command {
	var author string
	c := t.newCommand(use, short,
		fmt.Sprintf("  plantainctl target %s --kv 10.0.0.9:2379", use),
		cobra.ExactArgs(1),
		func(ctx context.Context, c *cobra.Command, args []string) error {
			if err := requireAddresses("kv", t.kv); err != nil {
				return err
			}
			head, err := t.setDraining(ctx, args[0], author, draining)
			if err != nil {
				return &commandError{err: err}
			}
			return t.print(c, applyResult{headRow: newHeadRow(head)})
		})
	c.Flags().StringVar(&author, "author", "operator", "author of the change")
	return c
}

// setDraining sets or clears the leaving flag of one target and returns the head of the
// accepted configuration. If another change is accepted first, it repeats its change
// on the new configuration, which is safe because it modifies nothing else.
func (t *tool) setDraining(ctx context.Context, id, author string, draining bool) (*config.Head, error) {
	store, err := t.newStore(t)
	if err != nil {
		return nil, err
	}
	p := &proposer.Proposer{
		Store: store,
		Clock: t.clock,
	}
	var conflict *proposer.ConflictError
	for range maxDrainAttempts {
		a, err := configreader.Read(ctx, store)
		if err != nil {
			return nil, err
		}
		if err := markDraining(a.GetConfig(), id, draining); err != nil {
			return nil, err
		}
		changeID, err := t.newID()
		if err != nil {
			return nil, err
		}
		base := a.GetHead().GetRevision()
		head, err := p.Propose(ctx, proposer.Change{
			ID:           changeID,
			Author:       author,
			Reason:       fmt.Sprintf("target %s: leaving %v", id, draining),
			BaseRevision: &base,
			Config:       a.GetConfig(),
		})
		if !errors.As(err, &conflict) {
			return head, err
		}
	}
	return nil, conflict
}

// markDraining sets the leaving flag of the target with the given id.
func markDraining(cfg *config.Config, id string, draining bool) error {
	for _, target := range cfg.GetTargets() {
		if target.GetId() == id {
			target.Leaving = draining
			return nil
		}
	}
	return fmt.Errorf("target %q: %w", id, errNoTarget)
}
