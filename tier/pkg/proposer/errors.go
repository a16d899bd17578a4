package proposer

import (
	"fmt"
	"strings"
	"time"

	"plantaincleat/tier/gen/config"
	"plantaincleat/tier/pkg/checker"
	"plantaincleat/tier/pkg/storer"
)

// InvalidError reports a change that was refused by the checks. Nothing was
// written.
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

// ConflictError reports that another change was accepted first. The change of
// the caller is certainly not in force and never will be.
type ConflictError struct {
	// BaseRevision is the revision that the change was based on.
	BaseRevision uint64
	// Winner is the change that was accepted in its place. It is nil if the
	// store has no record of it.
	Winner *config.Head
}

// Error names the winner.
func (e *ConflictError) Error() string {
	if e.Winner == nil {
		return fmt.Sprintf("revision %d is not in force", e.BaseRevision)
	}
	return fmt.Sprintf("revision %d was accepted first: change %s by %s at %s: %q",
		e.Winner.Revision, e.Winner.Change, e.Winner.Author,
		time.UnixMilli(e.Winner.Time).UTC().Format(time.RFC3339), e.Winner.Reason)
}

// UnknownOutcomeError reports that the store could not be asked in time whether
// the change was accepted. It may be in force, or may still come into force.
// Proposing the same change again, with the same ID, settles it.
type UnknownOutcomeError struct {
	// Change is the ID of the change.
	Change string
	// Revision is the one that the change has if it was accepted.
	Revision uint64
	// Cause is the last error of the store.
	Cause error
}

// Error names the change.
func (e *UnknownOutcomeError) Error() string {
	return fmt.Sprintf("change %s may have been accepted as revision %d: %v", e.Change, e.Revision, e.Cause)
}

// Unwrap returns storer.ErrUnknown.
func (e *UnknownOutcomeError) Unwrap() error {
	return storer.ErrUnknownOutcome
}
