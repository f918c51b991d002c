package replication

// This file holds the simulated processes: how they start, run, crash, leave and are replaced.

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"madderwing/internal/replication/replicationtest"
)

type node struct {
	id                string
	replica           *Replica
	up                bool
	frozenUntil       time.Duration
	disk              replicationtest.Disk // durable
	pendingWrites     []*pendingWrite
	runID             int
	stalledUntil      time.Duration
	diskBusyUntil     time.Duration
	lastPosition      map[string]Position
	ownEpochs         map[string]Epoch
	bootstrap         bool
	withoutHeartbeats bool // it runs a version without heartbeats
	left              bool // it has said that it goes
	writesToRefuse    int
	diskFailed        bool          // its disk has refused a write and takes only the whole state
	startedAt         time.Duration // every process counts time from its own start

	failures         int           // how many are under way
	unreachableSince time.Duration // since when it has been down, frozen or cut off
	lostUntil        time.Duration // it counts as lost until then
	leaving          bool          // it leaves for good
	removed          bool
}

// addMachine adds a machine, which is not started yet.
func (sim *cluster) addMachine(i, zones int, boot bool) string {
	id := fmt.Sprintf("10.0.0.%02d:7661", i)
	sim.ids = append(sim.ids, id)
	if zones > 0 {
		sim.zones[id] = fmt.Sprintf("zone-%d", i%zones)
	}
	sim.nodes[id] = &node{id: id, disk: replicationtest.Disk{}, bootstrap: boot, withoutHeartbeats: sim.olderEvery > 0 && i%sim.olderEvery == 0}
	return id
}

func (sim *cluster) clock(n *node) time.Duration { return sim.now - n.startedAt }

func (sim *cluster) start(id string) {
	n := sim.nodes[id]
	n.up, n.left, n.diskFailed = true, false, false
	n.unreachableSince = 0
	n.runID++
	n.diskBusyUntil, n.startedAt, n.pendingWrites = 0, sim.now, nil
	sim.lastRunID++
	n.lastPosition, n.ownEpochs = map[string]Position{}, map[string]Epoch{}
	cfg := Config{Self: id, Life: sim.lastRunID, Identity: sim.rng.Uint64() | 1, Seeds: sim.seeds, Faults: sim.faults,
		Left:  func(o string) bool { return sim.nodes[o] != nil && sim.nodes[o].left },
		Peers: func() []string { return sim.ids },
		Zone:  func(o string) string { return sim.zones[o] }, Bootstrap: n.bootstrap, Empty: len(n.disk) == 0, Keys: sim.partitions,
		Beat: testHeartbeat, Vacant: testElectionTimeout, Patience: 900 * time.Millisecond, HandBack: 4 * time.Second, Sure: []string{testPartition},
		Alive: func(o string) bool { return sim.seesAlive(id, o) }}
	n.bootstrap = false
	m, err := NewReplica(cfg, n.disk)
	if err != nil {
		sim.fatal("%v", err)
	}
	n.replica = m
	sim.tick(id, n.runID)
}

func (sim *cluster) tick(id string, runID int) {
	n := sim.nodes[id]
	if !n.up || n.runID != runID {
		return
	}
	if n.frozenUntil <= sim.now { // a timer doesn't gather what was missed
		sim.runOn(id, runID, func() { n.replica.Tick(sim.clock(n)) })
	}
	sim.after(100*time.Millisecond, func() { sim.tick(id, runID) })
}

// runOn runs a step of a node and carries out its effects.
func (sim *cluster) runOn(id string, runID int, step func()) {
	n := sim.nodes[id]
	if !n.up || n.runID != runID {
		return
	}
	if n.frozenUntil > sim.now {
		// What has gathered is done in any order when it wakes.
		sim.after(n.frozenUntil-sim.now+time.Duration(1+sim.rng.Intn(50))*time.Microsecond, func() { sim.runOn(id, runID, step) })
		return
	}
	step()
	sim.checkFreshness(n)
	sim.checkNewOwner(n)
	effects := n.replica.Take()
	for _, e := range effects.Send {
		sim.deliver(id, e)
	}
	for _, write := range effects.Writes {
		sim.write(n, runID, &pendingWrite{write.Entries, false}, write.ID)
	}
	if effects.Rewrite {
		entries, upTo := n.replica.Snapshot()
		sim.write(n, runID, &pendingWrite{entries, true}, upTo)
	}
	for _, key := range effects.Committed {
		sim.checkCommitted(n, key)
	}
}

// seesAlive is what a member takes for known of another: silence is noticed after a while.
func (sim *cluster) seesAlive(viewer, o string) bool {
	unreachable := func(id string) bool {
		n := sim.nodes[id]
		return n != nil && (n.removed && !n.up || n.unreachableSince > 0 && sim.now-n.unreachableSince > time.Second)
	}
	return !unreachable(o) && !unreachable(viewer)
}

// crash ends a process; wipe takes its disk too. Of the writes under way a first part
// may still be on the disk.
func (sim *cluster) crash(id string, wipe bool) {
	n := sim.nodes[id]
	if !n.up {
		if wipe {
			n.disk = replicationtest.Disk{}
		}
		return
	}
	n.up = false
	n.frozenUntil = min(n.frozenUntil, sim.now)
	n.stalledUntil = min(n.stalledUntil, sim.now)
	if n.unreachableSince == 0 {
		n.unreachableSince = sim.now
	}
	if wipe {
		n.disk = replicationtest.Disk{}
		return
	}
	if !n.diskFailed && n.writesToRefuse == 0 {
		for _, p := range n.pendingWrites[:sim.rng.Intn(len(n.pendingWrites)+1)] {
			n.apply(p)
		}
	}
}

// shutDownForGood ends a machine for good as soon as the budget allows.
func (sim *cluster) shutDownForGood(n *node) {
	if sim.remainingFaults() < 1 {
		sim.after(20*time.Millisecond, func() { sim.shutDownForGood(n) })
		return
	}
	sim.beginFailure(n)
	sim.crash(n.id, true)
	sim.after(testCatchUp, func() { n.failures--; sim.pendingFailures-- })
}

// loseDisk ends a machine, which comes back empty.
func (sim *cluster) loseDisk(n *node, after time.Duration) {
	sim.beginFailure(n)
	sim.crash(n.id, true)
	sim.after(after, func() { sim.recover(n) })
}

// remove takes a machine away for good; its successor starts later.
func (sim *cluster) remove(n *node, after time.Duration) {
	n.removed = true
	sim.ids = slices.DeleteFunc(sim.ids, func(id string) bool { return id == n.id })
	sim.after(after, func() {
		s := sim.startReplacement()
		sim.after(testCatchUp, func() { n.failures--; _ = s })
	})
}

// startReplacement starts an empty machine. Its seeds are those of the first day, which may be
// gone by now.
func (sim *cluster) startReplacement() *node {
	sim.newestMachine++
	id := sim.addMachine(sim.newestMachine, sim.schedule.zones, false)
	sim.start(id)
	return sim.nodes[id]
}

// recover ends a machine's failure and starts it again.
func (sim *cluster) recover(n *node) {
	sim.restartMachine(n)
	sim.endFailure(n)
}

// restartMachine starts a machine again, unless it has been replaced.
func (sim *cluster) restartMachine(n *node) {
	if !n.removed && !n.up {
		sim.start(n.id)
	}
}

// drain makes a member leave and calls then once it may go, or at the given time.
func (sim *cluster) drain(n *node, until time.Duration, then func()) {
	runID := 0
	var poll func()
	poll = func() {
		safeToLeave := false
		if n.up && n.frozenUntil <= sim.now {
			if runID != n.runID {
				runID = n.runID
				sim.runOn(n.id, n.runID, func() { n.replica.Leave(sim.clock(n)) })
			}
			safeToLeave = n.replica.MayGo(sim.clock(n))
		}
		if safeToLeave || sim.now >= until {
			n.left = true
			then()
			return
		}
		sim.after(50*time.Millisecond, poll)
	}
	poll()
}

// retire takes a machine away in order, once its successor has had its time.
func (sim *cluster) retire(f failure, tries int) {
	targets := sim.failureTargets(f)
	if len(targets) == 0 || targets[0].leaving || targets[0].id == sim.ids[len(sim.ids)-1] {
		if tries < 100 {
			f.target, f.index = anyMachine, f.index+1
			sim.after(100*time.Millisecond, func() { sim.retire(f, tries+1) })
		} else {
			sim.pendingFailures--
		}
		return
	}
	n := targets[0]
	n.leaving = true
	sim.drain(n, sim.now+time.Minute, func() {
		sim.crash(n.id, true)
		n.removed = true
		sim.pendingFailures--
		sim.ids = slices.DeleteFunc(sim.ids, func(id string) bool { return id == n.id })
	})
}

// ownerOf is the node that owns a key; nil: none does.
func (sim *cluster) ownerOf(key string) *node {
	for _, id := range sim.ids {
		if n := sim.nodes[id]; n.up && n.frozenUntil <= sim.now && n.replica.partitions[key] != nil && n.replica.partitions[key].role == roleOwner {
			return n
		}
	}
	return nil
}

// waitForOwner runs a world until the test key has an owner, and returns it.
func (sim *cluster) waitForOwner(t *testing.T) *node {
	t.Helper()
	for end := sim.now + 20*time.Second; sim.now < end; {
		sim.runUntil(sim.now + 100*time.Millisecond)
		for _, id := range sim.ids {
			if n := sim.nodes[id]; n.up && n.frozenUntil <= sim.now && n.replica.partitions[testPartition].role == roleOwner && n.replica.partitions[testPartition].commit == n.replica.partitions[testPartition].position {
				return n
			}
		}
	}
	t.Fatal("the key has no owner")
	return nil
}

// healthy lists the machines that are there and in no failure.
func (sim *cluster) healthy() (out []*node) {
	for _, id := range sim.ids {
		if n := sim.nodes[id]; n.up && !sim.countsAsLost(n) {
			out = append(out, n)
		}
	}
	return out
}

// machinesExcept lists the machines that are there, except some.
func (sim *cluster) machinesExcept(except ...*node) (out []*node) {
	for _, id := range sim.ids {
		if n := sim.nodes[id]; !slices.Contains(except, n) {
			out = append(out, n)
		}
	}
	return out
}

// lastMachineExcept is the last of the others.
func (sim *cluster) lastMachineExcept(except ...*node) *node {
	others := sim.machinesExcept(except...)
	return others[len(others)-1]
}

// freeze lets a process stand still for a while, which others notice.
func (sim *cluster) freeze(n *node, d time.Duration) {
	n.frozenUntil, n.unreachableSince = sim.now+d, sim.now
}

// unfreeze ends that.
func (sim *cluster) unfreeze(n *node) {
	n.frozenUntil, n.unreachableSince = sim.now, 0
}

// separateOwners runs until the roster has another owner than the test key, and returns
// both. Until then whoever owns the roster gives it away.
func (sim *cluster) separateOwners() (owner, voterSetOwner *node) {
	sim.waitFor("the roster has another owner than the test key", 40*time.Second, func() string {
		owner, voterSetOwner = sim.ownerOf(testPartition), sim.ownerOf(RosterKey)
		if owner != nil && voterSetOwner != nil && owner != voterSetOwner {
			return ""
		}
		if voterSetOwner != nil {
			sim.runOn(voterSetOwner.id, voterSetOwner.runID, func() {
				part := voterSetOwner.replica.partitions[RosterKey]
				voterSetOwner.replica.transfer(part)
				voterSetOwner.replica.becomeFollower(part, ErrNotOwner)
				part.noElectionUntil = sim.clock(voterSetOwner) + time.Minute
			})
		}
		return "it is the same"
	})
	return owner, voterSetOwner
}
