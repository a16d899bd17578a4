// Package storer reads and writes the platform's key-value service.
package storer

import (
	"context"
	"errors"
	"time"
)

// Errors of a Store. Implementations wrap them with the step and the peer.
var (
	// ErrUnavailable reports that the service could not be reached or refused
	// the call. A write has certainly not taken effect.
	ErrUnavailable = errors.New("key-value service unavailable")
	// ErrUnknownOutcome reports that a write was sent but not answered. It may
	// have taken effect, or may still do so.
	ErrUnknownOutcome = errors.New("outcome of the write is unknown")
	// ErrCompacted reports that a watch asked for revisions that the service no
	// longer keeps.
	ErrCompacted = errors.New("watch revision was compacted")
)

// Item is one key with its value and its revisions.
type Item struct {
	// Key is the full key, including any prefix.
	Key string
	// Value has at most 1 MiB.
	Value []byte
	// CreateRevision is the store revision at which the key was created.
	CreateRevision int64
	// ModRevision is the store revision of the last write to the key.
	ModRevision int64
}

// Page contains the items of one read, and the store revision of the read. All items
// are at least as new as the revision. An implementation that makes several calls for
// one read may return items that are newer.
type Page struct {
	Items    []Item
	Revision int64
}

// Condition is true if the key was last written at the store revision
// ModRevision, or does not exist if ModRevision is zero.
type Condition struct {
	Key         string
	ModRevision int64
}

// Write sets the value of a key, or deletes the key if Delete is true. LeaseID is
// the id of the lease to attach the key to, zero for none.
type Write struct {
	Key     string
	Value   []byte
	Delete  bool
	LeaseID int64
}

// Txn is a transaction. It applies all writes atomically if all conditions are
// true, and none otherwise.
type Txn struct {
	Conditions []Condition
	Writes     []Write
}

// Result tells whether the writes of a Txn were applied, and the store revision
// after it.
type Result struct {
	Applied  bool
	Revision int64
}

// Event is a change that a watch reports. Deleted is true for the deletion of a
// key, which has no value. An event with Err is the last of its watch; Err wraps
// ErrCompacted or ErrUnavailable.
type Event struct {
	Item    Item
	Deleted bool
	Err     error
	// ProgressRevision is a store revision up to which the watch has reported
	// all changes. An event that has it has nothing else but AsOf. Not all
	// implementations send such events.
	ProgressRevision int64
	// AsOf is a time, by the clock of the daemon, at which the store had no change
	// beyond ProgressRevision. It is zero if none is known.
	AsOf time.Time
}

// Store is the platform's key-value service. In Etcd, each method makes one call to
// the service, and an open watch counts as one. Implementations are safe for
// concurrent use.
type Store interface {
	// Read returns the items whose keys start with prefix.
	Read(ctx context.Context, prefix string) (Page, error)
	// Get returns one item. found is false if the key does not exist.
	Get(ctx context.Context, key string) (item Item, found bool, err error)
	// Commit executes one transaction. The error wraps ErrUnknownOutcome unless
	// it is certain that the writes did not take effect.
	Commit(ctx context.Context, txn Txn) (Result, error)
	// Watch reports the changes to keys that start with prefix whose store
	// revision is greater than after, in order. It closes the channel when ctx
	// ends or after an event with Err.
	Watch(ctx context.Context, prefix string, after int64) <-chan Event
	// GrantLease creates a lease of ttl seconds and returns its id.
	GrantLease(ctx context.Context, ttl int64) (int64, error)
	// RenewLease extends a lease. It returns the seconds left, 0 if the lease
	// has expired.
	RenewLease(ctx context.Context, lease int64) (int64, error)
	// RevokeLease ends a lease and deletes the keys attached to it.
	RevokeLease(ctx context.Context, lease int64) error
}
