package replication

// This file holds changes of the roster, which the owner of the roster makes. See membership.go
// for why they are safe.

import (
	"slices"
	"sort"
	"time"
)

// requestSeat asks the other members to replicate to this one as a learner and to give it a
// seat.
func (m *Replica) requestSeat() {
	if m.now < m.nextJoinAt || m.leaving {
		return
	}
	m.nextJoinAt = m.now + m.cfg.Beat
	targets := m.seatedOthers()
	known := m.cfg.Seeds
	if m.cfg.Peers != nil {
		known = append(append([]string(nil), known...), m.cfg.Peers()...)
	}
	for _, a := range known {
		if a != m.cfg.Self && !slices.Contains(targets, a) {
			targets = append(targets, a)
		}
	}
	for _, a := range targets {
		m.send(a, Message{Body: &Join{}})
	}
}

func (m *Replica) onJoin(from, id string) {
	if slices.Contains(m.seats().newSeats, id) {
		// The member hasn't learned of its seat yet; the next message about the roster tells
		// it.
		return
	}
	at, known := m.learners[id]
	m.learners[id] = m.now
	if known && m.now-at <= m.cfg.Vacant {
		return
	}
	m.heartbeats.dueTo[from] = true
}

// maxSeats is the maximum number of seats. Further control nodes remain learners in standby, as
// do all members that hold no more than what is replicated to them.
const maxSeats = 9

// minSeats is the number of seats below which silence alone removes none: one more than twice
// the losses to be tolerated, and no fewer than an acknowledgement needs besides the lost ones.
func (m *Replica) minSeats() int { return max(2*m.cfg.Faults+1, m.cfg.Faults+3) }

// mustLoseSeatFirst reports whether, in a roster of n seats, a member has to lose its seat
// before it leaves. A seat left behind counts as lost, and more so if several members leave at
// once, so the others might no longer tolerate the losses that they have to.
func (m *Replica) mustLoseSeatFirst(n int) bool { return n > m.minSeats() }

// gone reports whether the holder of a seat counts as gone, and whether that is certain enough to
// remove the seat without a replacement.
func (m *Replica) gone(seat string) (gone, certain bool) {
	id, address := m.holder(seat), addressOf(seat)
	if id == m.self {
		return false, false
	}
	silence := m.now - max(m.rosterAnsweredAt[id], m.keys[RosterKey].ownerSince)
	current := m.lastIdentity[address]
	at, leaving := m.leavers[id]
	switch {
	case leaving && m.now-at <= m.cfg.Beat && m.mustLoseSeatFirst(len(m.seats().newSeats)):
		return true, true
	case current != id && m.rosterAnsweredAt[current] > m.rosterAnsweredAt[id]:
		return true, true // another disk is in use at the seat's address
	case m.cfg.Left != nil && m.cfg.Left(address) && silence > m.cfg.Beat:
		return true, true
	}
	// Every seat is sent a heartbeat at each interval, so silence is strong evidence, even if
	// no other member watches that seat's holder. If others don't see it alive either, less
	// silence is enough.
	gone = silence > m.cfg.Vacant && !m.cfg.Alive(address) || silence > 2*m.cfg.Vacant
	return gone, gone && silence > 2*m.cfg.Vacant
}

// suspected reports whether the holder of a seat is silent and may soon count as gone.
func (m *Replica) suspected(seat string) bool {
	id := m.holder(seat)
	gone, _ := m.gone(seat)
	return !gone && id != m.self && !m.cfg.Alive(addressOf(seat)) && m.now-m.rosterAnsweredAt[id] > m.cfg.Beat*3/2
}

// allSeatsAnswering reports whether all seats have answered recently and no change is wanted.
// Until then the owner of the roster doesn't hand it back: the next owner would have to wait
// for the answers afresh.
func (m *Replica) allSeatsAnswering() bool {
	s := m.seats()
	for _, seat := range s.newSeats {
		if id := m.holder(seat); id != m.self && m.now-m.rosterAnsweredAt[id] > m.cfg.Vacant {
			return false
		}
	}
	return !s.joint && !m.changeWanted()
}

// survey collects what the members hold, for a change of the roster or for a member that
// leaves.
type survey struct {
	roster   Position         // position of the roster that the survey is for
	required map[string]Stand // by key: the newest position and promised epoch reported; nil: not known yet
	replies  map[string]*StateReport
}

// tickRosterChange continues a change of the roster, or begins one that is wanted. It does
// something only at the owner of the roster.
func (m *Replica) tickRosterChange() {
	k := m.keys[RosterKey]
	if m.leaving {
		return // the survey in progress is that of MayGo
	}
	if k.role != roleOwner || k.commit != k.position || len(k.queue) > 0 || !m.bootstrapped {
		m.survey = nil
		return
	}
	if s := m.seats(); !s.joint && !m.changeWanted() {
		m.survey = nil
		return
	}
	if m.survey == nil || m.survey.roster != k.position {
		m.survey = &survey{roster: k.position, replies: map[string]*StateReport{}}
	}
	m.sendSurvey(m.others())
}

func (m *Replica) sendSurvey(to []string) {
	m.surveyRound++
	for _, a := range to {
		m.send(a, Message{Body: &StateQuery{m.surveyRound, m.leaving, m.keys[RosterKey].position}})
	}
	m.reportState(func(s *StateReport) { m.onStateReport(m.self, s) })
}

// reportState passes on the positions of this member's copies once these are durable.
func (m *Replica) reportState(then func(*StateReport)) {
	report := &StateReport{Round: m.surveyRound, Roster: m.keys[RosterKey].position}
	for _, name := range m.names {
		if k := m.keys[name]; k.promised != (Epoch{}) || k.position.Seq > 0 {
			report.Keys = append(report.Keys, Stand{name, k.promised, k.position})
		}
	}
	m.whenDurable(func() { then(report) })
}

func (m *Replica) onStateQuery(from, id string, query *StateQuery) {
	if query.Leaving {
		m.leavers[id] = m.now
	}
	m.reportState(func(report *StateReport) {
		report.Round = query.Round
		if k := m.keys[RosterKey]; query.Leaving && query.Roster.Less(k.position) && k.commit == k.position {
			report.Outdated = m.rosterCopy()
		}
		m.send(from, Message{Body: report})
	})
}

func (m *Replica) onStateReport(id string, report *StateReport) {
	if report.Outdated != nil && m.leaving {
		m.adoptRoster(report.Outdated)
	}
	if m.survey == nil || report.Round > m.surveyRound {
		return
	}
	if previous := m.survey.replies[id]; previous == nil || previous.Round <= report.Round {
		m.survey.replies[id] = report
	}
	if m.leaving {
		return
	}
	m.proposeRosterChange()
}

// computeRequired determines what a member must hold to count under the next roster, once a
// majority (of the old and of the new seats) has reported its state under the present one. It
// reports whether that is known.
func (sv *survey) computeRequired(m *Replica) bool {
	if sv.required != nil {
		return true
	}
	reported := func(id string) bool { return sv.replies[id] != nil && sv.replies[id].Roster == sv.roster }
	if !m.hasQuorum(false, reported) {
		return false
	}
	sv.required = map[string]Stand{}
	for _, seat := range m.seats().all() {
		if id := m.holder(seat); reported(id) {
			for _, s := range sv.replies[id].Keys {
				need := sv.required[s.Key]
				if need.At.Less(s.At) {
					need.At = s.At
				}
				if need.Promised.Less(s.Promised) {
					need.Promised = s.Promised
				}
				sv.required[s.Key] = need
			}
		}
	}
	return true
}

// meetsRequired reports whether a member has reported that it holds everything required.
func (sv *survey) meetsRequired(id string) bool {
	report := sv.replies[id]
	if report == nil || report.Roster != sv.roster {
		return false
	}
	have := map[string]Stand{}
	for _, s := range report.Keys {
		have[s.Key] = s
	}
	for key, need := range sv.required {
		if held := have[key]; held.At.Less(need.At) || held.Promised.Less(need.Promised) {
			return false
		}
	}
	return true
}

// proposeRosterChange proposes the next roster if the survey allows it.
func (m *Replica) proposeRosterChange() {
	k, survey := m.keys[RosterKey], m.survey
	if k.role != roleOwner || k.commit != k.position || survey.roster != k.position || !survey.computeRequired(m) {
		return
	}
	s := m.seats()
	meetsRequired := func(seat string) bool { return survey.meetsRequired(m.holder(seat)) }
	var next map[string]seatState
	if s.joint {
		if !hasQuorumOf(s.newSeats, true, meetsRequired) {
			return
		}
		next = map[string]seatState{}
		for _, id := range s.newSeats {
			next[id] = seatStable
		}
	} else if next = m.planJointRoster(meetsRequired); next == nil {
		return
	}
	m.survey = nil
	at := k.position
	m.Propose(m.now, RosterKey, func(have map[string]Record) ([]Record, error) {
		if k.position != at {
			return nil, nil // the roster has changed in the meantime
		}
		return rosterRecords(have, next), nil
	}, func(err error) {
		if err == nil {
			m.tickRosterChange()
		}
	})
}

// rosterRecords returns the change that makes the roster hold exactly the given seats. Records
// of seats that were dropped before are erased.
func rosterRecords(current map[string]Record, next map[string]seatState) (out []Record) {
	for name, r := range current {
		state, stays := next[name]
		switch {
		case r.Dropped && !stays:
			out = append(out, Record{Name: name, Erased: true})
		case !stays:
			out = append(out, Record{Name: name, Gen: r.Gen + 1, Dropped: true})
		case r.Dropped || seatStateOf(r) != state:
			out = append(out, seatRecord(name, r.Gen+1, state))
		}
	}
	for name, state := range next {
		if _, ok := current[name]; !ok {
			out = append(out, seatRecord(name, 1, state))
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	return out
}

// promotable returns the members that may get a seat: first those at the address of an existing
// seat, then those in the zones with the fewest seats.
func (m *Replica) promotable() []string {
	s := m.seats()
	seatsPerZone := map[string]int{}
	seatAddresses := map[string]bool{}
	for _, seat := range s.newSeats {
		seatAddresses[addressOf(seat)] = true
		if m.cfg.Zone != nil {
			seatsPerZone[m.cfg.Zone(addressOf(seat))]++
		}
	}
	var out []string
	for _, id := range m.activeLearners() {
		if !slices.Contains(s.newSeats, id) && m.lastIdentity[addressOf(id)] == id {
			out = append(out, id)
		}
	}
	for _, seat := range s.newSeats {
		// A seat without an identity is renewed for the member that holds it.
		if id := m.holder(seat); id != seat && !slices.Contains(out, id) {
			out = append(out, id)
		}
	}
	zoneSeats := func(id string) int {
		if m.cfg.Zone == nil {
			return 0
		}
		return seatsPerZone[m.cfg.Zone(addressOf(id))]
	}
	sort.SliceStable(out, func(i, j int) bool {
		if a, b := seatAddresses[addressOf(out[i])], seatAddresses[addressOf(out[j])]; a != b {
			return a
		}
		return zoneSeats(out[i]) < zoneSeats(out[j])
	})
	return out
}

// changeWanted reports whether a change could improve the roster.
func (m *Replica) changeWanted() bool {
	s := m.seats()
	vacant := 0
	for _, seat := range s.newSeats {
		switch gone, certain := m.gone(seat); {
		case gone && certain && len(s.newSeats) > m.minSeats():
			return true
		case gone:
			vacant++
		}
	}
	for _, id := range m.promotable() {
		if vacant > 0 || len(s.newSeats) < maxSeats || !slices.Contains(s.newSeats, id) && slices.Contains(m.Roster(), addressOf(id)) {
			return true
		}
	}
	return false
}

// planJointRoster returns the next joint roster, or nil if there is nothing to do. Learners
// that hold everything required get seats, in place of seats whose holder is gone if there are
// any.
func (m *Replica) planJointRoster(meetsRequired func(string) bool) map[string]seatState {
	s := m.seats()
	next := map[string]seatState{}
	size := len(s.newSeats)
	for _, seat := range s.newSeats {
		next[seat] = seatStable
	}
	var replaceable []string // seats whose holder is gone, the certain ones first
	var likely []string
	for _, seat := range s.newSeats {
		switch gone, certainlyGone := m.gone(seat); {
		case certainlyGone:
			replaceable = append(replaceable, seat)
		case gone:
			likely = append(likely, seat)
		}
	}
	pending := slices.ContainsFunc(s.newSeats, m.suspected)
	certain := len(replaceable)
	replaceable = append(replaceable, likely...)
	drop := func(seat string) {
		next[seat] = seatLeaving
		size--
		for i, id := range replaceable {
			if id == seat {
				replaceable = append(replaceable[:i:i], replaceable[i+1:]...)
				if i < certain {
					certain--
				}
				break
			}
		}
	}
	changed := false
	for _, id := range m.promotable() {
		if !meetsRequired(id) || next[id] != seatStable || slices.Contains(s.newSeats, id) {
			continue
		}
		replaced := ""
		for _, seat := range s.newSeats {
			if addressOf(seat) == addressOf(id) && next[seat] == seatStable {
				replaced = seat
			}
		}
		if replaced == "" && len(replaceable) > 0 {
			replaced = replaceable[0]
		}
		if replaced == "" && (size >= maxSeats || pending) {
			continue // or it would get an extra seat beside one that it should replace
		}
		if replaced != "" {
			drop(replaced)
		}
		next[id], changed = seatJoining, true
		size++
	}
	for certain > 0 && size > m.minSeats() {
		drop(replaceable[0])
		changed = true
	}
	if !changed {
		return nil
	}
	var newSeats []string
	for id, state := range next {
		if state != seatLeaving {
			newSeats = append(newSeats, id)
		}
	}
	if !hasQuorumOf(newSeats, true, meetsRequired) {
		return nil
	}
	return next
}

// Retire removes a member that is gone for good from the roster, by its address.
func (m *Replica) Retire(now time.Duration, address string, done func(error)) {
	m.Propose(now, RosterKey, func(have map[string]Record) ([]Record, error) {
		s := m.seats()
		next := map[string]seatState{}
		known, seated, alive := false, false, false
		for _, seat := range s.newSeats {
			next[seat] = seatStable
			if addressOf(seat) == address {
				next[seat], seated = seatLeaving, true
				gone, _ := m.gone(seat)
				alive = !gone
			}
		}
		for name := range have {
			known = known || addressOf(name) == address
		}
		for _, seat := range s.oldSeats {
			known = known || addressOf(seat) == address
		}
		switch {
		case !seated && !known:
			return nil, ErrUnknown
		case !seated:
			return nil, nil
		case address == m.cfg.Self || alive && m.cfg.Alive(address):
			return nil, ErrAlive
		case len(s.newSeats) <= 3:
			return nil, ErrTooFew
		case s.joint:
			return nil, ErrNoQuorum // another change is in progress
		}
		return rosterRecords(have, next), nil
	}, done)
}
