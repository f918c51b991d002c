package replication

// This file holds the invariants that are checked while a simulated cluster runs.

import (
	"bytes"
	"fmt"
	"slices"
	"sort"
)

// checkNewOwner checks that a new owner of a partition holds everything that was ever reported as
// committed in it.
func (sim *cluster) checkNewOwner(n *node) {
	for name, part := range n.replica.partitions {
		if part.role != roleOwner {
			continue
		}
		if n.ownEpochs[name] == part.ownEpoch {
			continue
		}
		n.ownEpochs[name] = part.ownEpoch
		if !n.replica.mayOwn() {
			sim.fatal("at %v %s owns %s without being a voter", sim.now, n.address, name)
		}
		if sim.initialRecords[name] == nil {
			sim.initialRecords[name] = map[Epoch]map[string]Record{}
		}
		records := map[string]Record{}
		for recordName, record := range part.Records {
			records[recordName] = record
		}
		sim.initialRecords[name][part.ownEpoch] = records
		if sim.committedAt[name].Epoch.Less(part.ownEpoch) {
			sim.checkHolds(fmt.Sprintf("%s, owner of %s in %v,", n.address, name, part.ownEpoch), name, records, sim.committed[name])
		}
	}
}

// checkHolds checks that the records in have are at least as new as those in want.
func (sim *cluster) checkHolds(member, partition string, have, want map[string]Record) {
	if partition == VoterSetPartition {
		return // records of the voter set are erased; its contents are compared by position
	}
	for name, r := range want {
		h, ok := have[name]
		if !ok || h.Gen < r.Gen || h.Gen == r.Gen && !bytes.Equal(h.Data, r.Data) {
			sim.fatal("at %v %s holds %s=%d %s, committed was %d %s", sim.now, member, name, h.Gen, h.Data, r.Gen, r.Data)
		}
	}
}

// checkFreshness checks that a member's copy contains everything acknowledged up to the time as of
// which the member reports it to be the newest, and that no two owners are confirmed at once.
func (sim *cluster) checkFreshness(n *node) {
	if at, ok := n.replica.FreshAsOf(testPartition); ok {
		have, _, _ := n.replica.Committed(testPartition)
		sim.freshnessClaims++
		for i := len(sim.acks) - 1; i >= 0 && i > len(sim.acks)-40; i-- {
			if a := sim.acks[i]; a.at < n.startedAt+at && have[a.name].Gen < a.version {
				sim.fatal("at %v %s reports its copy to be the newest as of %v, but it lacks %s=%d of %v", sim.now, n.address, n.startedAt+at, a.name, a.version, a.at)
			}
		}
	}
	term, ok := n.replica.OwnershipTerm(sim.clock(n), testPartition)
	if !ok {
		return
	}
	sim.confirmedAt[term.Epoch], sim.predecessorUntil[term.Epoch] = max(sim.confirmedAt[term.Epoch], n.startedAt+term.ConfirmedAt), n.startedAt+term.PredecessorUntil
	for later, predecessorUntil := range sim.predecessorUntil {
		if term.Epoch.Less(later) && sim.confirmedAt[term.Epoch] > predecessorUntil {
			sim.fatal("at %v: owner %v was confirmed until %v, but %v takes earlier owners to have been confirmed until %v only", sim.now, term.Epoch, sim.confirmedAt[term.Epoch], later, predecessorUntil)
		}
	}
	for earlier, confirmedAt := range sim.confirmedAt {
		if earlier.Less(term.Epoch) && confirmedAt > n.startedAt+term.PredecessorUntil {
			sim.fatal("at %v: owner %v was confirmed until %v, but %v takes earlier owners to have been confirmed until %v only", sim.now, earlier, confirmedAt, term.Epoch, n.startedAt+term.PredecessorUntil)
		}
	}
}

// checkSameContents checks that a version of a record has the same contents at all members.
func (sim *cluster) checkSameContents(member, partition string, r Record) {
	version := fmt.Sprintf("%s/%s/%d", partition, r.Name, r.Gen)
	if previous, ok := sim.contents[version]; !ok {
		sim.contents[version] = string(r.Data)
	} else if previous != string(r.Data) {
		sim.fatal("at %v %s has %s as %q, it was %q", sim.now, member, version, r.Data, previous)
	}
}

// checkCommitted checks what a member reports as committed: its position never goes back within a
// process run, no two members have different contents at one position, and the ownership of each
// later owner began with it.
func (sim *cluster) checkCommitted(n *node, partition string) {
	records, position, ok := n.replica.Committed(partition)
	if !ok {
		return
	}
	if position.Less(n.lastPosition[partition]) {
		sim.fatal("at %v %s went back from %v to %v of %s", sim.now, n.address, n.lastPosition[partition], position, partition)
	}
	n.lastPosition[partition] = position
	if sim.skipContents {
		return // the contents are compared at the end of the test
	}
	var text bytes.Buffer
	for _, r := range sortedRecords(records) {
		fmt.Fprintf(&text, "%s=%d/%v/%s ", r.Name, r.Gen, r.Dropped, r.Data)
		if partition != VoterSetPartition {
			sim.checkSameContents(n.address, partition, r)
		}
	}
	if sim.shown[partition] == nil {
		sim.shown[partition] = map[Position]string{}
	}
	if previous, ok := sim.shown[partition][position]; !ok {
		sim.shown[partition][position] = text.String()
	} else if previous != text.String() {
		sim.fatal("at %v %s has two contents at %v: %v and %v", sim.now, partition, position, previous, text.String())
	}
	if !sim.committedAt[partition].Less(position) {
		return
	}
	sim.checkHolds(fmt.Sprintf("%s at %v of %s", n.address, position, partition), partition, records, sim.committed[partition])
	sim.committedAt[partition], sim.committed[partition] = position, map[string]Record{}
	for name, r := range records {
		sim.committed[partition][name] = r
	}
	for e, base := range sim.initialRecords[partition] {
		if position.Epoch.Less(e) {
			sim.checkHolds(fmt.Sprintf("the later owner %v of %s", e, partition), partition, base, records)
		}
	}
}

// checkVersion records a version that was returned to a client. It must not be older than any
// version returned before the request was sent. As versions only rise, linearizability requires
// nothing else of a single register.
func (sim *cluster) checkVersion(member, partition, name string, minVersion uint64, r Record) {
	if r.Gen < minVersion {
		sim.fatal("at %v %s returned %s/%s=%d, %d was returned before the request", sim.now, member, partition, name, r.Gen, minVersion)
	}
	if r.Gen > 0 {
		sim.checkSameContents(member, partition, r)
	}
	record := partition + "/" + name
	sim.minVersions[record] = max(sim.minVersions[record], r.Gen)
}

// ownershipProblem names a partition that doesn't have exactly one owner that has committed in its
// term; empty if there is none.
func (sim *cluster) ownershipProblem() string {
	for _, partition := range append([]string{VoterSetPartition}, sim.partitions...) {
		n := 0
		for _, address := range sim.addresses {
			if part := sim.nodes[address].replica.partitions[partition]; sim.nodes[address].up && part.role == roleOwner && part.commit == part.position || sim.nodes[address].up && part.role == roleOwner && part.commit.Epoch == part.ownEpoch {
				n++
			}
		}
		if n != 1 {
			return fmt.Sprintf("%s has %d owners", partition, n)
		}
	}
	return ""
}

// voterSetProblem describes where a voter set differs from the running members, or which committed
// state a member lacks; empty if all is well.
func (sim *cluster) voterSetProblem() string {
	var running []string
	for _, address := range sim.addresses {
		if n := sim.nodes[address]; n.up {
			running = append(running, n.replica.self)
		} else {
			return address + " is down"
		}
	}
	for _, address := range sim.addresses {
		n := sim.nodes[address]
		s := n.replica.voterSet()
		if s.joint || len(s.newVoters) != min(len(running), maxVoters) {
			return fmt.Sprintf("%s has the voter set %+v, running are %v", address, *s, running)
		}
		for _, voter := range s.newVoters {
			if !slices.Contains(running, voter) {
				return fmt.Sprintf("%s has the voter set %+v, running are %v", address, *s, running)
			}
		}
		for _, partition := range append([]string{VoterSetPartition}, sim.partitions...) {
			have, pos, ok := n.replica.Committed(partition)
			if !ok || pos.Seq == 0 {
				return fmt.Sprintf("%s has no committed copy of %s", address, partition)
			}
			if pos.Epoch != sim.committedAt[partition].Epoch {
				return fmt.Sprintf("%s has %s committed up to %v, the newest position is %v", address, partition, pos, sim.committedAt[partition])
			}
			if sim.operatorsStopped && len(have) != len(sim.committed[partition]) {
				return fmt.Sprintf("%s has %d records of %s, %d are committed", address, len(have), partition, len(sim.committed[partition]))
			}
			for name, r := range sim.committed[partition] {
				if sim.operatorsStopped && partition != VoterSetPartition && have[name].Gen != r.Gen {
					return fmt.Sprintf("%s has %s/%s=%d, %d is committed", address, partition, name, have[name].Gen, r.Gen)
				}
			}
		}
	}
	return ""
}

// ownersRecords returns the committed records at the owner of a partition.
func (sim *cluster) ownersRecords(partition string) map[string]Record {
	if owner := sim.ownerOf(partition); owner != nil {
		have, _, _ := owner.replica.Committed(partition)
		return have
	}
	return nil
}

func sortedRecords(records map[string]Record) []Record {
	s := make([]Record, 0, len(records))
	for _, r := range records {
		s = append(s, r)
	}
	sortRecords(s)
	return s
}

func sortRecords(s []Record) {
	sort.Slice(s, func(i, j int) bool { return s[i].Name < s[j].Name })
}
