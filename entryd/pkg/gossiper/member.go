package gossiper

import (
	"cmp"
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"plantaincleat/tier/gen/peer"
)

// Member is what is known of one daemon. Values are immutable.
type Member struct {
	id          string
	address     string
	datacentre  string
	admin       string
	incarnation uint64
	state       peer.State
	beat        uint64
	revision    uint64
	reachable   bool
	// capacity is in thousandths of a core, 0 if unknown.
	capacity uint32
}

// Identity is what a daemon states about itself.
type Identity struct {
	// ID is unique in the fleet.
	ID string
	// Address is the peer listener as others dial it.
	Address string
	// DataCentre is where the daemon runs.
	DataCentre string
	// AdminAddress is the address of the operators' listener.
	AdminAddress string
	// Capacity is the processor share of the host in thousandths of a core, 0 if
	// unknown.
	Capacity uint32
}

// ID is the daemon's unique name.
func (m Member) ID() string { return m.id }

// Address is the daemon's peer listener.
func (m Member) Address() string { return m.address }

// DataCentre is the data centre in which the daemon runs.
func (m Member) DataCentre() string { return m.datacentre }

// AdminAddress is the address of the operators' listener.
func (m Member) AdminAddress() string { return m.admin }

// Incarnation is the start time of the daemon in Unix milliseconds, raised by
// one each time the daemon refutes a suspicion or wakes after a freeze.
func (m Member) Incarnation() uint64 { return m.incarnation }

// State is the daemon's state as its own data centre sees it.
func (m Member) State() peer.State { return m.state }

// Beat counts the rounds of the daemon when its record was last sent.
func (m Member) Beat() uint64 { return m.beat }

// Revision is the highest configuration revision that the daemon is known to
// have adopted.
func (m Member) Revision() uint64 { return m.revision }

// Capacity is the processor share of the daemon's host in thousandths of a core,
// 0 if unknown.
func (m Member) Capacity() uint32 { return m.capacity }

// Reachable tells whether the member's data centre answers this one.
func (m Member) Reachable() bool { return m.reachable }

// Live reports whether the member is alive or suspected, and reachable.
func (m Member) Live() bool { return m.reachable && m.present() }

// present reports whether the member's own data centre takes it to be running.
func (m Member) present() bool {
	return m.state == peer.State_STATE_ALIVE || m.state == peer.State_STATE_SUSPECT
}

// hash identifies the member and its incarnation.
func (m Member) hash() uint64 {
	buf := make([]byte, 0, 64)
	buf = append(buf, m.id...)
	buf = append(buf, 0)
	buf = binary.LittleEndian.AppendUint64(buf, m.incarnation)
	return xxhash.Sum64(buf)
}

// join returns the least record that is at or above both in the order of
// records. It is commutative, associative and idempotent. A higher incarnation
// replaces a lower one whole. Within an incarnation the state only moves from
// alive over suspect and dead to left, and beat and revision only rise.
func join(a, b Member) Member {
	if a.incarnation != b.incarnation {
		if a.incarnation > b.incarnation {
			return a
		}
		return b
	}
	out := a
	if place(b, a) > 0 {
		out.address, out.datacentre, out.admin = b.address, b.datacentre, b.admin
	}
	out.state = max(a.state, b.state)
	out.beat = max(a.beat, b.beat)
	out.revision = max(a.revision, b.revision)
	out.capacity = max(a.capacity, b.capacity)
	return out
}

// place orders the addresses of two records of one incarnation, so that join
// is commutative even if a daemon should state two addresses.
func place(a, b Member) int {
	return cmp.Or(
		cmp.Compare(a.address, b.address),
		cmp.Compare(a.datacentre, b.datacentre),
		cmp.Compare(a.admin, b.admin),
	)
}

// supersedes reports whether a tells something that is not in b, beat and
// revision aside, which travel on their own.
func supersedes(a, b Member) bool {
	c := join(a, b)
	return c.incarnation != b.incarnation || c.state != b.state || place(c, b) != 0
}

func encodeMember(m Member) *peer.Member {
	return &peer.Member{
		Id:          m.id,
		Address:     m.address,
		Datacentre:  m.datacentre,
		Incarnation: m.incarnation,
		State:       m.state,
		Beat:        m.beat,
		Revision:    m.revision,
		Admin:       m.admin,
		Capacity:    m.capacity,
	}
}

// decodeMember returns false if the record names no daemon or no state.
func decodeMember(p *peer.Member) (Member, bool) {
	m := Member{
		id:          p.GetId(),
		address:     p.GetAddress(),
		datacentre:  p.GetDatacentre(),
		admin:       p.GetAdmin(),
		incarnation: p.GetIncarnation(),
		state:       p.GetState(),
		beat:        p.GetBeat(),
		revision:    p.GetRevision(),
		capacity:    p.GetCapacity(),
		reachable:   true,
	}
	known := m.state >= peer.State_STATE_ALIVE && m.state <= peer.State_STATE_LEFT
	return m, known && m.id != "" && m.address != "" && m.datacentre != ""
}

// encodedSize bounds the bytes of a member on the wire.
func (m Member) encodedSize() int {
	const numbers = 42
	return numbers + len(m.id) + len(m.address) + len(m.datacentre) + len(m.admin)
}
