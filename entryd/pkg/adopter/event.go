package adopter

import (
	"plantaincleat/tier/gen/config"
)

// Event is what a Machine takes in.
type Event interface {
	event()
}

// Tick lets time pass.
type Tick struct{}

// MembersChanged replaces the live members.
type MembersChanged struct {
	Live []Member
}

// HeadRead answers CheckHead.
type HeadRead struct {
	// Head is that of the configuration in the store, nil for none.
	Head *config.Head
	// StoreRevision is the store revision of the read.
	StoreRevision int64
}

// CheckFailed answers CheckHead.
type CheckFailed struct{}

// HeadChanged is what a watch reports.
type HeadChanged struct {
	Head *config.Head
}

// WatchEnded says that the watch has broken.
type WatchEnded struct{}

// StoreRead answers ReadStore. Accepted is nil if the store holds none.
type StoreRead struct {
	Accepted *config.Accepted
}

// ReadFailed answers ReadStore.
type ReadFailed struct{}

// PeerAnswered answers Pull.
type PeerAnswered struct {
	Peer     string
	Accepted *config.Accepted
}

// PullFailed answers Pull.
type PullFailed struct {
	Peer string
}

func (Tick) event()           {}
func (MembersChanged) event() {}
func (HeadRead) event()       {}
func (CheckFailed) event()    {}
func (HeadChanged) event()    {}
func (WatchEnded) event()     {}
func (StoreRead) event()      {}
func (ReadFailed) event()     {}
func (PeerAnswered) event()   {}
func (PullFailed) event()     {}

// Action is what a Machine wants done.
type Action interface {
	action()
}

// CheckHead reads the head from the store.
type CheckHead struct{}

// ReadStore reads the whole configuration from the store.
type ReadStore struct{}

// StartWatch watches the head from a store revision on.
type StartWatch struct {
	After int64
}

// StopWatch ends the watch.
type StopWatch struct{}

// Pull asks a peer for its configuration.
type Pull struct {
	Peer Member
	// Have is the revision in force. The content is wanted only if the peer
	// has a higher one.
	Have uint64
}

// Adopt brings a configuration into force.
type Adopt struct {
	Accepted *config.Accepted
}

func (CheckHead) action()  {}
func (ReadStore) action()  {}
func (StartWatch) action() {}
func (StopWatch) action()  {}
func (Pull) action()       {}
func (Adopt) action()      {}
