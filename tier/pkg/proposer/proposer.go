// Package proposer writes operators' changes to the stored configuration. It
// validates a change and replaces the configuration in force by
// compare-and-swap. A change is accepted at most once.
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
	// maxTextBytes is the greatest length of a change ID, an author or a reason.
	maxTextBytes = 1024
	// retryInterval is the time between two attempts to repeat a write or to
	// find out its outcome.
	retryInterval = 100 * time.Millisecond
	// maxPartAttempts is the number of times that the write of one part is
	// attempted. Repeating it is safe because the write is idempotent.
	maxPartAttempts = 5
)

// Change is a configuration that an operator proposes, with its metadata.
type Change struct {
	// ID identifies the change. NewID returns a suitable one. The ID must not
	// be reused for other content.
	ID     string
	Author string
	Reason string
	// BaseRevision is the revision that the change replaces. Nil means the
	// revision in force when Propose reads the store.
	BaseRevision *uint64
	// RevisionAbove is a revision that the new one must exceed. It is needed
	// only after the key-value service has lost its content, because revisions
	// must never fall.
	RevisionAbove uint64
	Config        *config.Config
}

// Proposer proposes changes to the configuration in a store. All fields must be
// set. It is safe for concurrent use.
type Proposer struct {
	Store storer.Store
	Clock clockwork.Clock
}

// NewID returns a new change ID, a version 7 UUID.
func NewID() (string, error) {
	id, err := uuid.NewV7()
	if err != nil {
		return "", eris.Wrap(err, "generate change id")
	}
	return id.String(), nil
}

// proposal is a validated change that is being written to the store.
type proposal struct {
	change Change
	parts  []configencoder.Part
	digest []byte
	// base is the stored state that the change replaces.
	base *configreader.State
	// head is the head of the change once accepted. newTxn sets it.
	head *config.Head
}

// Propose validates a change and replaces the configuration in force with it.
// It returns the head under which the change was accepted, also if that
// happened in an earlier call. Errors are *InvalidError, *ConflictError and
// *UnknownOutcomeError, or wrap storer.ErrUnavailable or
// configreader.ErrCorrupt. After any error but *UnknownOutcomeError, this call
// has certainly not put the change in force.
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
	if head, err := p.checkHistory(ctx, change, state); head != nil || err != nil {
		return head, err
	}
	prop := &proposal{
		change: change,
		parts:  parts,
		digest: digest,
		base:   state,
	}
	if err := p.writeParts(ctx, prop); err != nil {
		return nil, err
	}
	return p.accept(ctx, prop)
}

// check validates a change. It returns an *InvalidError with all problems, or
// nil.
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
		if len(t.text) > maxTextBytes {
			problems = append(problems, checker.Problem{
				Field:  t.field,
				Reason: fmt.Sprintf("is longer than %d bytes", maxTextBytes),
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

// checkHistory returns the head of the change if an earlier call had it
// accepted. It returns a *ConflictError if another change has replaced the base
// revision.
func (p *Proposer) checkHistory(ctx context.Context, change Change, state *configreader.State) (*config.Head, error) {
	history, err := p.readHistory(ctx, state.Revision)
	if err != nil {
		return nil, err
	}
	if head := findChange(history, change.ID); head != nil {
		return head, nil
	}
	inForce := state.Accepted.GetHead()
	if change.BaseRevision == nil || *change.BaseRevision == inForce.GetRevision() {
		return nil, nil
	}
	return nil, newConflictError(*change.BaseRevision, history, inForce)
}

// readHistory returns the heads in the history, newest first. A history older
// than the store revision atLeast is refused with storer.ErrUnavailable.
func (p *Proposer) readHistory(ctx context.Context, atLeast int64) ([]*config.Head, error) {
	heads, revision, err := configreader.ReadHistory(ctx, p.Store)
	if err != nil {
		return nil, err
	}
	if revision < atLeast {
		return nil, eris.Wrapf(storer.ErrUnavailable, "read history: store revision %d is older than %d", revision, atLeast)
	}
	return heads, nil
}

// findChange returns the history entry with a change ID, or nil.
func findChange(history []*config.Head, id string) *config.Head {
	for _, head := range history {
		if head.Change == id {
			return head
		}
	}
	return nil
}

// newConflictError returns an error with the change that replaced base. If the
// history no longer holds that change, the error names the one in force.
func newConflictError(base uint64, history []*config.Head, inForce *config.Head) *ConflictError {
	conflict := &ConflictError{
		BaseRevision: base,
		Winner:       inForce,
	}
	for _, head := range history {
		if head.Revision == base+1 {
			conflict.Winner = head
		}
	}
	return conflict
}

// writeParts stores the parts that are not stored yet. The key of a part
// contains its digest, so repeating the write changes nothing.
func (p *Proposer) writeParts(ctx context.Context, prop *proposal) error {
	stored := map[string]bool{}
	for _, part := range prop.parts {
		if prop.base.PartDigests[part.Digest] || stored[part.Digest] {
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
	for range maxPartAttempts {
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
	// No manifest names the part yet, so the change is not in force and the
	// outcome of this write does not matter.
	return eris.Wrapf(storer.ErrUnavailable, "%v", err)
}

// accept replaces the manifest by compare-and-swap. If the outcome is unknown,
// it reads back which change replaced the base. If the base is still in force,
// it sends the same transaction again; the condition on the manifest's revision
// lets at most one of the two take effect.
func (p *Proposer) accept(ctx context.Context, prop *proposal) (*config.Head, error) {
	txn, err := p.newTxn(prop)
	if err != nil {
		return nil, err
	}
	result, err := p.Store.Commit(ctx, txn)
	if err == nil && result.Applied {
		return prop.head, nil
	}
	if err != nil && !errors.Is(err, storer.ErrUnknownOutcome) {
		return nil, eris.Wrap(err, "replace manifest")
	}
	unknown := err != nil
	for {
		head, resolveErr := p.resolveOutcome(ctx, prop)
		if head != nil || isConflict(resolveErr) {
			return head, resolveErr
		}
		if resolveErr == nil {
			// The base is still in force.
			result, err = p.Store.Commit(ctx, txn)
			if err == nil && result.Applied {
				return prop.head, nil
			}
		} else {
			err = resolveErr
		}
		if !p.sleep(ctx) {
			return nil, unresolvedError(prop, unknown, err)
		}
	}
}

// unresolvedError returns the error for a change whose outcome could not be read
// before the context ended. unknown tells whether the first write may have
// taken effect.
func unresolvedError(prop *proposal, unknown bool, cause error) error {
	if !unknown {
		// The compare-and-swap was refused, but the change that was accepted
		// instead could not be read.
		return &ConflictError{BaseRevision: prop.base.Accepted.GetHead().GetRevision()}
	}
	return &UnknownOutcomeError{
		Change:   prop.change.ID,
		Revision: prop.head.Revision,
		Cause:    cause,
	}
}

func isConflict(err error) bool {
	var conflict *ConflictError
	return errors.As(err, &conflict)
}

// resolveOutcome reads back which change replaced the base. It returns the head
// of prop if that was accepted, a *ConflictError if another change was, and nil,
// nil if the base is still in force.
func (p *Proposer) resolveOutcome(ctx context.Context, prop *proposal) (*config.Head, error) {
	state, err := configreader.ReadState(ctx, p.Store)
	if err != nil {
		return nil, err
	}
	if state.ModRevision <= prop.base.ModRevision {
		return nil, nil
	}
	history, err := p.readHistory(ctx, state.Revision)
	if err != nil {
		return nil, err
	}
	if head := findChange(history, prop.change.ID); head != nil {
		return head, nil
	}
	return nil, newConflictError(prop.base.Accepted.GetHead().GetRevision(), history, state.Accepted.GetHead())
}

// sleep waits for retryInterval. It returns false if ctx has ended.
func (p *Proposer) sleep(ctx context.Context) bool {
	select {
	case <-p.Clock.After(retryInterval):
		return ctx.Err() == nil
	case <-ctx.Done():
		return false
	}
}
