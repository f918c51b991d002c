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
			sim.fatal("at %v %s owns %s without being a voter", sim.now, n.id, name)
		}
		if sim.initialRecords[name] == nil {
			sim.initialRecords[name] = map[Epoch]map[string]Record{}
		}
		records := map[string]Record{}
		for r, v := range part.Records {
			records[r] = v
		}
		sim.initialRecords[name][part.ownEpoch] = records
		if sim.committedAt[name].Epoch.Less(part.ownEpoch) {
			sim.checkHolds(fmt.Sprintf("%s, owner of %s in %v,", n.id, name, part.ownEpoch), name, records, sim.committed[name])
		}
	}
}

// checkHolds checks that the records in have are at least as new as those in want.
func (sim *cluster) checkHolds(who, key string, have, want map[string]Record) {
	if key == RosterKey {
		return // records of the voter set are erased; its contents are compared by position
	}
	for name, r := range want {
		h, ok := have[name]
		if !ok || h.Gen < r.Gen || h.Gen == r.Gen && !bytes.Equal(h.Data, r.Data) {
			sim.fatal("at %v %s holds %s=%d %s, committed was %d %s", sim.now, who, name, h.Gen, h.Data, r.Gen, r.Data)
		}
	}
}

// checkFreshness checks that a member's copy contains everything acknowledged up to the time as of
// which the member reports it to be the newest, and that no two owners are confirmed at once.
func (sim *cluster) checkFreshness(n *node) {
	if at, ok := n.replica.Current(testPartition); ok {
		have, _, _ := n.replica.Committed(testPartition)
		sim.freshnessClaims++
		for i := len(sim.acks) - 1; i >= 0 && i > len(sim.acks)-40; i-- {
			if a := sim.acks[i]; a.at < n.startedAt+at && have[a.name].Gen < a.value {
				sim.fatal("at %v %s reports its copy to be the newest as of %v, but it lacks %s=%d of %v", sim.now, n.id, n.startedAt+at, a.name, a.value, a.at)
			}
		}
	}
	term, ok := n.replica.Tenure(sim.clock(n), testPartition)
	if !ok {
		return
	}
	sim.confirmedAt[term.Epoch], sim.predecessorUntil[term.Epoch] = max(sim.confirmedAt[term.Epoch], n.startedAt+term.Sure), n.startedAt+term.Free
	for o, free := range sim.predecessorUntil {
		if term.Epoch.Less(o) && sim.confirmedAt[term.Epoch] > free {
			sim.fatal("at %v: owner %v was confirmed until %v, but %v takes earlier owners to have been confirmed until %v only", sim.now, term.Epoch, sim.confirmedAt[term.Epoch], o, free)
		}
	}
	for e, sure := range sim.confirmedAt {
		if e.Less(term.Epoch) && sure > n.startedAt+term.Free {
			sim.fatal("at %v: owner %v was confirmed until %v, but %v takes earlier owners to have been confirmed until %v only", sim.now, e, sure, term.Epoch, n.startedAt+term.Free)
		}
	}
}

// checkSameContents checks that a version of a record has the same contents at all members.
func (sim *cluster) checkSameContents(who, key string, r Record) {
	id := fmt.Sprintf("%s/%s/%d", key, r.Name, r.Gen)
	if was, ok := sim.contents[id]; !ok {
		sim.contents[id] = string(r.Data)
	} else if was != string(r.Data) {
		sim.fatal("at %v %s has %s as %q, it was %q", sim.now, who, id, r.Data, was)
	}
}

// checkCommitted checks what a member reports as committed: its position never goes back within a
// process run, no two members have different contents at one position, and the ownership of each
// later owner began with it.
func (sim *cluster) checkCommitted(n *node, key string) {
	records, pos, ok := n.replica.Committed(key)
	if !ok {
		return
	}
	if pos.Less(n.lastPosition[key]) {
		sim.fatal("at %v %s went back from %v to %v of %s", sim.now, n.id, n.lastPosition[key], pos, key)
	}
	n.lastPosition[key] = pos
	if sim.skipContents {
		return // the contents are compared at the end of the test
	}
	var text bytes.Buffer
	for _, r := range sortedRecords(records) {
		fmt.Fprintf(&text, "%s=%d/%v/%s ", r.Name, r.Gen, r.Dropped, r.Data)
		if key != RosterKey {
			sim.checkSameContents(n.id, key, r)
		}
	}
	if sim.shown[key] == nil {
		sim.shown[key] = map[Position]string{}
	}
	if was, ok := sim.shown[key][pos]; !ok {
		sim.shown[key][pos] = text.String()
	} else if was != text.String() {
		sim.fatal("at %v %s has two contents at %v: %v and %v", sim.now, key, pos, was, text.String())
	}
	if !sim.committedAt[key].Less(pos) {
		return
	}
	sim.checkHolds(fmt.Sprintf("%s at %v of %s", n.id, pos, key), key, records, sim.committed[key])
	sim.committedAt[key], sim.committed[key] = pos, map[string]Record{}
	for name, r := range records {
		sim.committed[key][name] = r
	}
	for e, base := range sim.initialRecords[key] {
		if pos.Epoch.Less(e) {
			sim.checkHolds(fmt.Sprintf("the later owner %v of %s", e, key), key, base, records)
		}
	}
}

// checkVersion records a version that was returned to a client. It must not be older than any
// version returned before the request was sent. As versions only rise, linearizability requires
// nothing else of a single register.
func (sim *cluster) checkVersion(who, key, name string, minVersion uint64, r Record) {
	if r.Gen < minVersion {
		sim.fatal("at %v %s returned %s/%s=%d, %d was returned before the request", sim.now, who, key, name, r.Gen, minVersion)
	}
	if r.Gen > 0 {
		sim.checkSameContents(who, key, r)
	}
	id := key + "/" + name
	sim.minVersions[id] = max(sim.minVersions[id], r.Gen)
}

// ownershipProblem names a partition that doesn't have exactly one owner that has committed in its
// term; empty if there is none.
func (sim *cluster) ownershipProblem() string {
	for _, key := range append([]string{RosterKey}, sim.partitions...) {
		n := 0
		for _, id := range sim.ids {
			if part := sim.nodes[id].replica.partitions[key]; sim.nodes[id].up && part.role == roleOwner && part.commit == part.position || sim.nodes[id].up && part.role == roleOwner && part.commit.Epoch == part.ownEpoch {
				n++
			}
		}
		if n != 1 {
			return fmt.Sprintf("%s has %d owners", key, n)
		}
	}
	return ""
}

// voterSetProblem describes where a voter set differs from the running members, or which committed
// state a member lacks; empty if all is well.
func (sim *cluster) voterSetProblem() string {
	var live []string
	for _, id := range sim.ids {
		if n := sim.nodes[id]; n.up {
			live = append(live, n.replica.self)
		} else {
			return id + " is down"
		}
	}
	for _, id := range sim.ids {
		n := sim.nodes[id]
		s := n.replica.voterSet()
		if s.joint || len(s.newVoters) != min(len(live), maxVoters) {
			return fmt.Sprintf("%s has the voter set %+v, running are %v", id, *s, live)
		}
		for _, seat := range s.newVoters {
			if !slices.Contains(live, seat) {
				return fmt.Sprintf("%s has the voter set %+v, running are %v", id, *s, live)
			}
		}
		for _, key := range append([]string{RosterKey}, sim.partitions...) {
			have, pos, ok := n.replica.Committed(key)
			if !ok || pos.Seq == 0 {
				return fmt.Sprintf("%s has no committed copy of %s", id, key)
			}
			if pos.Epoch != sim.committedAt[key].Epoch {
				return fmt.Sprintf("%s has %s committed up to %v, the newest position is %v", id, key, pos, sim.committedAt[key])
			}
			if sim.operatorsStopped && len(have) != len(sim.committed[key]) {
				return fmt.Sprintf("%s has %d records of %s, %d are committed", id, len(have), key, len(sim.committed[key]))
			}
			for name, r := range sim.committed[key] {
				if sim.operatorsStopped && key != RosterKey && have[name].Gen != r.Gen {
					return fmt.Sprintf("%s has %s/%s=%d, %d is committed", id, key, name, have[name].Gen, r.Gen)
				}
			}
		}
	}
	return ""
}

// ownersRecords returns the committed records at the owner of a partition.
func (sim *cluster) ownersRecords(key string) map[string]Record {
	if o := sim.ownerOf(key); o != nil {
		have, _, _ := o.replica.Committed(key)
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
