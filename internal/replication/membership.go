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
	"fmt"
	"slices"
	"sort"
	"strings"
	"time"

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

func (m *Member) seats() *seats {
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
		if !contains(out, id) {
			out = append(out, id)
		}
	}
	sort.Strings(out)
	return out
}

func contains(list []string, id string) bool {
	for _, x := range list {
		if x == id {
			return true
		}
	}
	return false
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
func (m *Member) holder(seat string) string {
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
func (m *Member) olderVersions() bool {
	for _, seat := range m.seats().all() {
		if a := addressOf(seat); m.newest[a] == a {
			return true
		}
	}
	return false
}

// Roster lists the addresses of the members that this one knows of.
func (m *Member) Roster() []string {
	var out []string
	for _, id := range m.seats().all() {
		if a := addressOf(id); !contains(out, a) {
			out = append(out, a)
		}
	}
	return out
}

// seatedOthers lists the addresses of the other seats.
func (m *Member) seatedOthers() []string {
	var out []string
	for _, a := range m.Roster() {
		if a != m.cfg.Self {
			out = append(out, a)
		}
	}
	return out
}

// others lists the addresses to which steps are copied: the other seats and learners.
func (m *Member) others() []string {
	out := m.seatedOthers()
	for _, id := range m.learning() {
		if a := addressOf(id); !contains(out, a) {
			out = append(out, a)
		}
	}
	return out
}

// Everyone lists the addresses of the seats and of the learners.
func (m *Member) Everyone() []string {
	out := append([]string{m.cfg.Self}, m.others()...)
	sort.Strings(out)
	return out
}

// learning lists the learners that have said lately that they want a seat.
func (m *Member) learning() (out []string) {
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
func (m *Member) quorum(durable bool, has func(string) bool) bool {
	s := m.seats()
	holds := func(seat string) bool { return has(m.holder(seat)) }
	return enough(s.after, durable, holds) && (!s.joint || enough(s.before, durable, holds))
}

func (m *Member) holds(seats []string) bool {
	for _, seat := range seats {
		if m.holder(seat) == m.self {
			return true
		}
	}
	return false
}

// inRoster says that this member's word counts.
func (m *Member) inRoster() bool {
	s := m.seats()
	return m.holds(s.after) || s.joint && m.holds(s.before)
}

// mayOwn says that this member may own keys: not if its seat goes.
func (m *Member) mayOwn() bool { return m.holds(m.seats().after) }

// olderRoster says that a peer acts under a roster older than the one taken here.
func (m *Member) olderRoster(p Position) bool { return p.Less(m.keys[RosterKey].at) }

func (m *Member) rosterHolding() *Holding {
	k := m.keys[RosterKey]
	return &Holding{At: k.at, Records: k.Pick(allRanges)}
}

// adopt takes in a newer roster that a peer has refused this member for.
func (m *Member) adopt(h *Holding) {
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
func (m *Member) resign() {
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

// ---- founding

// founding says that this member may take part in founding a system.
func (m *Member) founding() bool {
	return !m.founded && len(m.cfg.Seeds) > 0 && (m.cfg.Bootstrap && m.cfg.Empty || len(m.keys[RosterKey].Records) > 0)
}

// founders names the seeds that found, this member among them; empty if another one
// proposes, or if it isn't known yet. The lowest seed with a disk proposes. If no seed
// has one, the lowest appoints the first member that asks it.
func (m *Member) founders() (out []string) {
	for _, seed := range m.cfg.Seeds {
		if _, relay := m.relays[seed]; relay {
			continue
		}
		if len(out) == 0 && seed != m.cfg.Self {
			return nil
		}
		out = append(out, seed)
	}
	if len(out) == 0 && m.relays[m.cfg.Seeds[0]] == m.cfg.Self {
		return []string{m.cfg.Self}
	}
	return out
}

func (m *Member) tickFounding() {
	if !m.founding() || m.now < m.foundAt {
		return
	}
	m.foundAt = m.now + m.cfg.Beat/2
	k := m.keys[RosterKey]
	m.foundIDs[m.cfg.Self] = m.self
	for _, seed := range m.cfg.Seeds {
		if _, relay := m.relays[seed]; seed != m.cfg.Self && m.foundIDs[seed] == "" && (!relay || seed == m.cfg.Seeds[0]) {
			m.send(seed, Message{Found: &Found{}})
		}
	}
	m.found(k)
}

// found proposes the founding roster, once all who found are known to be there.
func (m *Member) found(k *key) {
	by := m.founders()
	if len(by) == 0 || len(k.Records) > 0 && (k.at.Epoch.N != 1 || k.at.Seq != 1 || k.at.Epoch.Owner != m.cfg.Self) {
		return
	}
	if len(k.Records) == 0 {
		for _, seed := range by {
			if m.foundIDs[seed] == "" {
				return
			}
		}
		k.promised = Epoch{1, m.cfg.Self, m.cfg.Life}
		var records []Record
		for _, seed := range by {
			records = append(records, seatRecord(m.foundIDs[seed], 1, seated))
		}
		entries := m.replace(k, allRanges, records)
		k.at = Position{k.promised, 1}
		m.write(append(entries, k.meta()), nil)
	}
	m.settled(func() { m.foundAcks[m.cfg.Self] = true; m.foundDone() })
	for _, to := range m.Roster() {
		if to != m.cfg.Self && !m.foundAcks[to] {
			m.send(to, Message{Found: &Found{k.at, k.Pick(allRanges)}})
		}
	}
}

func (m *Member) onFound(from string, f *Found) {
	k := m.keys[RosterKey]
	switch {
	case len(f.Records) == 0:
		if m.founding() && len(k.Records) == 0 {
			m.settled(func() { m.send(from, Message{Founded: &Founded{}}) })
		}
		return
	case len(k.Records) == 0:
		if !m.cfg.Empty || !m.cfg.Bootstrap || !containsRecord(f.Records, m.self) {
			return
		}
		entries := m.replace(k, allRanges, f.Records)
		k.promised, k.at = f.At.Epoch, f.At
		k.heard, k.heardAny = m.now, true
		m.write(append(entries, k.meta()), nil)
	case k.at.Less(f.At):
		return
	}
	m.settled(func() { m.send(from, Message{Founded: &Founded{At: f.At}}) })
}

func containsRecord(records []Record, name string) bool {
	for _, r := range records {
		if r.Name == name {
			return true
		}
	}
	return false
}

func (m *Member) onFounded(from, id string, f *Founded) {
	switch {
	case !m.founding():
	case f.Relay:
		m.relays[from] = f.Appointed
	case f.At.Seq == 0:
		m.foundIDs[from] = id
	case f.At == m.keys[RosterKey].at:
		m.foundAcks[from] = true
		m.foundDone()
		return
	}
	if m.founding() && m.cfg.Bootstrap && m.cfg.Empty && len(m.keys[RosterKey].Records) == 0 {
		m.found(m.keys[RosterKey])
	}
}

func (m *Member) foundDone() {
	if m.founded {
		return
	}
	for _, a := range m.Roster() {
		if !m.foundAcks[a] {
			return
		}
	}
	m.founded = true
	m.write([]ledgerEntry{m.nodeEntry()}, nil)
	m.takeOver(m.keys[RosterKey], true)
}

// ---- learners

// enrol asks to be copied to, and for a seat.
func (m *Member) enrol() {
	if m.now < m.enrolAt || m.leaving {
		return
	}
	m.enrolAt = m.now + m.cfg.Beat
	to := m.seatedOthers()
	more := m.cfg.Seeds
	if m.cfg.Peers != nil {
		more = append(append([]string(nil), more...), m.cfg.Peers()...)
	}
	for _, a := range more {
		if a != m.cfg.Self && !contains(to, a) {
			to = append(to, a)
		}
	}
	for _, a := range to {
		m.send(a, Message{Enroll: &Enroll{}})
	}
}

func (m *Member) onEnroll(from, id string) {
	if contains(m.seats().after, id) {
		// It has not heard of its seat yet; the next copy of the roster tells it.
		return
	}
	at, known := m.learners[id]
	m.learners[id] = m.now
	if known && m.now-at <= m.cfg.Vacant {
		return
	}
	for _, name := range m.names {
		if k := m.keys[name]; k.role == owns {
			m.send(from, Message{Copy: m.copy(k, k.at)})
		}
	}
}

// ---- changes of the roster

// seatsMost is how many seats there are at most; further archives are learners that
// stand by, and so are all that hold no more than what is copied to them.
const seatsMost = 9

// floor is the number of seats below which silence alone takes none away: twice the
// losses that are to be borne and one, and no fewer than an acknowledgement needs
// beside the lost ones.
func (m *Member) floor() int { return max(2*m.cfg.Faults+1, m.cfg.Faults+3) }

// needless says that a member which goes has to lose its seat first. With dead seats,
// the more if several members go at once, the others may not bear what they have to.
func (m *Member) needless(n int) bool { return n > m.floor() }

// gone says how surely the holder of a seat is gone.
func (m *Member) gone(seat string) (gone, long bool) {
	id, address := m.holder(seat), addressOf(seat)
	if id == m.self {
		return false, false
	}
	quiet := m.now - max(m.proven[id], m.keys[RosterKey].took)
	other := m.newest[address]
	at, leaves := m.leavers[id]
	switch {
	case leaves && m.now-at <= m.cfg.Beat && m.needless(len(m.seats().after)):
		return true, true
	case other != id && m.proven[other] > m.proven[id]:
		return true, true // another disk is at work at its address
	case m.cfg.Left != nil && m.cfg.Left(address) && quiet > m.cfg.Beat:
		return true, true
	}
	// This member copies to every seat at each beat, so silence towards it says much,
	// also where nobody else watches that one; the word of others makes it surer.
	gone = quiet > m.cfg.Vacant && !m.cfg.Alive(address) || quiet > 2*m.cfg.Vacant
	return gone, gone && quiet > 2*m.cfg.Vacant
}

// suspect says that the holder of a seat may be found gone soon.
func (m *Member) suspect(seat string) bool {
	id := m.holder(seat)
	gone, _ := m.gone(seat)
	return !gone && id != m.self && !m.cfg.Alive(addressOf(seat)) && m.now-m.proven[id] > m.cfg.Beat*3/2
}

// whole says that all seats have answered of late and that nothing is to be changed. The
// owner of the roster gives it to no other before, who would have to wait anew.
func (m *Member) whole() bool {
	s := m.seats()
	for _, seat := range s.after {
		if id := m.holder(seat); id != m.self && m.now-m.proven[id] > m.cfg.Vacant {
			return false
		}
	}
	return !s.joint && !m.wishes()
}

// survey is what the owner of the roster finds out before it changes it.
type survey struct {
	at      Position         // of the roster
	bar     map[string]Stand // what was held and promised by key; nil: not known yet
	replies map[string]*Surveyed
}

// reform goes on with a change of the roster, or begins one that is due. It runs at
// the owner of the roster.
func (m *Member) reform() {
	k := m.keys[RosterKey]
	if m.leaving {
		return // the survey is that of MayGo
	}
	if k.role != owns || k.commit != k.at || len(k.queue) > 0 || !m.founded {
		m.survey = nil
		return
	}
	if s := m.seats(); !s.joint && !m.wishes() {
		m.survey = nil
		return
	}
	if m.survey == nil || m.survey.at != k.at {
		m.survey = &survey{at: k.at, replies: map[string]*Surveyed{}}
	}
	m.sendSurvey(m.others())
}

func (m *Member) sendSurvey(to []string) {
	m.round++
	for _, a := range to {
		m.send(a, Message{Survey: &Survey{m.round, m.leaving, m.keys[RosterKey].at}})
	}
	m.stand(func(s *Surveyed) { m.onSurveyed(m.self, s) })
}

// stand tells where this member's copies stand, once they stand so on disk.
func (m *Member) stand(then func(*Surveyed)) {
	s := &Surveyed{Round: m.round, Roster: m.keys[RosterKey].at}
	for _, name := range m.names {
		if k := m.keys[name]; k.promised != (Epoch{}) || k.at.Seq > 0 {
			s.Keys = append(s.Keys, Stand{name, k.promised, k.at})
		}
	}
	m.settled(func() { then(s) })
}

func (m *Member) onSurvey(from, id string, q *Survey) {
	if q.Leaving {
		m.leavers[id] = m.now
	}
	m.stand(func(s *Surveyed) {
		s.Round = q.Round
		if k := m.keys[RosterKey]; q.Leaving && q.Roster.Less(k.at) && k.commit == k.at {
			s.Outdated = m.rosterHolding()
		}
		m.send(from, Message{Surveyed: s})
	})
}

func (m *Member) onSurveyed(id string, s *Surveyed) {
	if s.Outdated != nil && m.leaving {
		m.adopt(s.Outdated)
	}
	if m.survey == nil || s.Round > m.round {
		return
	}
	if had := m.survey.replies[id]; had == nil || had.Round <= s.Round {
		m.survey.replies[id] = s
	}
	if m.leaving {
		return
	}
	m.judge()
}

// raise works the bar out, once a majority of all rosters that count has told where
// it stands after having taken the present one.
func (v *survey) raise(m *Member) bool {
	if v.bar != nil {
		return true
	}
	told := func(id string) bool { return v.replies[id] != nil && v.replies[id].Roster == v.at }
	if !m.quorum(false, told) {
		return false
	}
	v.bar = map[string]Stand{}
	for _, seat := range m.seats().all() {
		if id := m.holder(seat); told(id) {
			for _, s := range v.replies[id].Keys {
				b := v.bar[s.Key]
				if b.At.Less(s.At) {
					b.At = s.At
				}
				if b.Promised.Less(s.Promised) {
					b.Promised = s.Promised
				}
				v.bar[s.Key] = b
			}
		}
	}
	return true
}

// above says whether a member has been seen to hold all that the bar asks for.
func (v *survey) above(id string) bool {
	r := v.replies[id]
	if r == nil || r.Roster != v.at {
		return false
	}
	have := map[string]Stand{}
	for _, s := range r.Keys {
		have[s.Key] = s
	}
	for key, b := range v.bar {
		if h := have[key]; h.At.Less(b.At) || h.Promised.Less(b.Promised) {
			return false
		}
	}
	return true
}

// judge changes the roster if the survey allows it.
func (m *Member) judge() {
	k, v := m.keys[RosterKey], m.survey
	if k.role != owns || k.commit != k.at || v.at != k.at || !v.raise(m) {
		return
	}
	s := m.seats()
	above := func(seat string) bool { return v.above(m.holder(seat)) }
	var next map[string]seatState
	if s.joint {
		if !enough(s.after, true, above) {
			return
		}
		next = map[string]seatState{}
		for _, id := range s.after {
			next[id] = seated
		}
	} else if next = m.plan(above); next == nil {
		return
	}
	m.survey = nil
	at := k.at
	m.Propose(m.now, RosterKey, func(have map[string]Record) ([]Record, error) {
		if k.at != at {
			return nil, nil // it has changed meanwhile
		}
		return rosterChange(have, next), nil
	}, func(err error) {
		if err == nil {
			m.reform()
		}
	})
}

// rosterChange is the step that makes the roster hold just the given seats. Seats that
// were dropped before vanish.
func rosterChange(have map[string]Record, next map[string]seatState) (out []Record) {
	for name, r := range have {
		state, stays := next[name]
		switch {
		case r.Dropped && !stays:
			out = append(out, Record{Name: name, Erased: true})
		case !stays:
			out = append(out, Record{Name: name, Gen: r.Gen + 1, Dropped: true})
		case r.Dropped || stateOf(r) != state:
			out = append(out, seatRecord(name, r.Gen+1, state))
		}
	}
	for name, state := range next {
		if _, ok := have[name]; !ok {
			out = append(out, seatRecord(name, 1, state))
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	return out
}

// candidates lists the learners that may get a seat: first those at the address of a
// seat, then those in zones with the fewest seats.
func (m *Member) candidates() []string {
	s := m.seats()
	load := map[string]int{}
	mine := map[string]bool{}
	for _, seat := range s.after {
		mine[addressOf(seat)] = true
		if m.cfg.Zone != nil {
			load[m.cfg.Zone(addressOf(seat))]++
		}
	}
	var out []string
	for _, id := range m.learning() {
		if !contains(s.after, id) && m.newest[addressOf(id)] == id {
			out = append(out, id)
		}
	}
	for _, seat := range s.after {
		// A seat without an identity is renewed for whoever holds it.
		if id := m.holder(seat); id != seat && !contains(out, id) {
			out = append(out, id)
		}
	}
	zone := func(id string) int {
		if m.cfg.Zone == nil {
			return 0
		}
		return load[m.cfg.Zone(addressOf(id))]
	}
	sort.SliceStable(out, func(i, j int) bool {
		if a, b := mine[addressOf(out[i])], mine[addressOf(out[j])]; a != b {
			return a
		}
		return zone(out[i]) < zone(out[j])
	})
	return out
}

// wishes says whether there is anything that a change could mend.
func (m *Member) wishes() bool {
	s := m.seats()
	vacant := 0
	for _, seat := range s.after {
		switch gone, long := m.gone(seat); {
		case gone && long && len(s.after) > m.floor():
			return true
		case gone:
			vacant++
		}
	}
	for _, id := range m.candidates() {
		if vacant > 0 || len(s.after) < seatsMost || !contains(s.after, id) && contains(m.Roster(), addressOf(id)) {
			return true
		}
	}
	return false
}

// plan works out the joint roster that is to come: learners that hold all get seats,
// in the place of seats whose holder is gone if there are any. nil: nothing to do.
func (m *Member) plan(above func(string) bool) map[string]seatState {
	s := m.seats()
	next := map[string]seatState{}
	size := len(s.after)
	for _, seat := range s.after {
		next[seat] = seated
	}
	var leave []string // seats whose holder is gone, the surest first
	var lasting []string
	for _, seat := range s.after {
		switch gone, long := m.gone(seat); {
		case long:
			leave = append(leave, seat)
		case gone:
			lasting = append(lasting, seat)
		}
	}
	pending := slices.ContainsFunc(s.after, m.suspect)
	surely := len(leave)
	leave = append(leave, lasting...)
	drop := func(seat string) {
		next[seat] = going
		size--
		for i, id := range leave {
			if id == seat {
				leave = append(leave[:i:i], leave[i+1:]...)
				if i < surely {
					surely--
				}
				break
			}
		}
	}
	changed := false
	for _, id := range m.candidates() {
		if !above(id) || next[id] != seated || contains(s.after, id) {
			continue
		}
		out := ""
		for _, seat := range s.after {
			if addressOf(seat) == addressOf(id) && next[seat] == seated {
				out = seat
			}
		}
		if out == "" && len(leave) > 0 {
			out = leave[0]
		}
		if out == "" && (size >= seatsMost || pending) {
			continue // or it would sit beside a seat that it is to replace
		}
		if out != "" {
			drop(out)
		}
		next[id], changed = joining, true
		size++
	}
	for surely > 0 && size > m.floor() {
		drop(leave[0])
		changed = true
	}
	if !changed {
		return nil
	}
	var after []string
	for id, state := range next {
		if state != going {
			after = append(after, id)
		}
	}
	if !enough(after, true, above) {
		return nil
	}
	return next
}

// Retire takes a member that is gone for good out of the roster, by its address.
func (m *Member) Retire(now time.Duration, address string, done func(error)) {
	m.Propose(now, RosterKey, func(have map[string]Record) ([]Record, error) {
		s := m.seats()
		next := map[string]seatState{}
		known, leaves, atWork := false, false, false
		for _, seat := range s.after {
			next[seat] = seated
			if addressOf(seat) == address {
				next[seat], leaves = going, true
				gone, _ := m.gone(seat)
				atWork = !gone
			}
		}
		for name := range have {
			known = known || addressOf(name) == address
		}
		for _, seat := range s.before {
			known = known || addressOf(seat) == address
		}
		switch {
		case !leaves && !known:
			return nil, ErrUnknown
		case !leaves:
			return nil, nil
		case address == m.cfg.Self || atWork && m.cfg.Alive(address):
			return nil, ErrAlive
		case len(s.after) <= 3:
			return nil, ErrTooFew
		case s.joint:
			return nil, ErrNoQuorum // another change is under way
		}
		return rosterChange(have, next), nil
	}, done)
}

// ---- leaving

// tickLeaving asks the others where they stand, while this member leaves.
func (m *Member) tickLeaving() {
	if m.survey == nil {
		m.survey = &survey{at: m.keys[RosterKey].at, replies: map[string]*Surveyed{}}
	}
	m.sendSurvey(m.seatedOthers())
}

// MayGo says whether a member that leaves is needed no more: it has no seat, or one
// that may be dead, and each key has another owner, and all that this member holds of
// it is held by a majority without it.
func (m *Member) MayGo(now time.Duration) bool {
	m.now = now
	if !m.leaving || !m.inRoster() {
		return true
	}
	if s := m.seats(); s.joint || m.needless(len(s.after)) {
		return false // its seat is to go first
	}
	for _, name := range m.names {
		k := m.keys[name]
		if k.at.Seq == 0 {
			continue
		}
		if k.role != follows || k.promised.Owner == m.cfg.Self || !k.owned {
			return false
		}
		holds := func(seat string) bool {
			id := m.holder(seat)
			if id == m.self || m.survey == nil || m.survey.replies[id] == nil {
				return false
			}
			for _, s := range m.survey.replies[id].Keys {
				if s.Key == name {
					return !s.At.Less(k.at)
				}
			}
			return false
		}
		if !enough(m.seats().after, false, holds) {
			return false
		}
	}
	return true
}

// ---- what is told of it

// Standing is what a member tells of the roster.
type Standing struct {
	Seats    []string       `json:"seats"` // each an address and the identity of a disk
	Joint    bool           `json:"joint"` // a change is under way
	Learners []LearnerState `json:"learners"`
	Bears    int            `json:"bears"`  // how many further members may be lost now, of those that seem alive
	Wanted   int            `json:"wanted"` // how many are to be borne
}

// LearnerState is a member without a seat. Behind is how many keys it lacks the newest
// copy of, as the keys' owners here know it; -1: not known.
type LearnerState struct {
	ID     string `json:"id"`
	Behind int    `json:"behind"`
}

// Standing describes the roster and what can be borne.
func (m *Member) Standing(now time.Duration) Standing {
	m.now = now
	s := m.seats()
	out := Standing{Seats: s.all(), Joint: s.joint, Learners: []LearnerState{}, Wanted: m.cfg.Faults}
	bears := func(seats []string) int {
		live := 0
		for _, seat := range seats {
			if m.holder(seat) == m.self || m.cfg.Alive(addressOf(seat)) {
				live++
			}
		}
		return live - need(len(seats))
	}
	out.Bears = bears(s.after)
	if s.joint {
		out.Bears = min(out.Bears, bears(s.before))
	}
	for _, id := range m.learning() {
		if contains(s.after, id) {
			continue
		}
		l := LearnerState{ID: id, Behind: -1}
		for _, name := range m.names {
			if k := m.keys[name]; k.role == owns {
				l.Behind = max(l.Behind, 0)
				if k.acks[id] != k.at {
					l.Behind++
				}
			}
		}
		out.Learners = append(out.Learners, l)
	}
	return out
}

// String is the roster in one line.
func (s Standing) String() string {
	var seats []string
	for _, id := range s.Seats {
		seats = append(seats, addressOf(id))
	}
	text := fmt.Sprintf("%d seats: %s", len(seats), strings.Join(seats, " "))
	if s.Joint {
		text += "; a change is under way"
	}
	if n := len(s.Seats); n > 0 && n-need(n) < s.Wanted {
		text += fmt.Sprintf("; too few: %d may be lost, %d are to be borne", n-need(n), s.Wanted)
	}
	return text
}
