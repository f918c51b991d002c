package replication

// This file holds changes of the voter set, which the owner of that partition makes. See
// membership.go for why they are safe.

import (
	"slices"
	"sort"
	"time"
)

// requestJoin asks the other members to replicate to this one as a learner and to make it a
// voter.
func (m *Replica) requestJoin() {
	if m.now < m.nextJoinAt || m.leaving {
		return
	}
	m.nextJoinAt = m.now + m.cfg.HeartbeatInterval
	targets := m.otherVoters()
	known := m.cfg.Seeds
	if m.cfg.Peers != nil {
		known = append(append([]string(nil), known...), m.cfg.Peers()...)
	}
	for _, address := range known {
		if address != m.cfg.Self && !slices.Contains(targets, address) {
			targets = append(targets, address)
		}
	}
	for _, a := range targets {
		m.send(a, Message{Body: &Join{}})
	}
}

func (m *Replica) onJoin(from, id string) {
	if slices.Contains(m.voterSet().newVoters, id) {
		// The member doesn't know yet that it is a voter; the next message about the voter set
		// tells it.
		return
	}
	lastRequest, known := m.learners[id]
	m.learners[id] = m.now
	if known && m.now-lastRequest <= m.cfg.ElectionTimeout {
		return
	}
	m.heartbeats.dueTo[from] = true
}

// maxVoters is the maximum number of voters. Further control nodes remain learners in standby, as
// do all members that hold no more than what is replicated to them.
const maxVoters = 9

// minVoters is the number of voters below which silence alone removes none: one more than twice
// the losses to be tolerated, and no fewer than an acknowledgement needs besides the lost ones.
func (m *Replica) minVoters() int { return max(2*m.cfg.Faults+1, m.cfg.Faults+3) }

// mustBeRemovedFirst reports whether, in a voter set of n voters, a member has to be removed from
// it before it leaves. A voter that leaves counts as lost, and more so if several leave at once,
// so the others might no longer tolerate the losses that they have to.
func (m *Replica) mustBeRemovedFirst(n int) bool { return n > m.minVoters() }

// failed reports whether a voter counts as failed, has been replaced at its address or is leaving,
// and whether that is certain enough to remove it without a replacement.
func (m *Replica) failed(voter string) (failed, certain bool) {
	id, address := m.voterIdentity(voter), addressOf(voter)
	if id == m.self {
		return false, false
	}
	silence := m.now - max(m.voterSetAnsweredAt[id], m.partitions[VoterSetPartition].ownerSince)
	current := m.lastIdentity[address]
	at, leaving := m.leavers[id]
	switch {
	case leaving && m.now-at <= m.cfg.HeartbeatInterval && m.mustBeRemovedFirst(len(m.voterSet().newVoters)):
		return true, true
	case current != id && m.voterSetAnsweredAt[current] > m.voterSetAnsweredAt[id]:
		return true, true // another disk is in use at the voter's address
	case m.cfg.Left != nil && m.cfg.Left(address) && silence > m.cfg.HeartbeatInterval:
		return true, true
	}
	// Every voter is sent a heartbeat at each interval, so silence is strong evidence, even if
	// no other member watches that voter. If others don't see it alive either, less silence is
	// enough.
	failed = silence > m.cfg.ElectionTimeout && !m.cfg.Alive(address) || silence > 2*m.cfg.ElectionTimeout
	return failed, failed && silence > 2*m.cfg.ElectionTimeout
}

// suspected reports whether a voter is silent and may soon count as failed.
func (m *Replica) suspected(voter string) bool {
	id := m.voterIdentity(voter)
	failed, _ := m.failed(voter)
	return !failed && id != m.self && !m.cfg.Alive(addressOf(voter)) && m.now-m.voterSetAnsweredAt[id] > m.cfg.HeartbeatInterval*3/2
}

// allVotersAnswering reports whether all voters have answered recently and no change is wanted.
// Until then the owner of the voter set doesn't transfer it back: the next owner would have to wait
// for the replies afresh.
func (m *Replica) allVotersAnswering() bool {
	s := m.voterSet()
	for _, voter := range s.newVoters {
		if id := m.voterIdentity(voter); id != m.self && m.now-m.voterSetAnsweredAt[id] > m.cfg.ElectionTimeout {
			return false
		}
	}
	return !s.joint && !m.changeWanted()
}

// survey collects what the members hold, for a change of the voter set or for a member that
// leaves.
type survey struct {
	voterSet Position // position of the voter set that the survey is for
	// required is, by partition, the newest position and promised epoch reported; nil: not known yet.
	required map[string]PartitionPosition
	replies  map[string]*StateReport
}

// tickVoterSetChange continues a change of the voter set, or begins one that is wanted. It does
// something only at the owner of the voter set.
func (m *Replica) tickVoterSetChange() {
	part := m.partitions[VoterSetPartition]
	if m.leaving {
		return // the survey in progress is that of SafeToLeave
	}
	if part.role != roleOwner || part.commit != part.position || len(part.queue) > 0 || !m.bootstrapped {
		m.survey = nil
		return
	}
	if s := m.voterSet(); !s.joint && !m.changeWanted() {
		m.survey = nil
		return
	}
	if m.survey == nil || m.survey.voterSet != part.position {
		m.survey = &survey{voterSet: part.position, replies: map[string]*StateReport{}}
	}
	m.sendSurvey(m.others())
}

func (m *Replica) sendSurvey(to []string) {
	m.surveyRound++
	for _, address := range to {
		m.send(address, Message{Body: &StateQuery{m.surveyRound, m.leaving, m.partitions[VoterSetPartition].position}})
	}
	m.reportState(func(s *StateReport) { m.onStateReport(m.self, s) })
}

// reportState passes on the positions of this member's copies once these are durable.
func (m *Replica) reportState(then func(*StateReport)) {
	report := &StateReport{Round: m.surveyRound, VoterSet: m.partitions[VoterSetPartition].position}
	for _, name := range m.names {
		if part := m.partitions[name]; part.promised != (Epoch{}) || part.position.Seq > 0 {
			report.Positions = append(report.Positions, PartitionPosition{name, part.promised, part.position})
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
		if part := m.partitions[VoterSetPartition]; query.Leaving && query.VoterSet.Less(part.position) && part.commit == part.position {
			report.Outdated = m.voterSetCopy()
		}
		m.send(from, Message{Body: report})
	})
}

func (m *Replica) onStateReport(id string, report *StateReport) {
	if report.Outdated != nil && m.leaving {
		m.adoptVoterSet(report.Outdated)
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
	m.proposeVoterSetChange()
}

// computeRequired determines what a member must hold to count under the next voter set, once a
// majority (of the old and of the new voters) has reported its state under the present one. It
// reports whether that is known.
func (sv *survey) computeRequired(m *Replica) bool {
	if sv.required != nil {
		return true
	}
	reported := func(id string) bool { return sv.replies[id] != nil && sv.replies[id].VoterSet == sv.voterSet }
	if !m.hasQuorum(false, reported) {
		return false
	}
	sv.required = map[string]PartitionPosition{}
	for _, voter := range m.voterSet().all() {
		if id := m.voterIdentity(voter); reported(id) {
			for _, reported := range sv.replies[id].Positions {
				need := sv.required[reported.Partition]
				if need.At.Less(reported.At) {
					need.At = reported.At
				}
				if need.Promised.Less(reported.Promised) {
					need.Promised = reported.Promised
				}
				sv.required[reported.Partition] = need
			}
		}
	}
	return true
}

// meetsRequired reports whether a member has reported that it holds everything required.
func (sv *survey) meetsRequired(id string) bool {
	report := sv.replies[id]
	if report == nil || report.VoterSet != sv.voterSet {
		return false
	}
	have := map[string]PartitionPosition{}
	for _, s := range report.Positions {
		have[s.Partition] = s
	}
	for partition, need := range sv.required {
		if held := have[partition]; held.At.Less(need.At) || held.Promised.Less(need.Promised) {
			return false
		}
	}
	return true
}

// proposeVoterSetChange proposes the next voter set if the survey allows it.
func (m *Replica) proposeVoterSetChange() {
	part, survey := m.partitions[VoterSetPartition], m.survey
	if part.role != roleOwner || part.commit != part.position || survey.voterSet != part.position || !survey.computeRequired(m) {
		return
	}
	s := m.voterSet()
	meetsRequired := func(voter string) bool { return survey.meetsRequired(m.voterIdentity(voter)) }
	var next map[string]voterState
	if s.joint {
		if !hasQuorumOf(s.newVoters, true, meetsRequired) {
			return
		}
		next = map[string]voterState{}
		for _, id := range s.newVoters {
			next[id] = voterStable
		}
	} else if next = m.planJointVoterSet(meetsRequired); next == nil {
		return
	}
	m.survey = nil
	at := part.position
	m.Propose(m.now, VoterSetPartition, func(have map[string]Record) ([]Record, error) {
		if part.position != at {
			return nil, nil // the voter set has changed in the meantime
		}
		return voterSetRecords(have, next), nil
	}, func(err error) {
		if err == nil {
			m.tickVoterSetChange()
		}
	})
}

// voterSetRecords returns the change that makes the voter set hold exactly the given voters.
// Records of voters that were dropped before are erased.
func voterSetRecords(current map[string]Record, next map[string]voterState) (out []Record) {
	for name, r := range current {
		state, stays := next[name]
		switch {
		case r.Dropped && !stays:
			out = append(out, Record{Name: name, Erased: true})
		case !stays:
			out = append(out, Record{Name: name, Gen: r.Gen + 1, Dropped: true})
		case r.Dropped || voterStateOf(r) != state:
			out = append(out, voterRecord(name, r.Gen+1, state))
		}
	}
	for name, state := range next {
		if _, ok := current[name]; !ok {
			out = append(out, voterRecord(name, 1, state))
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	return out
}

// promotable returns the members that may become voters: first those at the address of an existing
// voter, then those in the zones with the fewest voters.
func (m *Replica) promotable() []string {
	s := m.voterSet()
	votersPerZone := map[string]int{}
	voterAddresses := map[string]bool{}
	for _, voter := range s.newVoters {
		voterAddresses[addressOf(voter)] = true
		if m.cfg.Zone != nil {
			votersPerZone[m.cfg.Zone(addressOf(voter))]++
		}
	}
	var out []string
	for _, id := range m.activeLearners() {
		if !slices.Contains(s.newVoters, id) && m.lastIdentity[addressOf(id)] == id {
			out = append(out, id)
		}
	}
	for _, voter := range s.newVoters {
		// An entry without an identity is renewed with that of the member at its address.
		if id := m.voterIdentity(voter); id != voter && !slices.Contains(out, id) {
			out = append(out, id)
		}
	}
	zoneVoters := func(id string) int {
		if m.cfg.Zone == nil {
			return 0
		}
		return votersPerZone[m.cfg.Zone(addressOf(id))]
	}
	sort.SliceStable(out, func(i, j int) bool {
		if a, b := voterAddresses[addressOf(out[i])], voterAddresses[addressOf(out[j])]; a != b {
			return a
		}
		return zoneVoters(out[i]) < zoneVoters(out[j])
	})
	return out
}

// changeWanted reports whether a change could improve the voter set.
func (m *Replica) changeWanted() bool {
	s := m.voterSet()
	failedVoters := 0
	for _, voter := range s.newVoters {
		switch failed, certain := m.failed(voter); {
		case failed && certain && len(s.newVoters) > m.minVoters():
			return true
		case failed:
			failedVoters++
		}
	}
	for _, id := range m.promotable() {
		if failedVoters > 0 || len(s.newVoters) < maxVoters || !slices.Contains(s.newVoters, id) && slices.Contains(m.Voters(), addressOf(id)) {
			return true
		}
	}
	return false
}

// planJointVoterSet returns the next joint voter set, or nil if there is nothing to do. Learners
// that hold everything required become voters, in place of failed voters if there are any.
func (m *Replica) planJointVoterSet(meetsRequired func(string) bool) map[string]voterState {
	s := m.voterSet()
	next := map[string]voterState{}
	size := len(s.newVoters)
	for _, voter := range s.newVoters {
		next[voter] = voterStable
	}
	var replaceable []string // failed voters, the certain ones first
	var likelyFailed []string
	for _, voter := range s.newVoters {
		switch failed, certainlyFailed := m.failed(voter); {
		case certainlyFailed:
			replaceable = append(replaceable, voter)
		case failed:
			likelyFailed = append(likelyFailed, voter)
		}
	}
	anySuspected := slices.ContainsFunc(s.newVoters, m.suspected)
	certainCount := len(replaceable)
	replaceable = append(replaceable, likelyFailed...)
	drop := func(voter string) {
		next[voter] = voterLeaving
		size--
		for i, id := range replaceable {
			if id == voter {
				replaceable = append(replaceable[:i:i], replaceable[i+1:]...)
				if i < certainCount {
					certainCount--
				}
				break
			}
		}
	}
	changed := false
	for _, id := range m.promotable() {
		if !meetsRequired(id) || next[id] != voterStable || slices.Contains(s.newVoters, id) {
			continue
		}
		replaced := ""
		for _, voter := range s.newVoters {
			if addressOf(voter) == addressOf(id) && next[voter] == voterStable {
				replaced = voter
			}
		}
		if replaced == "" && len(replaceable) > 0 {
			replaced = replaceable[0]
		}
		if replaced == "" && (size >= maxVoters || anySuspected) {
			continue // or it would be added beside a voter that it should replace
		}
		if replaced != "" {
			drop(replaced)
		}
		next[id], changed = voterJoining, true
		size++
	}
	for certainCount > 0 && size > m.minVoters() {
		drop(replaceable[0])
		changed = true
	}
	if !changed {
		return nil
	}
	var newVoters []string
	for id, state := range next {
		if state != voterLeaving {
			newVoters = append(newVoters, id)
		}
	}
	if !hasQuorumOf(newVoters, true, meetsRequired) {
		return nil
	}
	return next
}

// Retire removes a member that has failed for good from the voter set, by its address.
func (m *Replica) Retire(now time.Duration, address string, done func(error)) {
	m.Propose(now, VoterSetPartition, func(have map[string]Record) ([]Record, error) {
		s := m.voterSet()
		next := map[string]voterState{}
		known, isVoter, alive := false, false, false
		for _, voter := range s.newVoters {
			next[voter] = voterStable
			if addressOf(voter) == address {
				next[voter], isVoter = voterLeaving, true
				failed, _ := m.failed(voter)
				alive = !failed
			}
		}
		for name := range have {
			known = known || addressOf(name) == address
		}
		for _, voter := range s.oldVoters {
			known = known || addressOf(voter) == address
		}
		switch {
		case !isVoter && !known:
			return nil, ErrUnknown
		case !isVoter:
			return nil, nil
		case address == m.cfg.Self || alive && m.cfg.Alive(address):
			return nil, ErrAlive
		case len(s.newVoters) <= 3:
			return nil, ErrTooFew
		case s.joint:
			return nil, ErrNoQuorum // another change is in progress
		}
		return voterSetRecords(have, next), nil
	}, done)
}
