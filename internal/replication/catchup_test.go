package replication

// This file holds tests of members that catch up.

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"madderwing/internal/antientropy"
)

// TestFollowerShowsCommittedChangesUnderLoad drops a part of all appends and heartbeats under a
// continuous stream of changes: followers must still show changes soon after they are committed.
func TestFollowerShowsCommittedChangesUnderLoad(t *testing.T) {
	for seed := int64(1); seed <= 5; seed++ {
		sim := newClusterWithVoters(t, seed, 4, 1, 4)
		sim.mustPut(t, "x", 1)
		owner := sim.waitForOwner(t)
		sim.drop = func(from string, e Envelope) bool {
			return (bodyAs[*Append](e.Msg) != nil || bodyAs[*Heartbeat](e.Msg) != nil) && sim.rng.Intn(10) == 0
		}
		sim.injectFailure(failure{kind: changeStream, duration: 20 * time.Second})
		sim.runUntil(sim.now + time.Second)
		type observation struct {
			when time.Duration
			pos  Position
		}
		var history []observation
		behind := map[string]time.Duration{}
		for end := sim.now + 18*time.Second; sim.now < end; sim.runUntil(sim.now + 10*time.Millisecond) {
			history = append(history, observation{sim.now, sim.committedAt[testPartition]})
			for _, address := range sim.addresses {
				_, pos, ok := sim.nodes[address].replica.Committed(testPartition)
				if !ok {
					pos = sim.nodes[address].lastPosition[testPartition] // what it showed last
				}
				index := slices.IndexFunc(history, func(h observation) bool { return pos.Less(h.pos) })
				if index >= 0 {
					behind[address] = max(behind[address], sim.now-history[index].when)
				}
			}
		}
		for address, lag := range behind {
			if lag > 3*testHeartbeat {
				t.Errorf("seed %d: %s (owner %s) was %v behind", seed, address, owner.address, lag)
			}
		}
		t.Logf("seed %d: %v after %d changes", seed, behind, sim.answeredChanges)
	}
}

// TestSnapshotIsAppliedOnlyIfDigestsMatch sends a follower chunks that don't add up to the owner's
// state.
func TestSnapshotIsAppliedOnlyIfDigestsMatch(t *testing.T) {
	all := []Record{{Name: "x", Gen: 7}, {Name: "y", Gen: 8}, {Name: "z", Gen: 9}}
	for _, tc := range []struct {
		name    string
		records [][]Record // by chunk
		index   []int
		ok      bool
	}{
		{"complete", [][]Record{all[:2], all[2:]}, []int{0, 1}, true},
		{"one chunk twice", [][]Record{all[:2], all[:2], all[2:]}, []int{0, 0, 1}, true},
		{"a record missing", [][]Record{all[:2], nil}, []int{0, 1}, false},
		{"a different record", [][]Record{all[:2], {{Name: "z", Gen: 1}}}, []int{0, 1}, false},
	} {
		sim := newClusterWithVoters(t, 3, 4, 1, 4)
		sim.mustPut(t, "x", 1)
		sim.runUntil(sim.now + 2*time.Second)
		owner := sim.waitForOwner(t)
		follower := sim.lastMachineExcept(owner)
		part := follower.replica.partitions[testPartition]
		before := part.position
		set := antientropy.NewSet()
		for _, r := range all {
			set.Put(r)
		}
		at := Position{part.promised, part.position.Seq + 5}
		follower.replica.Take()
		for i, records := range tc.records {
			follower.replica.Handle(sim.clock(follower), owner.address, Message{Identity: owner.replica.identity, Body: &SnapshotChunk{Partition: testPartition, Epoch: part.promised,
				VoterSet: follower.replica.partitions[VoterSetPartition].position, At: at, Sums: set.Sums, Index: tc.index[i], Count: 2, Ranges: allRanges, Records: records}})
		}
		follower.replica.Durable(sim.clock(follower), follower.replica.lastWrite)
		applied := false
		for _, e := range follower.replica.Take().Send {
			applied = applied || bodyAs[*AppendAck](e.Msg) != nil && bodyAs[*AppendAck](e.Msg).OK && bodyAs[*AppendAck](e.Msg).At == at
		}
		if applied != tc.ok || (part.position == at) != tc.ok || !tc.ok && part.position != before {
			t.Errorf("%s: acknowledged: %v, at %v", tc.name, applied, part.position)
		}
	}
}

// TestCatchUpWithLargeCatalogue changes a catalogue near its size limit 3,000 times while a member
// restarts, is cut off, freezes, loses its disk or is replaced, over links on which a chunk takes
// longer than a heartbeat interval. The member must catch up within a bound on time and bytes.
func TestCatchUpWithLargeCatalogue(t *testing.T) {
	const records, size = 300, 8 << 10
	for _, kind := range []failureKind{restart, cutOff, freeze, wipe, replace} {
		t.Run(kindNames[kind], func(t *testing.T) {
			t.Parallel()
			sim := newClusterWithVoters(t, int64(kind)+1, 4, 1, 4)
			sim.lossless, sim.skipContents = true, true
			change := func(name string, version uint64, data string) {
				if owner := sim.ownerOf(testPartition); owner != nil {
					sim.proposeVersion(owner.address, testPartition, name, version, data, func(uint64, error) {})
				}
			}
			filler := strings.Repeat("f", size)
			for i := 0; i < records; i++ {
				change(fmt.Sprint("item", i), 1, filler)
				if i%10 == 9 {
					sim.runUntil(sim.now + 100*time.Millisecond)
				}
			}
			sim.runUntil(sim.now + 3*time.Second)
			if count := len(sim.ownersRecords(testPartition)); count < records {
				t.Fatalf("%d records", count)
			}
			sim.linkRate = float64(maxChunkBytes) / (1.2 * testHeartbeat.Seconds())
			catalogueBytes := float64(records * size)
			copyTime := time.Duration(catalogueBytes / sim.linkRate * float64(time.Second))
			begin, answered := sim.now, sim.answeredChanges
			for i := 0; i < 3000; i++ {
				sim.after(time.Duration(i)*20*time.Millisecond, func() {
					change(fmt.Sprint("small", i%100), uint64(1+i), fmt.Sprint("change ", i))
				})
			}
			sim.runUntil(sim.now + 5*time.Second)
			var member *node
			for _, address := range sim.addresses {
				if n := sim.nodes[address]; n.replica.partitions[testPartition].role != roleOwner && n.replica.partitions[VoterSetPartition].role != roleOwner {
					member = n
				}
			}
			index := slices.IndexFunc(sim.healthy(), func(n *node) bool { return n == member })
			sim.injectFailure(failure{kind: kind, index: index, count: 1, duration: 15 * time.Second, replaceAfter: 5 * time.Second})
			if kind == replace {
				sim.runUntil(sim.now + 5100*time.Millisecond)
				member = sim.nodes[sim.addresses[len(sim.addresses)-1]]
			} else {
				sim.runUntil(sim.now + 15100*time.Millisecond)
			}
			backAt, bytesBefore := sim.now, sim.bytesSentTo[member.address]
			limit := testCatchUp
			if kind == wipe || kind == replace {
				limit = copyTime*3/2 + 2*testElectionTimeout
			}
			sim.waitFor("the member holds everything", limit, func() string {
				owner := sim.ownerOf(testPartition)
				if owner == nil {
					return "the partition has no owner"
				}
				_, at, ok := member.replica.Committed(testPartition)
				_, newest, _ := owner.replica.Committed(testPartition)
				if !ok || at.Epoch != newest.Epoch || at.Seq+25 < newest.Seq || !member.replica.mayOwn() {
					return fmt.Sprintf("it shows %v of %v, is a voter: %v", at, newest, member.replica.mayOwn())
				}
				return ""
			})
			bytes := float64(sim.bytesSentTo[member.address] - bytesBefore)
			t.Logf("caught up after %v with %.2f times the bytes of the catalogue", sim.now-backAt, bytes/catalogueBytes)
			if bytes > 1.25*catalogueBytes {
				t.Fatalf("%.2f times the bytes of the catalogue were sent", bytes/catalogueBytes)
			}
			sim.runUntil(begin + 62*time.Second)
			if sim.answeredChanges-answered < 2900 {
				t.Fatalf("%d of 3000 changes were answered", sim.answeredChanges-answered)
			}
			sim.linkRate = 0
			sim.runUntil(sim.now + 3*time.Second)
			want := sim.ownersRecords(testPartition)
			for _, address := range sim.addresses {
				have, _, _ := sim.nodes[address].replica.Committed(testPartition)
				sim.checkHolds(address, testPartition, have, want)
			}
		})
	}
}
