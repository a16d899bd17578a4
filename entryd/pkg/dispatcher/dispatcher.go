// Package dispatcher executes non-idempotent requests at most once.
//
// Each time a caller sends a request to a daemon, the daemon starts one attempt
// with its own dispatcher ID. An attempt claims the request key, sends the
// request to its target once, and records the outcome under the key. Only the
// dispatcher that was granted the key sends the request; no other dispatcher
// takes over from it.
//
// The answer "not executed" to an attempt with number a means that no attempt
// with number a or lower was or will be executed. It is given only if one of the
// following conditions holds. The model spec/claims.pml checks that they suffice:
//
//   - The key was granted to the attempt, and the request was not sent or the
//     target refused it before execution. The grant proves that no earlier
//     holder executed the request, and the release closes the key.
//   - The bucket writer answered VERDICT_CLOSED to the claim or to its release:
//     at one point of the log nobody held the key, and it was closed for a.
//   - The attempt has number 1 and did not send the request.
//
// A caller numbers its sends of a key from 1. Sends without a number have
// number 0; one release closes the key for all of them.
package dispatcher

import (
	"context"
	"errors"
	"time"

	"plantaincleat/tier/gen/peer"
	"plantaincleat/tier/gen/target"
)

// ErrNotSent reports that a request was never passed to a transport, so that its
// target cannot execute it.
var ErrNotSent = errors.New("request was not sent to the target")

// Claimer decides claims, in this daemon or in a peer.
type Claimer interface {
	// Claim returns VERDICT_UNAVAILABLE only if the claim certainly was not and
	// will not be written, and VERDICT_UNKNOWN if it was or may be written.
	Claim(ctx context.Context, c *peer.Claim) *peer.ClaimResult
}

// Mutator sends a request to its target. It must not send a request twice. An
// error that matches ErrNotSent means that the request was not sent.
type Mutator interface {
	Mutate(ctx context.Context, m *target.Mutation) (*target.Outcome, error)
}

// Kind is the result of an attempt as answered to the caller.
type Kind int

const (
	// KindUnknown means that the request may have been or may still be executed.
	KindUnknown Kind = iota
	// KindDone means that the request was executed, by this or an earlier attempt.
	KindDone
	// KindNotExecuted means that no attempt with this or a lower number was or
	// will be executed.
	KindNotExecuted
	// KindMismatch means that the key was used with other content. This attempt was
	// not and will not be executed.
	KindMismatch
	// KindExpired means that the key is older than the retention window. This
	// attempt was not and will not be executed. The state of earlier attempts has
	// been deleted.
	KindExpired
	// KindRefused means that the key is malformed or in the future. This attempt was
	// not and will not be executed.
	KindRefused
)

// String returns the kind for logs and test messages.
func (k Kind) String() string {
	switch k {
	case KindDone:
		return "done"
	case KindNotExecuted:
		return "not executed"
	case KindMismatch:
		return "mismatch"
	case KindExpired:
		return "expired"
	case KindRefused:
		return "refused"
	}
	return "unknown"
}

// Request is a non-idempotent request as sent once by a caller.
type Request struct {
	// Key is the caller's request key, a UUIDv7.
	Key string
	// Attempt is the caller's number of this send of the key, from 1. Zero
	// means that the caller does not number its sends.
	Attempt uint32
	// Fingerprint is a hash of the content and the institution.
	Fingerprint uint64
	// Deadline is when the caller stops waiting for the answer.
	Deadline time.Time
	// Mutation is the message for the target. The dispatcher sets its key and
	// remaining time in a copy.
	Mutation *target.Mutation
}

// Result is the answer to one attempt.
type Result struct {
	Kind Kind
	// Outcome is set for KindDone.
	Outcome *target.Outcome
	// Replayed is true if the outcome was recorded by an earlier attempt.
	Replayed bool
	// RetryAfter is how long the caller should wait before it sends the request
	// again, with the next number. Zero means that no retry is suggested.
	RetryAfter time.Duration
	// Reason explains the result in words for operators.
	Reason string
}
