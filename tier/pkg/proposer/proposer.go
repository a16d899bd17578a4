// Package proposer makes operators' changes of the configuration: it checks
// a change and has it accepted by compare-and-swap, at most once.
package proposer

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"time"
	"unicode"
	"unicode/utf8"

	"github.com/google/uuid"
	"github.com/jonboulle/clockwork"
	"github.com/rotisserie/eris"

	"plantaincleat/tier/gen/config"
	"plantaincleat/tier/pkg/checker"
	"plantaincleat/tier/pkg/configencoder"
	"plantaincleat/tier/pkg/configreader"
	"plantaincleat/tier/pkg/storer"
)

const (
	// textLimit is the length in bytes of the longest author or reason.
	textLimit = 1024
	// retryInterval is the time between two attempts to settle a write whose
	// outcome is unknown.
	retryInterval = 100 * time.Millisecond
	// partAttempts bounds the repetitions of an idempotent write of a part.
	partAttempts = 5
)

// Change is what an operator wants to have accepted.
type Change struct {
	// ID names the change. NewID makes one. The ID must not be used again
	// for other content.
	ID     string
	Author string
	Reason string
	// BaseRevision is the revision that the change replaces. Nil means the one that
	// is in force when Propose reads it.
	BaseRevision *uint64
	// RevisionAbove makes the new revision greater than this one. It is needed only
	// after the service has lost its content.
	RevisionAbove uint64
	Config        *config.Config
}

// Proposer proposes changes. All fields must be set.
type Proposer struct {
	Store storer.Store
	Clock clockwork.Clock
}

// NewID returns an identifier for a change: a UUID of version 7.
func NewID() (string, error) {
	id, err := uuid.NewV7()
	if err != nil {
		return "", eris.Wrap(err, "make the id of a change")
	}
	return id.String(), nil
}

// proposal is a change that is being accepted.
type proposal struct {
	change Change
	parts  []configencoder.Part
	digest []byte
	// state is what the change is based on.
	state *configreader.State
	head  *config.Head
}

// Propose checks a change and has it accepted. It returns the head under
// which the change was accepted. Errors are *InvalidError, *LostError,
// *UndecidedError, or wrap storer.ErrUnavailable, after which the change is
// certainly not accepted. To propose a change that was accepted before
// returns its head again.
func (p *Proposer) Propose(ctx context.Context, change Change) (*config.Head, error) {
	if err := check(change); err != nil {
		return nil, err
	}
	parts, err := configencoder.Encode(change.Config)
	if err != nil {
		return nil, err
	}
	digest, err := configencoder.Digest(change.Config)
	if err != nil {
		return nil, err
	}
	state, err := configreader.ReadState(ctx, p.Store)
	if err != nil {
		return nil, err
	}
	if head, err := p.previous(ctx, change, state); head != nil || err != nil {
		return head, err
	}
	g := &proposal{
		change: change,
		parts:  parts,
		digest: digest,
		state:  state,
	}
	if err := p.writeParts(ctx, g); err != nil {
		return nil, err
	}
	return p.accept(ctx, g)
}

// check returns an *InvalidError if the change can not be accepted.
func check(change Change) error {
	problems := checker.Config(change.Config)
	texts := []struct {
		field, text string
		required    bool
	}{
		{
			field:    "change",
			text:     change.ID,
			required: true,
		},
		{
			field:    "author",
			text:     change.Author,
			required: true,
		},
		{
			field: "reason",
			text:  change.Reason,
		},
	}
	for _, t := range texts {
		if t.required && t.text == "" {
			problems = append(problems, checker.Problem{
				Field:  t.field,
				Reason: "is missing",
			})
		}
		if len(t.text) > textLimit {
			problems = append(problems, checker.Problem{
				Field:  t.field,
				Reason: fmt.Sprintf("is longer than %d bytes", textLimit),
			})
		}
		if !utf8.ValidString(t.text) || strings.ContainsFunc(t.text, unicode.IsControl) {
			problems = append(problems, checker.Problem{
				Field:  t.field,
				Reason: "contains a control character or is not UTF-8",
			})
		}
	}
	if len(problems) > 0 {
		return &InvalidError{Problems: problems}
	}
	return nil
}

// previous returns the head of the change if it was accepted before, and an
// error if another change took the place of its base.
func (p *Proposer) previous(ctx context.Context, change Change, state *configreader.State) (*config.Head, error) {
	history, err := p.history(ctx, state.Revision)
	if err != nil {
		return nil, err
	}
	if head := byChange(history, change.ID); head != nil {
		return head, nil
	}
	inForce := state.Accepted.GetHead()
	if change.BaseRevision == nil || *change.BaseRevision == inForce.GetRevision() {
		return nil, nil
	}
	return nil, newLostError(*change.BaseRevision, history, inForce)
}

// history returns the heads that are kept, read no earlier than at a store
// revision.
func (p *Proposer) history(ctx context.Context, atLeast int64) ([]*config.Head, error) {
	heads, revision, err := configreader.ReadHistory(ctx, p.Store)
	if err != nil {
		return nil, err
	}
	if revision < atLeast {
		return nil, eris.Wrapf(storer.ErrUnavailable, "read history: store revision %d is older than %d", revision, atLeast)
	}
	return heads, nil
}

// byChange returns the entry of a change, nil if there is none.
func byChange(history []*config.Head, id string) *config.Head {
	for _, head := range history {
		if head.Change == id {
			return head
		}
	}
	return nil
}

// newLostError names the change that replaced base, or else the one in force.
func newLostError(base uint64, history []*config.Head, inForce *config.Head) *ConflictError {
	lost := &ConflictError{
		BaseRevision: base,
		Winner:       inForce,
	}
	for _, head := range history {
		if head.Revision == base+1 {
			lost.Winner = head
		}
	}
	return lost
}

// writeParts stores the parts that are not stored yet. A part is written
// under its digest, so that to write it again changes nothing.
func (p *Proposer) writeParts(ctx context.Context, g *proposal) error {
	stored := map[string]bool{}
	for _, part := range g.parts {
		if g.state.Parts[part.Digest] || stored[part.Digest] {
			continue
		}
		if err := p.writePart(ctx, part); err != nil {
			return eris.Wrapf(err, "write part %s", part.Field)
		}
		stored[part.Digest] = true
	}
	return nil
}

func (p *Proposer) writePart(ctx context.Context, part configencoder.Part) error {
	key := configreader.PartPrefix + part.Digest
	txn := storer.Txn{
		Conditions: []storer.Condition{{Key: key}},
		Writes: []storer.Write{{
			Key:   key,
			Value: part.Value,
		}},
	}
	var err error
	for range partAttempts {
		if _, err = p.Store.Commit(ctx, txn); err == nil {
			return nil
		}
		if !errors.Is(err, storer.ErrUnknownOutcome) {
			return err
		}
		if !p.sleep(ctx) {
			break
		}
	}
	// No configuration names the part yet, so that the change is not in force.
	return eris.Wrapf(storer.ErrUnavailable, "%v", err)
}

// accept replaces the manifest by compare-and-swap. After an unknown outcome
// it reads back who took the place of the base. Only if the base is still in
// force, the same transaction is sent again: its condition lets at most one
// of the two take effect.
func (p *Proposer) accept(ctx context.Context, g *proposal) (*config.Head, error) {
	txn, err := p.newTxn(g)
	if err != nil {
		return nil, err
	}
	result, err := p.Store.Commit(ctx, txn)
	if err == nil && result.Applied {
		return g.head, nil
	}
	if err != nil && !errors.Is(err, storer.ErrUnknownOutcome) {
		return nil, eris.Wrap(err, "accept change")
	}
	unknown := err != nil
	for {
		head, readErr := p.settle(ctx, g)
		if head != nil || isLost(readErr) {
			return head, readErr
		}
		if readErr == nil {
			// The base is still in force.
			result, err = p.Store.Commit(ctx, txn)
			if err == nil && result.Applied {
				return g.head, nil
			}
		} else {
			err = readErr
		}
		if !p.sleep(ctx) {
			return nil, undecided(g, unknown, err)
		}
	}
}

// undecided is the error for a change that could not be settled in time.
func undecided(g *proposal, unknown bool, cause error) error {
	if !unknown {
		// The compare-and-swap failed; only the winner could not be read.
		return &ConflictError{BaseRevision: g.state.Accepted.GetHead().GetRevision()}
	}
	return &UnknownOutcomeError{
		Change:   g.change.ID,
		Revision: g.head.Revision,
		Cause:    cause,
	}
}

func isLost(err error) bool {
	var lost *ConflictError
	return errors.As(err, &lost)
}

// settle reads back which change took the place of the base. It returns the
// head of g if it was g's, a *LostError if it was another's, and neither if
// the base is still in force.
func (p *Proposer) settle(ctx context.Context, g *proposal) (*config.Head, error) {
	state, err := configreader.ReadState(ctx, p.Store)
	if err != nil {
		return nil, err
	}
	if state.ModRevision <= g.state.ModRevision {
		return nil, nil
	}
	history, err := p.history(ctx, state.Revision)
	if err != nil {
		return nil, err
	}
	if head := byChange(history, g.change.ID); head != nil {
		return head, nil
	}
	return nil, newLostError(g.state.Accepted.GetHead().GetRevision(), history, state.Accepted.GetHead())
}

// sleep waits before the next attempt. It returns false if ctx has ended.
func (p *Proposer) sleep(ctx context.Context) bool {
	select {
	case <-p.Clock.After(retryInterval):
		return ctx.Err() == nil
	case <-ctx.Done():
		return false
	}
}
