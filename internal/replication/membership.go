package replication

// This file holds membership: who counts, the founding roster, and its changes.
//
// The roster names seats, each an address and the identity of a disk. It changes by
// joint agreement: first to a roster in which every decision needs a majority of the
// seats before and one of those after, then to those after. The safety of the other
// keys, which have owners of their own, rests on three things, none of which is time:
//
//   - A member that has taken a roster refuses every owner and candidate that acts
//     under an older one, whether it knows the newer one to be committed or not.
//   - The joint roster ends only after a survey in which a majority of the seats
//     before and of those after, all of which had taken the joint roster, said where
//     their copies stand, and enough of the seats after hold, on disk, at least what
//     any of them held and promised.
//   - A seat belongs to a disk. A member that has lost its disk has another identity
//     and no seat; nothing that its former life said counts for it.
//
// So any two majorities that decide over one key meet, or the later one begins with
// all that the earlier one could have decided.

import (
	"slices"
	"sort"
	"strings"

	"github.com/fxamacker/cbor/v2"
)

// seatState is what a seat's record says of it.
type seatState uint8

const (
	seated  seatState = iota
	joining           // counts in the roster to come
	going             // counts in the roster that was
)

type seatValue struct {
	State seatState `cbor:"1,keyasint,omitempty"`
}

// seats is the roster as it stands: before and after are the same but for a joint one.
type seats struct {
	before, after []string
	joint         bool
}

func seatRecord(id string, gen uint64, s seatState) Record {
	r := Record{Name: id, Gen: gen}
	if s != seated {
		r.Data = marshal(seatValue{s})
	}
	return r
}

func stateOf(r Record) seatState {
	var v seatValue
	if len(r.Data) > 0 && cbor.Unmarshal(r.Data, &v) != nil {
		return seated
	}
	return v.State
}

func (m *Replica) seats() *seats {
	if m.cached != nil {
		return m.cached
	}
	s := &seats{}
	for name, r := range m.keys[RosterKey].Records {
		if r.Dropped {
			continue
		}
		switch stateOf(r) {
		case joining:
			s.after, s.joint = append(s.after, name), true
		case going:
			s.before, s.joint = append(s.before, name), true
		default:
			s.before, s.after = append(s.before, name), append(s.after, name)
		}
	}
	sort.Strings(s.before)
	sort.Strings(s.after)
	m.cached = s
	return s
}

// all lists the seats that count in any way.
func (s *seats) all() []string {
	out := append([]string(nil), s.after...)
	for _, id := range s.before {
		if !slices.Contains(out, id) {
			out = append(out, id)
		}
	}
	sort.Strings(out)
	return out
}

// addressOf is the address of a member.
func addressOf(id string) string {
	if i := strings.IndexByte(id, '/'); i >= 0 {
		return id[:i]
	}
	return id
}

// holder is the identity whose word counts for a seat. A seat that a version without
// identities gave belongs to whoever speaks at its address, until it is renewed.
func (m *Replica) holder(seat string) string {
	if strings.IndexByte(seat, '/') >= 0 {
		return seat
	}
	if seat == m.cfg.Self {
		return m.self
	}
	if id, ok := m.newest[seat]; ok {
		return id
	}
	return seat
}

// olderVersions says that some seat's holder speaks as versions without identities do.
func (m *Replica) olderVersions() bool {
	for _, seat := range m.seats().all() {
		if a := addressOf(seat); m.newest[a] == a {
			return true
		}
	}
	return false
}

// Roster lists the addresses of the members that this one knows of.
func (m *Replica) Roster() []string {
	var out []string
	for _, id := range m.seats().all() {
		if a := addressOf(id); !slices.Contains(out, a) {
			out = append(out, a)
		}
	}
	return out
}

// seatedOthers lists the addresses of the other seats.
func (m *Replica) seatedOthers() []string {
	var out []string
	for _, a := range m.Roster() {
		if a != m.cfg.Self {
			out = append(out, a)
		}
	}
	return out
}

// others lists the addresses to which steps are copied: the other seats and learners.
func (m *Replica) others() []string {
	out := m.seatedOthers()
	for _, id := range m.learning() {
		if a := addressOf(id); !slices.Contains(out, a) {
			out = append(out, a)
		}
	}
	return out
}

// Everyone lists the addresses of the seats and of the learners.
func (m *Replica) Everyone() []string {
	out := append([]string{m.cfg.Self}, m.others()...)
	sort.Strings(out)
	return out
}

// learning lists the learners that have said lately that they want a seat.
func (m *Replica) learning() (out []string) {
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

// need is how many of n seats must hold a change before it is acknowledged: the owner,
// two others, and never less than a majority.
func need(n int) int { return max(majority(n), min(3, n)) }

// enough says whether the seats for which has holds may promise (need a
// majority) or acknowledge.
func enough(roster []string, durable bool, has func(string) bool) bool {
	n := 0
	for _, id := range roster {
		if has(id) {
			n++
		}
	}
	if durable {
		return len(roster) > 0 && n >= need(len(roster))
	}
	return len(roster) > 0 && n >= majority(len(roster))
}

// quorum says whether enough seats, of both rosters while the roster is a joint one,
// are held by identities for which has holds.
func (m *Replica) quorum(durable bool, has func(string) bool) bool {
	s := m.seats()
	holds := func(seat string) bool { return has(m.holder(seat)) }
	return enough(s.after, durable, holds) && (!s.joint || enough(s.before, durable, holds))
}

func (m *Replica) holds(seats []string) bool {
	for _, seat := range seats {
		if m.holder(seat) == m.self {
			return true
		}
	}
	return false
}

// inRoster says that this member's word counts.
func (m *Replica) inRoster() bool {
	s := m.seats()
	return m.holds(s.after) || s.joint && m.holds(s.before)
}

// mayOwn says that this member may own keys: not if its seat goes.
func (m *Replica) mayOwn() bool { return m.holds(m.seats().after) }

// olderRoster says that a peer acts under a roster older than the one taken here.
func (m *Replica) olderRoster(p Position) bool { return p.Less(m.keys[RosterKey].at) }

func (m *Replica) rosterHolding() *Holding {
	k := m.keys[RosterKey]
	return &Holding{At: k.at, Records: k.Pick(allRanges)}
}

// adopt takes in a newer roster that a peer has refused this member for.
func (m *Replica) adopt(h *Holding) {
	k := m.keys[RosterKey]
	if !k.at.Less(h.At) {
		return
	}
	m.release(k, ErrNoQuorum)
	entries := m.replace(k, allRanges, h.Records)
	k.at = h.At
	if k.promised.Less(h.At.Epoch) {
		k.promised = h.At.Epoch
	}
	m.write(append(entries, k.meta()), nil)
	if !m.mayOwn() {
		m.note("this member has no seat any more")
		m.resign()
	}
}

// resign gives up what a member without a seat owns or asks for.
func (m *Replica) resign() {
	for _, name := range m.names {
		switch k := m.keys[name]; k.role {
		case owns:
			m.yield(k)
			m.release(k, ErrNotOwner)
		case asks:
			m.release(k, ErrNotOwner)
		}
	}
}
