package admitter

import (
	"fmt"
	"time"
)

// Kind is the reason for a refusal.
type Kind int

// Kinds of refusal.
const (
	// KindRate means that the institution's rate limit was reached.
	KindRate Kind = iota + 1
	// KindConcurrency means that the institution's concurrency limit was
	// reached.
	KindConcurrency
	// KindOverload means that the daemon's own concurrency limit was reached.
	KindOverload
	// KindDeadline means that the request was not expected to finish before its
	// deadline.
	KindDeadline
)

// String returns the kind's name in lower case.
func (k Kind) String() string {
	switch k {
	case KindRate:
		return "rate"
	case KindConcurrency:
		return "concurrency"
	case KindOverload:
		return "overload"
	case KindDeadline:
		return "deadline"
	}
	return "unspecified"
}

// Refusal is the error for a request that was not admitted and so was not
// executed.
type Refusal struct {
	kind       Kind
	retryAfter time.Duration
}

// Kind returns the reason for the refusal.
func (r *Refusal) Kind() Kind {
	return r.kind
}

// RetryAfter returns the time after which the caller may try again.
func (r *Refusal) RetryAfter() time.Duration {
	return r.retryAfter
}

// Error implements error.
func (r *Refusal) Error() string {
	return fmt.Sprintf("request not admitted: reason %s, retry after %v", r.kind, r.retryAfter)
}
