package adopter

import (
	"time"

	"plantaincleat/tier/gen/config"
)

// Event is an input of a Machine.
type Event interface {
	event()
}

// Tick reports that time has passed.
type Tick struct{}

// MembersChanged reports the live members, which replace the earlier ones.
type MembersChanged struct {
	Live []Member
}

// HeadRead is the answer to CheckHead.
type HeadRead struct {
	// Observation tells the head of the configuration in the store.
	Observation
	// StoreRevision is the store revision at which the head was read.
	StoreRevision int64
}

// CheckFailed reports that CheckHead has failed.
type CheckFailed struct{}

// HeadChanged reports a new head from the watch, or the same one at a later time.
type HeadChanged struct {
	Observation
}

// WatchEnded reports that the watch has ended.
type WatchEnded struct{}

// StoreRead is the answer to ReadStore. Accepted is nil if the store holds no
// configuration.
type StoreRead struct {
	Accepted *config.Accepted
	// At is the time of the Observation with the configuration's head.
	At time.Time
}

// ReadFailed reports that ReadStore has failed.
type ReadFailed struct{}

// PeerAnswered is the answer to Pull.
type PeerAnswered struct {
	Peer     string
	Accepted *config.Accepted
}

// PullFailed reports that Pull has failed.
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

// Action is an output of a Machine, to be carried out by the caller.
type Action interface {
	action()
}

// CheckHead reads the head from the store.
type CheckHead struct {
	// Look is true if the check is out of turn, because nobody has confirmed the
	// configuration.
	Look bool
}

// ReadStore reads the whole configuration from the store.
type ReadStore struct{}

// StartWatch watches the head for changes after a store revision.
type StartWatch struct {
	After int64
}

// StopWatch ends the watch.
type StopWatch struct{}

// Pull asks a peer for its configuration.
type Pull struct {
	Peer Member
	// Have is the revision in force. The peer sends its configuration only if
	// its revision is higher.
	Have uint64
}

// Adopt puts a configuration into force.
type Adopt struct {
	Accepted *config.Accepted
}

func (CheckHead) action()  {}
func (ReadStore) action()  {}
func (StartWatch) action() {}
func (StopWatch) action()  {}
func (Pull) action()       {}
func (Adopt) action()      {}
