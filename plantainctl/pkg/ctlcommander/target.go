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

// drainTries bounds the attempts to change one target while others change the
// configuration.
const drainTries = 5

var errNoTarget = errors.New("no such target in the configuration")

func (t *tool) target() *cobra.Command {
	return group("target", "List targets, and stop or resume new work to them",
		t.targetList(), t.targetDrain("drain ID", "Stop new work to a target", true),
		t.targetDrain("resume ID", "Resume new work to a drained target", false))
}

// targetRow is one target of the configuration.
type targetRow struct {
	ID         string `json:"id"`
	Address    string `json:"address"`
	DataCentre string `json:"datacentre"`
	Slots      uint32 `json:"slots"`
	Leaving    bool   `json:"leaving"`
}

type targetList []targetRow

func (l targetList) table(r *rows) {
	r.add("TARGET\tADDRESS\tDATACENTRE\tSLOTS\tLEAVING")
	for _, t := range l {
		r.add("%s\t%s\t%s\t%d\t%v", t.ID, t.Address, t.DataCentre, t.Slots, t.Leaving)
	}
}

func (t *tool) targetList() *cobra.Command {
	return t.command("list", "List the configured targets",
		"  plantainctl target list --kv 10.0.0.9:2379",
		cobra.NoArgs,
		func(ctx context.Context, c *cobra.Command, _ []string) error {
			if err := need("kv", t.kv); err != nil {
				return err
			}
			store, err := t.open(t)
			if err != nil {
				return &failure{err: err}
			}
			a, err := configreader.Read(ctx, store)
			if err != nil {
				return &failure{err: err}
			}
			out := targetList{}
			for _, x := range a.GetConfig().GetTargets() {
				out = append(out, targetRow{
					ID:         x.GetId(),
					Address:    x.GetAddress(),
					DataCentre: x.GetDatacentre(),
					Slots:      x.GetSlots(),
					Leaving:    x.GetLeaving(),
				})
			}
			return t.print(c, out)
		})
}

func (t *tool) targetDrain(use, short string, leaving bool) *cobra.Command {
	var author string
	c := t.command(use, short,
		fmt.Sprintf("  plantainctl target %s --kv 10.0.0.9:2379", use),
		cobra.ExactArgs(1),
		func(ctx context.Context, c *cobra.Command, args []string) error {
			if err := need("kv", t.kv); err != nil {
				return err
			}
			head, err := t.setLeaving(ctx, args[0], author, leaving)
			if err != nil {
				return &failure{err: err}
			}
			return t.print(c, applied{headRow: newHeadRow(head)})
		})
	c.Flags().StringVar(&author, "author", "operator", "who makes the change")
	return c
}

// setLeaving changes one target. A change that loses a race is made anew on
// top of the winner, as it touches nothing else.
func (t *tool) setLeaving(ctx context.Context, id, author string, leaving bool) (*config.Head, error) {
	store, err := t.open(t)
	if err != nil {
		return nil, err
	}
	p := &proposer.Proposer{
		Store: store,
		Clock: t.clock,
	}
	var lost *proposer.ConflictError
	for range drainTries {
		a, err := configreader.Read(ctx, store)
		if err != nil {
			return nil, err
		}
		if err := markLeaving(a.GetConfig(), id, leaving); err != nil {
			return nil, err
		}
		name, err := t.newID()
		if err != nil {
			return nil, err
		}
		base := a.GetHead().GetRevision()
		head, err := p.Propose(ctx, proposer.Change{
			ID:           name,
			Author:       author,
			Reason:       fmt.Sprintf("target %s: leaving %v", id, leaving),
			BaseRevision: &base,
			Config:       a.GetConfig(),
		})
		if !errors.As(err, &lost) {
			return head, err
		}
	}
	return nil, lost
}

func markLeaving(cfg *config.Config, id string, leaving bool) error {
	for _, x := range cfg.GetTargets() {
		if x.GetId() == id {
			x.Leaving = leaving
			return nil
		}
	}
	return fmt.Errorf("target %q: %w", id, errNoTarget)
}
