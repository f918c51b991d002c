package replication

// This file holds changes of the roster, which its owner makes: see membership.go for
// why they are safe.

import (
	"slices"
	"sort"
	"time"
)

// enrol asks to be copied to, and for a seat.
func (m *Replica) enrol() {
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
		if a != m.cfg.Self && !slices.Contains(to, a) {
			to = append(to, a)
		}
	}
	for _, a := range to {
		m.send(a, Message{Body: &Join{}})
	}
}

func (m *Replica) onJoin(from, id string) {
	if slices.Contains(m.seats().after, id) {
		// It has not heard of its seat yet; the next copy of the roster tells it.
		return
	}
	at, known := m.learners[id]
	m.learners[id] = m.now
	if known && m.now-at <= m.cfg.Vacant {
		return
	}
	m.beats.dueTo[from] = true
}

// seatsMost is how many seats there are at most; further control nodes are learners that
// stand by, and so are all that hold no more than what is copied to them.
const seatsMost = 9

// floor is the number of seats below which silence alone takes none away: twice the
// losses that are to be borne and one, and no fewer than an acknowledgement needs
// beside the lost ones.
func (m *Replica) floor() int { return max(2*m.cfg.Faults+1, m.cfg.Faults+3) }

// needless says that a member which goes has to lose its seat first. With dead seats,
// the more if several members go at once, the others may not bear what they have to.
func (m *Replica) needless(n int) bool { return n > m.floor() }

// gone says how surely the holder of a seat is gone.
func (m *Replica) gone(seat string) (gone, long bool) {
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
func (m *Replica) suspect(seat string) bool {
	id := m.holder(seat)
	gone, _ := m.gone(seat)
	return !gone && id != m.self && !m.cfg.Alive(addressOf(seat)) && m.now-m.proven[id] > m.cfg.Beat*3/2
}

// whole says that all seats have answered of late and that nothing is to be changed. The
// owner of the roster gives it to no other before, who would have to wait anew.
func (m *Replica) whole() bool {
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
	replies map[string]*StateReport
}

// reform goes on with a change of the roster, or begins one that is due. It runs at
// the owner of the roster.
func (m *Replica) reform() {
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
		m.survey = &survey{at: k.at, replies: map[string]*StateReport{}}
	}
	m.sendSurvey(m.others())
}

func (m *Replica) sendSurvey(to []string) {
	m.round++
	for _, a := range to {
		m.send(a, Message{Body: &StateQuery{m.round, m.leaving, m.keys[RosterKey].at}})
	}
	m.stand(func(s *StateReport) { m.onStateReport(m.self, s) })
}

// stand tells where this member's copies stand, once they stand so on disk.
func (m *Replica) stand(then func(*StateReport)) {
	s := &StateReport{Round: m.round, Roster: m.keys[RosterKey].at}
	for _, name := range m.names {
		if k := m.keys[name]; k.promised != (Epoch{}) || k.at.Seq > 0 {
			s.Keys = append(s.Keys, Stand{name, k.promised, k.at})
		}
	}
	m.settled(func() { then(s) })
}

func (m *Replica) onStateQuery(from, id string, q *StateQuery) {
	if q.Leaving {
		m.leavers[id] = m.now
	}
	m.stand(func(s *StateReport) {
		s.Round = q.Round
		if k := m.keys[RosterKey]; q.Leaving && q.Roster.Less(k.at) && k.commit == k.at {
			s.Outdated = m.rosterHolding()
		}
		m.send(from, Message{Body: s})
	})
}

func (m *Replica) onStateReport(id string, s *StateReport) {
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
func (v *survey) raise(m *Replica) bool {
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
func (m *Replica) judge() {
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
func (m *Replica) candidates() []string {
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
		if !slices.Contains(s.after, id) && m.newest[addressOf(id)] == id {
			out = append(out, id)
		}
	}
	for _, seat := range s.after {
		// A seat without an identity is renewed for whoever holds it.
		if id := m.holder(seat); id != seat && !slices.Contains(out, id) {
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
func (m *Replica) wishes() bool {
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
		if vacant > 0 || len(s.after) < seatsMost || !slices.Contains(s.after, id) && slices.Contains(m.Roster(), addressOf(id)) {
			return true
		}
	}
	return false
}

// plan works out the joint roster that is to come: learners that hold all get seats,
// in the place of seats whose holder is gone if there are any. nil: nothing to do.
func (m *Replica) plan(above func(string) bool) map[string]seatState {
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
		if !above(id) || next[id] != seated || slices.Contains(s.after, id) {
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
func (m *Replica) Retire(now time.Duration, address string, done func(error)) {
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
