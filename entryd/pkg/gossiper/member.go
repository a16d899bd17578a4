package gossiper

import (
	"cmp"
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"plantaincleat/tier/gen/peer"
)

// Member describes one daemon. Values are immutable.
type Member struct {
	id           string
	address      string
	datacentre   string
	adminAddress string
	incarnation  uint64
	state        peer.State
	heartbeat    uint64
	revision     uint64
	reachable    bool
	// capacity is in thousandths of a core, 0 if unknown.
	capacity uint32
}

// Identity is what a daemon publishes about itself.
type Identity struct {
	// ID is unique in the fleet.
	ID string
	// Address is the host and port at which other daemons reach the peer
	// listener.
	Address string
	// DataCentre is the data centre in which the daemon runs.
	DataCentre string
	// AdminAddress is the address of the administration listener.
	AdminAddress string
	// Capacity is the daemon's share of the host's processors in thousandths of
	// a core, 0 if unknown.
	Capacity uint32
}

// ID returns the daemon's unique id.
func (m Member) ID() string { return m.id }

// Address returns the address of the daemon's peer listener.
func (m Member) Address() string { return m.address }

// DataCentre returns the data centre in which the daemon runs.
func (m Member) DataCentre() string { return m.datacentre }

// AdminAddress returns the address of the administration listener.
func (m Member) AdminAddress() string { return m.adminAddress }

// Incarnation returns the start time of the daemon in Unix milliseconds, raised
// by one each time the daemon refutes a suspicion or recovers from a freeze.
func (m Member) Incarnation() uint64 { return m.incarnation }

// State returns the daemon's state as seen by its own data centre.
func (m Member) State() peer.State { return m.state }

// Heartbeat returns the number of rounds that the daemon had run when it last
// sent its record.
func (m Member) Heartbeat() uint64 { return m.heartbeat }

// Revision returns the highest configuration revision that the daemon is known
// to have adopted.
func (m Member) Revision() uint64 { return m.revision }

// Capacity returns the daemon's share of its host's processors in thousandths
// of a core, 0 if unknown.
func (m Member) Capacity() uint32 { return m.capacity }

// Reachable reports whether the member's data centre is reachable from this
// one.
func (m Member) Reachable() bool { return m.reachable }

// Live reports whether the member is reachable and is alive or suspected.
func (m Member) Live() bool { return m.reachable && m.present() }

// present reports whether the member is alive or suspected in the view of its
// own data centre.
func (m Member) present() bool {
	return m.state == peer.State_STATE_ALIVE || m.state == peer.State_STATE_SUSPECT
}

// hash returns a hash of the member's id and incarnation.
func (m Member) hash() uint64 {
	buf := make([]byte, 0, 64)
	buf = append(buf, m.id...)
	buf = append(buf, 0)
	buf = binary.LittleEndian.AppendUint64(buf, m.incarnation)
	return xxhash.Sum64(buf)
}

// mergeMembers returns the least upper bound of two records of a member. It is
// commutative, associative and idempotent. A higher incarnation replaces the
// record of a lower one. Within an incarnation the state moves only forward,
// from alive through suspect and dead to left, and the heartbeat and the
// revision only increase.
func mergeMembers(a, b Member) Member {
	if a.incarnation != b.incarnation {
		if a.incarnation > b.incarnation {
			return a
		}
		return b
	}
	out := a
	if compareAddresses(b, a) > 0 {
		out.address, out.datacentre, out.adminAddress = b.address, b.datacentre, b.adminAddress
	}
	out.state = max(a.state, b.state)
	out.heartbeat = max(a.heartbeat, b.heartbeat)
	out.revision = max(a.revision, b.revision)
	out.capacity = max(a.capacity, b.capacity)
	return out
}

// compareAddresses orders two records of one incarnation by address, data
// centre and administration address, so that mergeMembers stays commutative
// even if a daemon publishes two addresses.
func compareAddresses(a, b Member) int {
	return cmp.Or(
		cmp.Compare(a.address, b.address),
		cmp.Compare(a.datacentre, b.datacentre),
		cmp.Compare(a.adminAddress, b.adminAddress),
	)
}

// supersedes reports whether a adds anything to b. It ignores heartbeats and
// revisions, which are merged separately.
func supersedes(a, b Member) bool {
	c := mergeMembers(a, b)
	return c.incarnation != b.incarnation || c.state != b.state || compareAddresses(c, b) != 0
}

func encodeMember(m Member) *peer.Member {
	return &peer.Member{
		Id:          m.id,
		Address:     m.address,
		Datacentre:  m.datacentre,
		Incarnation: m.incarnation,
		State:       m.state,
		Beat:        m.heartbeat,
		Revision:    m.revision,
		Admin:       m.adminAddress,
		Capacity:    m.capacity,
	}
}

// decodeMember returns the member of a record, and false if the record lacks an
// id, an address, a data centre or a known state.
func decodeMember(p *peer.Member) (Member, bool) {
	m := Member{
		id:           p.GetId(),
		address:      p.GetAddress(),
		datacentre:   p.GetDatacentre(),
		adminAddress: p.GetAdmin(),
		incarnation:  p.GetIncarnation(),
		state:        p.GetState(),
		heartbeat:    p.GetBeat(),
		revision:     p.GetRevision(),
		capacity:     p.GetCapacity(),
		reachable:    true,
	}
	known := m.state >= peer.State_STATE_ALIVE && m.state <= peer.State_STATE_LEFT
	return m, known && m.id != "" && m.address != "" && m.datacentre != ""
}

// encodedSize returns an upper bound of the member's encoded size in bytes.
func (m Member) encodedSize() int {
	const fixedBytes = 42
	return fixedBytes + len(m.id) + len(m.address) + len(m.datacentre) + len(m.adminAddress)
}
