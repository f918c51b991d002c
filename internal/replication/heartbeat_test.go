package replication

import (
	"fmt"
	"reflect"
	"slices"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// traffic counts the messages that members send.
type traffic struct {
	messages, bytes                 int
	full, partial, notices, acks    int
	appends, appendAcks, noticeAcks int
}

func (c *traffic) count(t *testing.T, msg Message) {
	b, err := cbor.Marshal(msg)
	if err != nil {
		t.Fatal(err)
	}
	c.messages++
	c.bytes += len(b)
	switch {
	case bodyAs[*Append](msg) != nil:
		c.appends++
	case bodyAs[*AppendAck](msg) != nil:
		c.appendAcks++
	case bodyAs[*Heartbeat](msg) != nil && !bodyAs[*Heartbeat](msg).Partial:
		c.full++
	case bodyAs[*Heartbeat](msg) != nil && bodyAs[*Heartbeat](msg).Round == 0:
		c.notices++
	case bodyAs[*Heartbeat](msg) != nil:
		c.partial++
	case bodyAs[*HeartbeatAck](msg) != nil:
		c.acks++
		if bodyAs[*HeartbeatAck](msg).Round == 0 {
			c.noticeAcks++
		}
	}
	if bodyAs[*Heartbeat](msg) != nil || bodyAs[*HeartbeatAck](msg) != nil {
		var read Message
		if err := cbor.Unmarshal(b, &read); err != nil || !reflect.DeepEqual(read, msg) {
			t.Fatalf("%+v is read as %+v: %v", msg, read, err)
		}
	}
}

// newClusterWithPartitions returns a cluster with a lossless network in which many partitions are
// owned by their first successors.
func newClusterWithPartitions(t *testing.T, members, partitions int) *cluster {
	t.Helper()
	sim := newEmptyCluster(1, 1)
	sim.fatal, sim.lossless, sim.noDelays, sim.skipContents = t.Fatalf, true, true, true
	for i := range partitions - 1 {
		sim.partitions = append(sim.partitions, fmt.Sprintf("rollout/%04d", i))
	}
	sim.bootstrap(members, 0)
	for sim.notAtFirstSuccessor() > 0 {
		if sim.now > time.Minute {
			t.Fatalf("%d partitions are not owned by their first successors", sim.notAtFirstSuccessor())
		}
		sim.runUntil(sim.now + testHeartbeat)
	}
	sim.runUntil(sim.now + 2*testHeartbeat)
	return sim
}

// notAtFirstSuccessor counts the partitions that their first successors don't own.
func (sim *cluster) notAtFirstSuccessor() (n int) {
	for _, partition := range append([]string{VoterSetPartition}, sim.partitions...) {
		if owner := sim.ownerOf(partition); owner == nil || owner.replica.Successors(partition)[0] != owner.address || len(owner.replica.Voters()) < len(sim.addresses) {
			n++
		}
	}
	return n
}

// The heartbeat traffic of idle owners depends on the number of members, not of partitions.
func TestHeartbeatCostIsIndependentOfPartitionCount(t *testing.T) {
	const intervals = 10
	baseline := 0
	for _, partitions := range []int{10, 100, 590} {
		sim := newClusterWithPartitions(t, 5, partitions)
		var sent traffic
		sim.drop = func(_ string, e Envelope) bool { sent.count(t, e.Msg); return false }
		sim.runUntil(sim.now + intervals*testHeartbeat)
		pairs := 5 * 4
		t.Logf("%d partitions: %d messages and %d bytes in %d heartbeat intervals, %+v", partitions, sent.messages, sent.bytes, intervals, sent)
		if sent.full > pairs*(intervals+1) || sent.messages > 2*sent.full {
			t.Errorf("%d partitions: %+v, with %d links and %d heartbeat intervals", partitions, sent, pairs, intervals)
		}
		if baseline == 0 {
			baseline = sent.bytes
		}
		if sent.bytes > baseline*3/2 {
			t.Errorf("%d partitions take %d bytes, 10 take %d", partitions, sent.bytes, baseline)
		}
	}
}

// Partitions with commits at the same time share one commit notice, which no member answers.
func TestCommitNoticeIsSharedAndNotAnswered(t *testing.T) {
	sim := newClusterWithPartitions(t, 4, 100)
	owner := sim.ownerOf(testPartition)
	var owned []string
	for _, part := range owner.replica.ownedPartitions() {
		if part.name != VoterSetPartition {
			owned = append(owned, part.name)
		}
	}
	if len(owned) < 10 {
		t.Fatalf("%s owns only %v", owner.address, owned)
	}
	var sent traffic
	sim.drop = func(from string, e Envelope) bool {
		if from == owner.address || e.To == owner.address {
			sent.count(t, e.Msg)
		}
		return false
	}
	// Between two heartbeats.
	sim.runUntil(owner.startedAt + owner.replica.heartbeats.lastFullAt + testHeartbeat + 150*time.Millisecond)
	sent = traffic{}
	answered := 0
	sim.runOn(owner.address, owner.runID, func() {
		for _, partition := range owned {
			owner.replica.Propose(sim.clock(owner), partition, func(map[string]Record) ([]Record, error) {
				return []Record{{Name: "x", Gen: 1}}, nil
			}, func(err error) {
				if err == nil {
					answered++
				}
			})
		}
	})
	sim.runUntil(owner.startedAt + owner.replica.heartbeats.lastFullAt + testHeartbeat - 10*time.Millisecond)
	t.Logf("%d partitions: %+v", len(owned), sent)
	if sent.notices > 3*len(owned) || sent.acks > 0 {
		t.Errorf("%d partitions: %+v", len(owned), sent)
	}
	owner.replica.Take()
	for _, partition := range owned {
		owner.replica.scheduleCommitNotice(owner.replica.partitions[partition])
	}
	if sent := owner.replica.Take().Send; len(sent) != 3 || len(bodyAs[*Heartbeat](sent[0].Msg).Partitions) != len(owned) {
		t.Errorf("%d partitions committed at once: %+v", len(owned), sent)
	}
	if answered != len(owned) || sent.noticeAcks != 0 {
		t.Errorf("%d of %d proposals were answered, and %d commit notices", answered, len(owned), sent.noticeAcks)
	}
	for _, address := range sim.addresses {
		for _, partition := range owned {
			if records, _, ok := sim.nodes[address].replica.Committed(partition); !ok || records["x"].Gen != 1 {
				t.Errorf("%s shows %+v of %s", address, records, partition)
			}
		}
	}
}

// A member that has missed a change reports that on the notice that the change was committed.
func TestMissedAppendIsRepairedBeforeNextHeartbeat(t *testing.T) {
	sim := newClusterWithPartitions(t, 4, 2)
	owner := sim.ownerOf(testPartition)
	follower := sim.lastMachineExcept(owner)
	// Just after a heartbeat.
	sim.runUntil(owner.startedAt + owner.replica.heartbeats.lastFullAt + testHeartbeat + 10*time.Millisecond)
	lost := 0
	sim.drop = func(_ string, e Envelope) bool {
		if e.To == follower.address && bodyAs[*Append](e.Msg) != nil && lost == 0 {
			lost++
			return true
		}
		return bodyAs[*Heartbeat](e.Msg) != nil && !bodyAs[*Heartbeat](e.Msg).Partial
	}
	if err := sim.put(owner, "x", 1); err != nil {
		t.Fatal(err)
	}
	sim.runUntil(sim.now + testHeartbeat/4)
	if records, _, _ := follower.replica.Committed(testPartition); lost != 1 || records["x"].Gen != 1 {
		t.Fatalf("the follower shows %+v, with %d appends lost", records, lost)
	}
}

// An answer to a heartbeat deposes the owner only of the partition for which the member has voted for
// another one.
func TestHeartbeatAckDeposesOwnerOfOnePartition(t *testing.T) {
	sim := newClusterWithPartitions(t, 4, 30)
	owner := sim.ownerOf(testPartition)
	var other string
	for _, part := range owner.replica.ownedPartitions() {
		if part.name != testPartition && part.name != VoterSetPartition {
			other = part.name
		}
	}
	successor := sim.nodes[owner.replica.Successors(testPartition)[1]]
	if successor == owner {
		successor = sim.nodes[owner.replica.Successors(testPartition)[0]]
	}
	epochBefore, otherEpoch := owner.replica.partitions[testPartition].ownEpoch, owner.replica.partitions[other].ownEpoch
	sim.drop = func(_ string, e Envelope) bool { // the owner receives nothing from its successor's election
		return e.To == owner.address && (bodyAs[*VoteRequest](e.Msg) != nil || bodyAs[*Append](e.Msg) != nil || bodyAs[*Heartbeat](e.Msg) != nil)
	}
	sim.runOn(successor.address, successor.runID, func() {
		successor.replica.Handle(sim.clock(successor), owner.address, Message{Body: &Transfer{testPartition}})
	})
	sim.runUntil(sim.now + testHeartbeat + 100*time.Millisecond)
	if part := successor.replica.partitions[testPartition]; part.role != roleOwner || !epochBefore.Less(part.ownEpoch) {
		t.Fatalf("%s did not take the partition over", successor.address)
	}
	if part := owner.replica.partitions[testPartition]; part.role == roleOwner {
		t.Errorf("the old owner still acts under %v", part.ownEpoch)
	}
	if part := owner.replica.partitions[other]; part.role != roleOwner || part.ownEpoch != otherEpoch {
		t.Errorf("the owner also lost %s", other)
	}
}

// electByVotes makes a member the owner of a partition by the votes of the others, and drops all its
// other messages.
func (sim *cluster) electByVotes(n *node, name string) *partition {
	sim.drop = func(from string, e Envelope) bool {
		return (from == n.address || e.To == n.address) && bodyAs[*VoteRequest](e.Msg) == nil && bodyAs[*Vote](e.Msg) == nil
	}
	sim.runOn(n.address, n.runID, func() {
		n.replica.Handle(sim.clock(n), n.address, Message{Body: &Transfer{name}, Identity: n.replica.identity})
	})
	for end := sim.now + testHeartbeat; n.replica.partitions[name].role != roleOwner && sim.now < end; {
		sim.runUntil(sim.now + time.Millisecond)
	}
	return n.replica.partitions[name]
}

// Replies to rounds that began before the election of an owner don't confirm its ownership.
func TestRoundBeforeElectionDoesNotConfirm(t *testing.T) {
	sim := newClusterWithPartitions(t, 4, 30)
	owner := sim.nodes[sim.addresses[1]]
	if owner == sim.ownerOf(testPartition) {
		owner = sim.nodes[sim.addresses[2]]
	}
	part := sim.electByVotes(owner, testPartition)
	if part.role != roleOwner || part.firstRound < 2 {
		t.Fatalf("%s does not own the partition: %+v", owner.address, part)
	}
	for _, address := range sim.addresses {
		if other := sim.nodes[address]; other != owner {
			owner.replica.Handle(sim.clock(owner), address, Message{Identity: other.replica.identity, RunID: 1, Protocol: protocolHeartbeat,
				Body: &HeartbeatAck{RunID: owner.replica.cfg.RunID, Round: part.firstRound - 1, Version: owner.replica.heartbeats.version}})
		}
	}
	if part.confirmedAt != neverConfirmed {
		t.Errorf("the ownership is confirmed as of %v, it began at %v", part.confirmedAt, part.ownerSince)
	}
	for _, address := range sim.addresses {
		if other := sim.nodes[address]; other != owner {
			owner.replica.Handle(sim.clock(owner), address, Message{Identity: other.replica.identity, RunID: 1, Protocol: protocolHeartbeat,
				Body: &HeartbeatAck{RunID: owner.replica.cfg.RunID + 1, Round: owner.replica.heartbeats.round, Version: owner.replica.heartbeats.version}})
		}
	}
	if part.confirmedAt != neverConfirmed {
		t.Error("answers to another process run confirmed the ownership")
	}
}

// A member that votes for another owner between the arrival of a heartbeat and its reply doesn't
// confirm the partition in that reply.
func TestHeartbeatAckReportsPromiseMadeBeforeIt(t *testing.T) {
	for _, stepsBehind := range []uint64{0, 1} {
		testPromiseBeforeHeartbeatAck(t, stepsBehind)
	}
}

func testPromiseBeforeHeartbeatAck(t *testing.T, stepsBehind uint64) {
	sim := newClusterWithPartitions(t, 4, 3)
	owner := sim.ownerOf(testPartition)
	follower := sim.lastMachineExcept(owner)
	part := follower.replica.partitions[testPartition]
	m, now := follower.replica, sim.clock(follower)
	m.Take()
	m.write(nil, nil) // a write is pending
	heartbeatEpoch := part.promised
	heartbeat := &Heartbeat{Round: 7, VoterSet: m.partitions[VoterSetPartition].position, Partial: true,
		Partitions: []PartitionStatus{{Partition: testPartition, Epoch: part.promised.Number, Seq: part.position.Seq + stepsBehind, Commit: part.commit.Seq, Sum: part.Sums.Fold()}}}
	m.Handle(now, owner.address, Message{Identity: owner.replica.identity, RunID: owner.replica.cfg.RunID, Protocol: protocolHeartbeat, Body: heartbeat})
	newer := Epoch{part.promised.Number + 1, follower.address, 99}
	m.Handle(now, owner.address, Message{Identity: owner.replica.identity, RunID: owner.replica.cfg.RunID, Protocol: protocolHeartbeat,
		Body: &VoteRequest{Partition: testPartition, Epoch: newer, VoterSet: m.partitions[VoterSetPartition].position, At: part.position}})
	if part.promised != newer {
		t.Fatalf("the follower promised %v", part.promised)
	}
	m.Durable(now, m.lastWrite)
	reported, confirmed := false, false
	for _, e := range m.Take().Send {
		if a := bodyAs[*HeartbeatAck](e.Msg); a != nil && a.Round == 7 {
			for _, d := range a.Deviations {
				reported = reported || d.Partition == testPartition && d.Promised == newer
				confirmed = confirmed || d.Partition == testPartition && d.Promised == heartbeatEpoch
			}
		}
	}
	if !reported || confirmed {
		t.Errorf("%d changes behind: reported the promise: %v, confirmed the previous epoch: %v", stepsBehind, reported, confirmed)
	}
}

// A list that no longer matches the owner's is detected by its digest and requested anew; a heartbeat
// with an older version of the list is ignored.
func TestOwnerListIsAppliedOnlyToItsBase(t *testing.T) {
	full := []PartitionStatus{{Partition: "a", Epoch: 1, Seq: 2, Commit: 2}, {Partition: "b", Epoch: 1, Seq: 1}}
	digest := full[0].digest() ^ full[1].digest()
	changed := PartitionStatus{Partition: "b", Epoch: 1, Seq: 5, Commit: 5}
	changedDigest := full[0].digest() ^ changed.digest()
	member := &Replica{ownerLists: map[string]*ownerList{}}
	for _, tc := range []struct { // applied one by one at the same member
		name  string
		h     Heartbeat
		runID uint64
		state listState
	}{
		{"no list to build on", Heartbeat{Base: 2, Version: 2, Digest: digest}, 1, listMissing},
		{"the whole list", Heartbeat{Version: 2, Digest: digest, Partitions: full}, 1, listApplied},
		{"no change", Heartbeat{Base: 2, Version: 2, Digest: digest}, 1, listApplied},
		{"versions are missing", Heartbeat{Base: 3, Version: 4, Digest: changedDigest, Partitions: []PartitionStatus{changed}}, 1, listMissing},
		{"another process run", Heartbeat{Base: 2, Version: 3, Digest: changedDigest, Partitions: []PartitionStatus{changed}}, 2, listMissing},
		{"a change", Heartbeat{Base: 2, Version: 3, Digest: changedDigest, Partitions: []PartitionStatus{changed}}, 1, listApplied},
		{"late", Heartbeat{Base: 2, Version: 2, Digest: digest}, 1, listStale},
		{"a partition is removed", Heartbeat{Base: 3, Version: 4, Digest: changed.digest(), Removed: []string{"a"}}, 1, listApplied},
		{"digest mismatch", Heartbeat{Base: 4, Version: 4, Digest: 1}, 1, listMissing},
		{"the list was dropped after the mismatch", Heartbeat{Base: 4, Version: 4, Digest: changed.digest()}, 1, listMissing},
	} {
		if _, state := member.applyList("o", tc.runID, &tc.h); state != tc.state {
			t.Errorf("%s: %v, want %v", tc.name, state, tc.state)
		}
	}
}

// Members of a version without heartbeats work with those that have them: every partition has an
// owner, accepts changes and reports its freshness, whichever version its owner runs.
func TestMembersWithoutHeartbeats(t *testing.T) {
	sim := newEmptyCluster(3, 1)
	sim.fatal, sim.lossless, sim.noDelays, sim.olderEvery = t.Fatalf, true, true, 2
	for i := range 8 {
		sim.partitions = append(sim.partitions, fmt.Sprintf("rollout/%04d", i))
	}
	sim.bootstrap(4, 0)
	sim.runUntil(10 * time.Second)
	ownedWithout, ownedWith := 0, 0
	for _, partition := range sim.partitions {
		owner := sim.ownerOf(partition)
		if owner == nil {
			t.Fatalf("%s has no owner", partition)
		}
		if owner.withoutHeartbeats {
			ownedWithout++
		} else {
			ownedWith++
		}
		answered := false
		sim.proposeVersion(owner.address, partition, "x", 1, "one", func(_ uint64, err error) { answered = err == nil })
		sim.runUntil(sim.now + testHeartbeat/5)
		if !answered {
			t.Errorf("a change of %s at %s was not answered", partition, owner.address)
		}
	}
	if ownedWithout == 0 || ownedWith == 0 {
		t.Fatalf("%d partitions are owned by members without heartbeats, %d by others", ownedWithout, ownedWith)
	}
	for end := sim.now + 4*testHeartbeat; sim.now < end; sim.runUntil(sim.now + 50*time.Millisecond) {
		for _, address := range sim.addresses {
			n := sim.nodes[address]
			if at, ok := n.replica.FreshAsOf(testPartition); !ok || sim.clock(n)-at > 3*testHeartbeat {
				t.Fatalf("%s (without heartbeats: %v) reports its copy as fresh as of %v (%v), at %v", address, n.withoutHeartbeats, at, ok, sim.clock(n))
			}
		}
	}
	var sent traffic
	sim.drop = func(from string, e Envelope) bool {
		if !sim.nodes[from].withoutHeartbeats && !sim.nodes[e.To].withoutHeartbeats {
			sent.count(t, e.Msg)
		}
		return false
	}
	sim.runUntil(sim.now + 4*testHeartbeat)
	if sent.full == 0 || sent.appends > 0 {
		t.Errorf("between members with heartbeats: %+v", sent)
	}
}

// A heartbeat never reports a partition's ownership as confirmed later than it was.
func TestConfirmationAgeIsPerPartition(t *testing.T) {
	sim := newClusterWithPartitions(t, 4, 30)
	m := sim.ownerOf(testPartition).replica
	partitions := m.ownedPartitions()[:4]
	m.heartbeats.sent[m.heartbeats.confirmedRound] = sentRound{at: m.now - 300*time.Millisecond}
	for _, ages := range [][]time.Duration{
		{100, 200, 250, 300}, // all confirmed in the round that a quorum has confirmed for the list, or later
		{100, 200, 250, 400}, // one was not confirmed in that round
		{100, 200, 250, -1},  // the ownership of one began after it
		{50, -1, 50, -1},     // reads have confirmed the others since
		{-1, -1, -1, -1},
	} {
		for i, age := range ages {
			if partitions[i].confirmedAt = m.now - age*time.Millisecond; age < 0 {
				partitions[i].confirmedAt = neverConfirmed
			}
		}
		for _, partial := range []bool{false, true} {
			heartbeat := &Heartbeat{Partial: partial}
			m.setAges(heartbeat, partitions)
			for _, part := range partitions {
				i := slices.IndexFunc(heartbeat.Ages, func(a PartitionAge) bool { return a.Partition == part.name })
				reported := time.Duration(-1)
				if i >= 0 {
					reported = heartbeat.Ages[i].Age
				} else if heartbeat.Freshness != nil {
					reported = heartbeat.Freshness.Age
				}
				if part.confirmedAt == neverConfirmed && reported >= 0 && heartbeat.Freshness != nil || part.confirmedAt != neverConfirmed && (reported < m.now-part.confirmedAt || reported > m.now-part.confirmedAt+300*time.Millisecond) {
					t.Errorf("%v partial %v: %s was confirmed %v ago, reported as %v", ages, partial, part.name, m.now-part.confirmedAt, reported)
				}
			}
		}
	}
}

// An answer counts for the positions at the time when the heartbeat was sent, not for later changes.
func TestHeartbeatAckCountsForSentPosition(t *testing.T) {
	for _, partial := range []bool{false, true} {
		sim := newClusterWithPartitions(t, 4, 3)
		owner := sim.ownerOf(testPartition)
		m, part := owner.replica, owner.replica.partitions[testPartition]
		sim.drop = func(from string, e Envelope) bool { return from == owner.address || e.To == owner.address }
		sim.runUntil(sim.now + 20*time.Millisecond)
		if partial {
			m.scheduleConfirm(part)
		} else {
			m.heartbeats.dueAll = true
		}
		sim.runOn(owner.address, owner.runID, func() {})
		round, version, before := m.heartbeats.round, m.heartbeats.version, part.position
		answered := false
		sim.proposeVersion(owner.address, testPartition, "x", 1, "one", func(uint64, error) { answered = true })
		sim.runUntil(sim.now + 20*time.Millisecond)
		m.heartbeats.dueAll = true
		sim.runOn(owner.address, owner.runID, func() {})
		if entry := m.heartbeats.listed[testPartition]; !before.Less(part.position) || entry.Seq != part.position.Seq || entry.version <= version {
			t.Fatalf("the change is not listed: %+v, at %v", entry, part.position)
		}
		for _, address := range sim.addresses {
			if other := sim.nodes[address]; other != owner {
				m.Handle(sim.clock(owner), address, Message{Identity: other.replica.identity, RunID: other.replica.cfg.RunID, Protocol: protocolHeartbeat,
					Body: &HeartbeatAck{RunID: m.cfg.RunID, Round: round, Partial: partial, Version: version}})
				if part.confirmedRounds[other.replica.self] != round || part.acks[other.replica.self] != before {
					t.Errorf("partial %v: %s counts for round %d and %v, it answered %d and %v", partial, address, part.confirmedRounds[other.replica.self], part.acks[other.replica.self], round, before)
				}
			}
		}
		if answered {
			t.Errorf("partial %v: a change that no other member holds was acknowledged", partial)
		}
	}
}

// A single member stays the owner of its partitions, and knows how fresh its copies are, although
// nobody answers its heartbeats.
func TestSingleMemberStaysOwner(t *testing.T) {
	sim := newClusterWithPartitions(t, 1, 3)
	member := sim.nodes[sim.addresses[0]]
	epochs := map[string]Epoch{}
	for end := sim.now + 20*member.replica.cfg.ElectionTimeout; sim.now < end; sim.runUntil(sim.now + testHeartbeat/2) {
		for _, partition := range sim.partitions {
			term, ok := member.replica.OwnershipTerm(sim.clock(member), partition)
			if _, seen := epochs[partition]; !seen {
				epochs[partition] = term.Epoch
			}
			if at, current := member.replica.FreshAsOf(partition); !ok || term.Epoch != epochs[partition] || !current || sim.clock(member)-at > 2*testHeartbeat {
				t.Fatalf("%v: %s is owned: %v, under %v, at first %v; fresh: %v, as of %v", sim.clock(member), partition, ok, term.Epoch, epochs[partition], current, at)
			}
		}
	}
}
