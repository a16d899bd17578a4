package admitter

import (
	"fmt"
	"time"
)

// Kind tells why a request was refused.
type Kind int

// Kinds of refusal.
const (
	// KindRate is a refusal by the institution's rate.
	KindRate Kind = iota + 1
	// KindConcurrency is a refusal by the institution's concurrency.
	KindConcurrency
	// KindOverload is a refusal by the daemon's own limit.
	KindOverload
	// KindDeadline is a refusal of what could not finish in time.
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

// Refusal is the error for a request that was not admitted. The request was
// not run.
type Refusal struct {
	kind       Kind
	retryAfter time.Duration
}

// Kind returns the reason.
func (r *Refusal) Kind() Kind {
	return r.kind
}

// RetryAfter returns the time after which the caller may try again.
func (r *Refusal) RetryAfter() time.Duration {
	return r.retryAfter
}

// Error implements error.
func (r *Refusal) Error() string {
	return fmt.Sprintf("admit: refused by %s, retry after %v", r.kind, r.retryAfter)
}
