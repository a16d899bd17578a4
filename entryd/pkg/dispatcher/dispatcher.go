// Package dispatcher runs non-idempotent requests at most once.
//
// Each send of a request that reaches a daemon is one attempt with its own
// dispatcher id. An attempt takes the request key, hands the request to its
// target once, and records the outcome under the key. Only the dispatcher that
// was granted the key ever hands the request over; no other takes over from it.
//
// "Not run" answered to an attempt with number a states that no attempt with
// number a or lower was run or will be. It is answered only if one of these
// holds; spec/claims.pml checks that they suffice:
//
//   - the key was granted to the attempt and the request was not handed over,
//     or the target refused it before execution. The grant proves that no
//     earlier holder ran the request, and the release closes the key;
//   - the keeper answered VERDICT_CLOSED to the claim or to its release: at one
//     point of the log nobody held the key, and it was closed for number a;
//   - the attempt has number 1 and did not hand the request over.
//
// A caller numbers its sends of a key from 1. Sends without a number have
// number 0: they are all closed by one release.
package dispatcher

import (
	"context"
	"errors"
	"time"

	"plantaincleat/tier/gen/peer"
	"plantaincleat/tier/gen/target"
)

// ErrNotSent reports that a request was never handed to a transport, so that
// its target cannot run it.
var ErrNotSent = errors.New("request was not handed over")

// Claims decides claims, in this daemon or in another.
type Claims interface {
	// Claim returns VERDICT_UNAVAILABLE only if the claim certainly was not and
	// will not be written, and VERDICT_UNKNOWN if it may be.
	Claim(ctx context.Context, c *peer.Claim) *peer.ClaimResult
}

// Mutator hands a request to its one target. Errors that match ErrNotSent state
// that it was not handed over. It must not send a request twice.
type Mutator interface {
	Mutate(ctx context.Context, m *target.Mutation) (*target.Outcome, error)
}

// Kind is how an attempt ended.
type Kind int

const (
	// KindUnknown means that it is not known whether the request was or will be run.
	KindUnknown Kind = iota
	// KindDone means that the request was run, by this or an earlier attempt.
	KindDone
	// KindNotExecuted means that no attempt with this or a lower number was or will be run.
	KindNotExecuted
	// KindMismatch means that the key was used with other content. This attempt was not
	// run and will not be.
	KindMismatch
	// KindExpired means that the key is older than the retention window. This attempt was
	// not run and will not be; of earlier ones nothing is known any more.
	KindExpired
	// KindRefused means that the key is malformed or in the future. This attempt was not
	// run and will not be.
	KindRefused
)

// String returns the kind in the words of logs.
func (k Kind) String() string {
	switch k {
	case KindDone:
		return "done"
	case KindNotExecuted:
		return "not run"
	case KindMismatch:
		return "mismatch"
	case KindExpired:
		return "expired"
	case KindRefused:
		return "refused"
	}
	return "unknown"
}

// Request is one send of a non-idempotent request.
type Request struct {
	// Key is the caller's request key, a UUIDv7.
	Key string
	// Attempt is the caller's number of this send of the key, from 1. Zero
	// means that the caller does not number its sends.
	Attempt uint32
	// Fingerprint identifies the content, the institution included.
	Fingerprint uint64
	// Deadline is when the answer is of no more use.
	Deadline time.Time
	// Mutation is what the target gets. Its key and remaining time are set by
	// the dispatcher.
	Mutation *target.Mutation
}

// Result is the answer to one attempt.
type Result struct {
	Kind Kind
	// Outcome is set for KindDone.
	Outcome *target.Outcome
	// Replayed is true if the outcome was recorded by an earlier attempt.
	Replayed bool
	// RetryAfter is how long to wait before a resend, with the next number.
	RetryAfter time.Duration
	// Reason tells operators why.
	Reason string
}
