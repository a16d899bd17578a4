package proposer

import (
	"fmt"
	"strings"
	"time"

	"plantaincleat/tier/gen/config"
	"plantaincleat/tier/pkg/checker"
	"plantaincleat/tier/pkg/storer"
)

// InvalidError reports a change that failed validation. Nothing was written to
// the store.
type InvalidError struct {
	Problems []checker.Problem
}

// Error returns one line for each problem.
func (e *InvalidError) Error() string {
	lines := make([]string, 0, len(e.Problems))
	for _, p := range e.Problems {
		lines = append(lines, p.String())
	}
	return strings.Join(lines, "\n")
}

// ConflictError reports that another change replaced the base revision first.
// The proposed change is not in force and can no longer come into force.
type ConflictError struct {
	// BaseRevision is the revision that the proposed change was to replace.
	BaseRevision uint64
	// Winner is the head of the change that was accepted instead. It is nil if
	// that change could not be read from the store.
	Winner *config.Head
}

// Error describes the change that was accepted instead.
func (e *ConflictError) Error() string {
	if e.Winner == nil {
		return fmt.Sprintf("base revision %d is no longer in force", e.BaseRevision)
	}
	return fmt.Sprintf("revision %d was accepted first: change %s by %s at %s: %q",
		e.Winner.Revision, e.Winner.Change, e.Winner.Author,
		time.UnixMilli(e.Winner.Time).UTC().Format(time.RFC3339), e.Winner.Reason)
}

// UnknownOutcomeError reports that the context ended before the store told
// whether the change was accepted. The change may be in force, or may still
// come into force. Proposing the same change again, with the same ID, returns
// its outcome.
type UnknownOutcomeError struct {
	// Change is the ID of the change.
	Change string
	// Revision is the revision that the change has if it was accepted.
	Revision uint64
	// Cause is the last error that the store returned.
	Cause error
}

// Error names the change and the last error of the store.
func (e *UnknownOutcomeError) Error() string {
	return fmt.Sprintf("change %s may have been accepted as revision %d: %v", e.Change, e.Revision, e.Cause)
}

// Unwrap returns storer.ErrUnknownOutcome.
func (e *UnknownOutcomeError) Unwrap() error {
	return storer.ErrUnknownOutcome
}
