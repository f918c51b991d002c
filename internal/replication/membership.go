package replication

// This file holds membership: which members count in a quorum, and why changes of the voter set
// are safe.
//
// A voter is identified by an address and the identity of a disk. The voter set changes by joint
// consensus: first to a joint voter set, in which every decision needs a majority of the old voters
// and one of the new voters, then to the new voters alone. The other partitions have owners of
// their own, which learn of a change at different times. Their safety rests on three rules, none of
// which depends on time:
//
//   - A member that has adopted a voter set rejects every owner and candidate that acts
//     under an older one, whether or not it knows the newer one to be committed.
//   - The joint voter set ends only after a survey in which a majority of the old voters and
//     a majority of the new voters, all of them under the joint voter set, reported the positions
//     of their copies, and enough of the new voters hold durably at least the newest positions
//     and promised epochs reported.
//   - A voter is tied to a disk. A member that has lost its disk has another identity and is
//     no voter; nothing that it sent before counts for it.
//
// Thus any two majorities that decide about the same partition overlap, or the later one starts
// with everything that the earlier one could have decided.

import (
	"slices"
	"sort"
	"strings"

	"github.com/fxamacker/cbor/v2"
)

// voterState is the state of a voter in its record.
type voterState uint8

const (
	voterStable  voterState = iota
	voterJoining            // counts among the new voters only
	voterLeaving            // counts among the old voters only
)

type voterValue struct {
	State voterState `cbor:"1,keyasint,omitempty"`
}

// voterSet is the current voter set. oldVoters and newVoters are the same unless the voter set is
// joint.
type voterSet struct {
	oldVoters, newVoters []string
	joint                bool
}

func voterRecord(id string, gen uint64, s voterState) Record {
	r := Record{Name: id, Gen: gen}
	if s != voterStable {
		r.Data = marshal(voterValue{s})
	}
	return r
}

func voterStateOf(r Record) voterState {
	var v voterValue
	if len(r.Data) > 0 && cbor.Unmarshal(r.Data, &v) != nil {
		return voterStable
	}
	return v.State
}

func (m *Replica) voterSet() *voterSet {
	if m.cachedVoterSet != nil {
		return m.cachedVoterSet
	}
	s := &voterSet{}
	for name, r := range m.partitions[VoterSetPartition].Records {
		if r.Dropped {
			continue
		}
		switch voterStateOf(r) {
		case voterJoining:
			s.newVoters, s.joint = append(s.newVoters, name), true
		case voterLeaving:
			s.oldVoters, s.joint = append(s.oldVoters, name), true
		default:
			s.oldVoters, s.newVoters = append(s.oldVoters, name), append(s.newVoters, name)
		}
	}
	sort.Strings(s.oldVoters)
	sort.Strings(s.newVoters)
	m.cachedVoterSet = s
	return s
}

// all returns the old and new voters, sorted.
func (s *voterSet) all() []string {
	out := append([]string(nil), s.newVoters...)
	for _, id := range s.oldVoters {
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

// voterIdentity returns the identity that counts for an entry of the voter set. An entry without an
// identity was made by a version without identities; it stands for whichever member answers at its
// address until the entry is renewed.
func (m *Replica) voterIdentity(voter string) string {
	if strings.IndexByte(voter, '/') >= 0 {
		return voter
	}
	if voter == m.cfg.Self {
		return m.self
	}
	if id, ok := m.lastIdentity[voter]; ok {
		return id
	}
	return voter
}

// olderVersions reports whether some voter runs a version without identities.
func (m *Replica) olderVersions() bool {
	for _, voter := range m.voterSet().all() {
		if address := addressOf(voter); m.lastIdentity[address] == address {
			return true
		}
	}
	return false
}

// Voters returns the addresses of all voters, old and new.
func (m *Replica) Voters() []string {
	var out []string
	for _, id := range m.voterSet().all() {
		if address := addressOf(id); !slices.Contains(out, address) {
			out = append(out, address)
		}
	}
	return out
}

// otherVoters returns the addresses of the other voters.
func (m *Replica) otherVoters() []string {
	var out []string
	for _, address := range m.Voters() {
		if address != m.cfg.Self {
			out = append(out, address)
		}
	}
	return out
}

// others returns the addresses that changes are replicated to: those of the other voters and of
// the learners.
func (m *Replica) others() []string {
	out := m.otherVoters()
	for _, id := range m.activeLearners() {
		if address := addressOf(id); !slices.Contains(out, address) {
			out = append(out, address)
		}
	}
	return out
}

// Members returns the addresses of this member, the other voters and the learners.
func (m *Replica) Members() []string {
	out := append([]string{m.cfg.Self}, m.others()...)
	sort.Strings(out)
	return out
}

// activeLearners returns the learners that have asked to become voters recently.
func (m *Replica) activeLearners() (out []string) {
	for id, at := range m.learners {
		if m.now-at <= m.cfg.ElectionTimeout+m.cfg.HeartbeatInterval {
			out = append(out, id)
		} else if m.now-at > 20*m.cfg.ElectionTimeout {
			delete(m.learners, id)
		}
	}
	sort.Strings(out)
	return out
}

func majority(n int) int { return n/2 + 1 }

// ackQuorum is how many of n voters must hold a change before it is acknowledged: the owner and
// two others, and never less than a majority.
func ackQuorum(n int) int { return max(majority(n), min(3, n)) }

// hasQuorumOf reports whether the voters for which has is true suffice: for an acknowledgement
// of a change if forAck is set, or else for a vote or confirmation, which need a majority.
func hasQuorumOf(voters []string, forAck bool, has func(string) bool) bool {
	n := 0
	for _, id := range voters {
		if has(id) {
			n++
		}
	}
	if forAck {
		return len(voters) > 0 && n >= ackQuorum(len(voters))
	}
	return len(voters) > 0 && n >= majority(len(voters))
}

// hasQuorum reports whether enough voters are among the members for which has is true, in a joint
// voter set enough of the old and of the new ones.
func (m *Replica) hasQuorum(forAck bool, has func(string) bool) bool {
	s := m.voterSet()
	holds := func(voter string) bool { return has(m.voterIdentity(voter)) }
	return hasQuorumOf(s.newVoters, forAck, holds) && (!s.joint || hasQuorumOf(s.oldVoters, forAck, holds))
}

func (m *Replica) isAnyOf(voters []string) bool {
	for _, voter := range voters {
		if m.voterIdentity(voter) == m.self {
			return true
		}
	}
	return false
}

// isVoter reports whether this member counts in a quorum.
func (m *Replica) isVoter() bool {
	s := m.voterSet()
	return m.isAnyOf(s.newVoters) || s.joint && m.isAnyOf(s.oldVoters)
}

// mayOwn reports whether this member may own partitions. A voter that is being removed may not.
func (m *Replica) mayOwn() bool { return m.isAnyOf(m.voterSet().newVoters) }

// olderVoterSet reports whether p is older than this member's voter set.
func (m *Replica) olderVoterSet(p Position) bool {
	return p.Less(m.partitions[VoterSetPartition].position)
}

func (m *Replica) voterSetCopy() *PartitionCopy {
	part := m.partitions[VoterSetPartition]
	return &PartitionCopy{At: part.position, Records: part.Pick(allRanges)}
}

// adoptVoterSet adopts a newer voter set, sent by a member that rejected a message because this
// member's voter set is outdated.
func (m *Replica) adoptVoterSet(newer *PartitionCopy) {
	part := m.partitions[VoterSetPartition]
	if !part.position.Less(newer.At) {
		return
	}
	m.becomeFollower(part, ErrNoQuorum)
	entries := m.replace(part, allRanges, newer.Records)
	part.position = newer.At
	if part.promised.Less(newer.At.Epoch) {
		part.promised = newer.At.Epoch
	}
	m.write(append(entries, part.meta()), nil)
	if !m.mayOwn() {
		m.note("this member no longer has a seat in the roster")
		m.resign()
	}
}

// resign gives up all partitions and candidacies of a member that may not own partitions.
func (m *Replica) resign() {
	for _, name := range m.names {
		switch part := m.partitions[name]; part.role {
		case roleOwner:
			m.transfer(part)
			m.becomeFollower(part, ErrNotOwner)
		case roleCandidate:
			m.becomeFollower(part, ErrNotOwner)
		}
	}
}
