// Package storer reads and writes the platform's key-value service.
package storer

import (
	"context"
	"errors"
)

// Errors of a Store. Adapters wrap them with the step and the peer.
var (
	// ErrUnavailable reports that the service was not reached or refused the
	// call: a write has certainly not taken effect.
	ErrUnavailable = errors.New("key-value service unavailable")
	// ErrUnknownOutcome reports that the answer to a write was lost: the write may
	// have taken effect, or may still do so.
	ErrUnknownOutcome = errors.New("outcome of the write is unknown")
	// ErrCompacted reports that a watch asked for revisions no longer kept.
	ErrCompacted = errors.New("watch revision was compacted")
)

// Item is one key with its value.
type Item struct {
	// Key is the full key.
	Key string
	// Value has at most 1 MB.
	Value []byte
	// CreateRevision is the store revision at which the key was created.
	CreateRevision int64
	// ModRevision is the store revision of the last write to the key.
	ModRevision int64
}

// Page holds the items of one read, all at one store revision.
type Page struct {
	Items    []Item
	Revision int64
}

// Condition holds if the key was last modified at a store revision. Modified
// zero means that the key does not exist.
type Condition struct {
	Key         string
	ModRevision int64
}

// Write puts a value, or deletes the key if Delete is true. Lease is the id
// of the lease that the key is attached to, or zero.
type Write struct {
	Key     string
	Value   []byte
	Delete  bool
	LeaseID int64
}

// Txn applies all writes in one step if all conditions hold, and none otherwise.
type Txn struct {
	Conditions []Condition
	Writes     []Write
}

// Result tells whether the writes of a Txn were applied.
type Result struct {
	Applied  bool
	Revision int64
}

// Event is a change that a watch reports. A deletion has Deleted true and no
// value. Err ends the watch: ErrCompacted or ErrUnavailable.
type Event struct {
	Item    Item
	Deleted bool
	Err     error
	// ProgressRevision is a store revision up to which the watch has reported all
	// changes, in an event that holds nothing else. Only some adapters tell it.
	ProgressRevision int64
}

// Store is the platform's key-value service. Every method counts as one call
// with the service, a waiting watch as one. Implementations are safe for
// concurrent use.
type Store interface {
	// Read returns the items whose keys start with prefix.
	Read(ctx context.Context, prefix string) (Page, error)
	// Get returns one item. found is false if the key does not exist.
	Get(ctx context.Context, key string) (item Item, found bool, err error)
	// Commit runs one transaction. It returns ErrUnknown unless it is certain
	// whether the writes took effect.
	Commit(ctx context.Context, txn Txn) (Result, error)
	// Watch reports the changes to keys under prefix with a store revision
	// greater than after, in order, until ctx ends.
	Watch(ctx context.Context, prefix string, after int64) <-chan Event
	// GrantLease creates a lease of ttl seconds and returns its id.
	GrantLease(ctx context.Context, ttl int64) (int64, error)
	// RenewLease extends a lease. It returns the seconds left, 0 if it has lapsed.
	RenewLease(ctx context.Context, lease int64) (int64, error)
	// RevokeLease ends a lease and deletes the keys attached to it.
	RevokeLease(ctx context.Context, lease int64) error
}
