package replication

// This file holds membership: which members count in a quorum, and why changes of the roster
// are safe.
//
// The roster consists of seats, each an address and the identity of a disk. It changes by joint
// consensus: first to a joint roster, in which every decision needs a majority of the old seats
// and one of the new seats, then to the new seats alone. The other keys have owners of their
// own, which learn of a change at different times. Their safety rests on three rules, none of
// which depends on time:
//
//   - A member that has taken over a roster rejects every owner and candidate that acts
//     under an older one, whether or not it knows the newer one to be committed.
//   - The joint roster ends only after a survey in which a majority of the old seats and
//     a majority of the new seats, all of them under the joint roster, reported the positions
//     of their copies, and enough of the new seats hold durably at least the newest positions
//     and promised epochs reported.
//   - A seat belongs to a disk. A member that has lost its disk has another identity and no
//     seat; nothing that it sent before counts for it.
//
// Thus any two majorities that decide about the same key overlap, or the later one starts with
// everything that the earlier one could have decided.

import (
	"slices"
	"sort"
	"strings"

	"github.com/fxamacker/cbor/v2"
)

// seatState is the state of a seat in its record.
type seatState uint8

const (
	seatStable  seatState = iota
	seatJoining           // counts among the new seats only
	seatLeaving           // counts among the old seats only
)

type seatValue struct {
	State seatState `cbor:"1,keyasint,omitempty"`
}

// seats is the current roster. oldSeats and newSeats are the same unless the roster is joint.
type seats struct {
	oldSeats, newSeats []string
	joint              bool
}

func seatRecord(id string, gen uint64, s seatState) Record {
	r := Record{Name: id, Gen: gen}
	if s != seatStable {
		r.Data = marshal(seatValue{s})
	}
	return r
}

func seatStateOf(r Record) seatState {
	var v seatValue
	if len(r.Data) > 0 && cbor.Unmarshal(r.Data, &v) != nil {
		return seatStable
	}
	return v.State
}

func (m *Replica) seats() *seats {
	if m.cachedSeats != nil {
		return m.cachedSeats
	}
	s := &seats{}
	for name, r := range m.keys[RosterKey].Records {
		if r.Dropped {
			continue
		}
		switch seatStateOf(r) {
		case seatJoining:
			s.newSeats, s.joint = append(s.newSeats, name), true
		case seatLeaving:
			s.oldSeats, s.joint = append(s.oldSeats, name), true
		default:
			s.oldSeats, s.newSeats = append(s.oldSeats, name), append(s.newSeats, name)
		}
	}
	sort.Strings(s.oldSeats)
	sort.Strings(s.newSeats)
	m.cachedSeats = s
	return s
}

// all returns the old and new seats, sorted.
func (s *seats) all() []string {
	out := append([]string(nil), s.newSeats...)
	for _, id := range s.oldSeats {
		if !slices.Contains(out, id) {
			out = append(out, id)
		}
	}
	sort.Strings(out)
	return out
}

// addressOf returns the address part of a member's identity.
func addressOf(id string) string {
	if i := strings.IndexByte(id, '/'); i >= 0 {
		return id[:i]
	}
	return id
}

// holder returns the identity that counts for a seat. A seat without an identity was given by a
// version without identities; it belongs to whichever member answers at its address until the
// seat is renewed.
func (m *Replica) holder(seat string) string {
	if strings.IndexByte(seat, '/') >= 0 {
		return seat
	}
	if seat == m.cfg.Self {
		return m.self
	}
	if id, ok := m.lastIdentity[seat]; ok {
		return id
	}
	return seat
}

// olderVersions reports whether the holder of some seat runs a version without identities.
func (m *Replica) olderVersions() bool {
	for _, seat := range m.seats().all() {
		if a := addressOf(seat); m.lastIdentity[a] == a {
			return true
		}
	}
	return false
}

// Roster returns the addresses of all seats, old and new.
func (m *Replica) Roster() []string {
	var out []string
	for _, id := range m.seats().all() {
		if a := addressOf(id); !slices.Contains(out, a) {
			out = append(out, a)
		}
	}
	return out
}

// seatedOthers returns the addresses of the other members with a seat.
func (m *Replica) seatedOthers() []string {
	var out []string
	for _, a := range m.Roster() {
		if a != m.cfg.Self {
			out = append(out, a)
		}
	}
	return out
}

// others returns the addresses that changes are replicated to: those of the other seats and of
// the learners.
func (m *Replica) others() []string {
	out := m.seatedOthers()
	for _, id := range m.activeLearners() {
		if a := addressOf(id); !slices.Contains(out, a) {
			out = append(out, a)
		}
	}
	return out
}

// Everyone returns the addresses of this member, the other seats and the learners.
func (m *Replica) Everyone() []string {
	out := append([]string{m.cfg.Self}, m.others()...)
	sort.Strings(out)
	return out
}

// activeLearners returns the learners that have asked for a seat recently.
func (m *Replica) activeLearners() (out []string) {
	for id, at := range m.learners {
		if m.now-at <= m.cfg.Vacant+m.cfg.Beat {
			out = append(out, id)
		} else if m.now-at > 20*m.cfg.Vacant {
			delete(m.learners, id)
		}
	}
	sort.Strings(out)
	return out
}

func majority(n int) int { return n/2 + 1 }

// ackQuorum is how many of n seats must hold a change before it is acknowledged: the owner and
// two others, and never less than a majority.
func ackQuorum(n int) int { return max(majority(n), min(3, n)) }

// hasQuorumOf reports whether the seats for which has is true suffice: for an acknowledgement
// of a change if forAck is set, or else for a vote or confirmation, which need a majority.
func hasQuorumOf(seats []string, forAck bool, has func(string) bool) bool {
	n := 0
	for _, id := range seats {
		if has(id) {
			n++
		}
	}
	if forAck {
		return len(seats) > 0 && n >= ackQuorum(len(seats))
	}
	return len(seats) > 0 && n >= majority(len(seats))
}

// hasQuorum reports whether the members for which has is true hold enough seats, in a joint
// roster enough of the old and of the new ones.
func (m *Replica) hasQuorum(forAck bool, has func(string) bool) bool {
	s := m.seats()
	holds := func(seat string) bool { return has(m.holder(seat)) }
	return hasQuorumOf(s.newSeats, forAck, holds) && (!s.joint || hasQuorumOf(s.oldSeats, forAck, holds))
}

func (m *Replica) holdsAny(seats []string) bool {
	for _, seat := range seats {
		if m.holder(seat) == m.self {
			return true
		}
	}
	return false
}

// hasSeat reports whether this member counts in a quorum.
func (m *Replica) hasSeat() bool {
	s := m.seats()
	return m.holdsAny(s.newSeats) || s.joint && m.holdsAny(s.oldSeats)
}

// mayOwn reports whether this member may own keys. A member whose seat is being taken away may
// not.
func (m *Replica) mayOwn() bool { return m.holdsAny(m.seats().newSeats) }

// olderRoster reports whether p is older than this member's roster.
func (m *Replica) olderRoster(p Position) bool { return p.Less(m.keys[RosterKey].position) }

func (m *Replica) rosterCopy() *Holding {
	k := m.keys[RosterKey]
	return &Holding{At: k.position, Records: k.Pick(allRanges)}
}

// adoptRoster takes over a newer roster, sent by a member that rejected a message because this
// member's roster is outdated.
func (m *Replica) adoptRoster(h *Holding) {
	k := m.keys[RosterKey]
	if !k.position.Less(h.At) {
		return
	}
	m.becomeFollower(k, ErrNoQuorum)
	entries := m.replace(k, allRanges, h.Records)
	k.position = h.At
	if k.promised.Less(h.At.Epoch) {
		k.promised = h.At.Epoch
	}
	m.write(append(entries, k.meta()), nil)
	if !m.mayOwn() {
		m.note("this member no longer has a seat in the roster")
		m.resign()
	}
}

// resign gives up all keys and candidacies of a member that may not own keys.
func (m *Replica) resign() {
	for _, name := range m.names {
		switch k := m.keys[name]; k.role {
		case roleOwner:
			m.transfer(k)
			m.becomeFollower(k, ErrNotOwner)
		case roleCandidate:
			m.becomeFollower(k, ErrNotOwner)
		}
	}
}
