package replication

// This file holds the simulated processes: how they start, run, crash, drain and are replaced.

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"madderwing/internal/replication/replicationtest"
)

type node struct {
	address           string
	replica           *Replica
	up                bool
	frozenUntil       time.Duration
	disk              replicationtest.Disk // the durable entries
	pendingWrites     []*pendingWrite
	runID             int
	stalledUntil      time.Duration
	diskBusyUntil     time.Duration
	lastPosition      map[string]Position
	ownEpochs         map[string]Epoch
	bootstrap         bool
	withoutHeartbeats bool // runs a version without heartbeats
	left              bool // has announced that it leaves
	writesToRefuse    int
	diskFailed        bool          // the disk has refused a write and accepts only the whole state
	startedAt         time.Duration // the origin of the process's clock

	failures         int           // number of failures in progress
	unreachableSince time.Duration // since when it has been down, frozen or cut off; 0: it is reachable
	lostUntil        time.Duration // it counts as lost until then
	leaving          bool          // it is being drained for good
	removed          bool
}

// addMachine adds a machine without starting it.
func (sim *cluster) addMachine(number, zones int, bootstrap bool) string {
	address := fmt.Sprintf("10.0.0.%02d:7661", number)
	sim.addresses = append(sim.addresses, address)
	if zones > 0 {
		sim.zones[address] = fmt.Sprintf("zone-%d", number%zones)
	}
	sim.nodes[address] = &node{address: address, disk: replicationtest.Disk{}, bootstrap: bootstrap, withoutHeartbeats: sim.olderEvery > 0 && number%sim.olderEvery == 0}
	return address
}

func (sim *cluster) clock(n *node) time.Duration { return sim.now - n.startedAt }

func (sim *cluster) start(address string) {
	n := sim.nodes[address]
	n.up, n.left, n.diskFailed = true, false, false
	n.unreachableSince = 0
	n.runID++
	n.diskBusyUntil, n.startedAt, n.pendingWrites = 0, sim.now, nil
	sim.lastRunID++
	n.lastPosition, n.ownEpochs = map[string]Position{}, map[string]Epoch{}
	cfg := Config{Self: address, RunID: sim.lastRunID, Identity: sim.rng.Uint64() | 1, Seeds: sim.seeds, Faults: sim.faults,
		Left:  func(o string) bool { return sim.nodes[o] != nil && sim.nodes[o].left },
		Peers: func() []string { return sim.addresses },
		Zone:  func(o string) string { return sim.zones[o] }, Bootstrap: n.bootstrap, Empty: len(n.disk) == 0, Partitions: sim.partitions,
		HeartbeatInterval: testHeartbeat, ElectionTimeout: testElectionTimeout, ProposalTimeout: 900 * time.Millisecond, TransferBackDelay: 4 * time.Second, FreshnessPartitions: []string{testPartition},
		Alive: func(o string) bool { return sim.seesAlive(address, o) }}
	n.bootstrap = false
	replica, err := NewReplica(cfg, n.disk)
	if err != nil {
		sim.fatal("%v", err)
	}
	n.replica = replica
	sim.tick(address, n.runID)
}

func (sim *cluster) tick(address string, runID int) {
	n := sim.nodes[address]
	if !n.up || n.runID != runID {
		return
	}
	if n.frozenUntil <= sim.now { // missed ticks are not made up for
		sim.runOn(address, runID, func() { n.replica.Tick(sim.clock(n)) })
	}
	sim.after(100*time.Millisecond, func() { sim.tick(address, runID) })
}

// runOn runs a step of a node's process run and carries out the effects. It does nothing if that
// run has ended.
func (sim *cluster) runOn(address string, runID int, step func()) {
	n := sim.nodes[address]
	if !n.up || n.runID != runID {
		return
	}
	if n.frozenUntil > sim.now {
		// Steps that were deferred run in any order when the process resumes.
		sim.after(n.frozenUntil-sim.now+time.Duration(1+sim.rng.Intn(50))*time.Microsecond, func() { sim.runOn(address, runID, step) })
		return
	}
	step()
	sim.checkFreshness(n)
	sim.checkNewOwner(n)
	effects := n.replica.Take()
	for _, e := range effects.Send {
		sim.deliver(address, e)
	}
	for _, write := range effects.Writes {
		sim.write(n, runID, &pendingWrite{write.Entries, false}, write.ID)
	}
	if effects.Rewrite {
		entries, upTo := n.replica.Snapshot()
		sim.write(n, runID, &pendingWrite{entries, true}, upTo)
	}
	for _, partition := range effects.Committed {
		sim.checkCommitted(n, partition)
	}
}

// seesAlive reports whether a member believes another one to be alive. A failure is noticed after 1 s.
func (sim *cluster) seesAlive(viewer, other string) bool {
	unreachable := func(address string) bool {
		n := sim.nodes[address]
		return n != nil && (n.removed && !n.up || n.unreachableSince > 0 && sim.now-n.unreachableSince > time.Second)
	}
	return !unreachable(other) && !unreachable(viewer)
}

// crash kills a process and, with wipe, erases its disk. A prefix of the pending writes may have
// reached the disk.
func (sim *cluster) crash(address string, wipe bool) {
	n := sim.nodes[address]
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

// shutDownForGood shuts a machine down for good as soon as the fault budget allows.
func (sim *cluster) shutDownForGood(n *node) {
	if sim.remainingFaults() < 1 {
		sim.after(20*time.Millisecond, func() { sim.shutDownForGood(n) })
		return
	}
	sim.beginFailure(n)
	sim.crash(n.address, true)
	sim.after(testCatchUp, func() { n.failures--; sim.pendingFailures-- })
}

// loseDisk crashes a machine, which starts again with an empty disk after the given time.
func (sim *cluster) loseDisk(n *node, downFor time.Duration) {
	sim.beginFailure(n)
	sim.crash(n.address, true)
	sim.after(downFor, func() { sim.recover(n) })
}

// remove removes a machine for good; its replacement starts after the given time.
func (sim *cluster) remove(n *node, replaceAfter time.Duration) {
	n.removed = true
	sim.addresses = slices.DeleteFunc(sim.addresses, func(address string) bool { return address == n.address })
	sim.after(replaceAfter, func() {
		replacement := sim.startReplacement()
		sim.after(testCatchUp, func() { n.failures--; _ = replacement })
	})
}

// startReplacement starts a machine with an empty disk. Its seeds are those of the bootstrap, which
// may have been removed since.
func (sim *cluster) startReplacement() *node {
	sim.newestMachine++
	address := sim.addMachine(sim.newestMachine, sim.schedule.zones, false)
	sim.start(address)
	return sim.nodes[address]
}

// recover starts a machine again and ends its failure.
func (sim *cluster) recover(n *node) {
	sim.restartMachine(n)
	sim.endFailure(n)
}

// restartMachine starts a machine again, unless it has been replaced.
func (sim *cluster) restartMachine(n *node) {
	if !n.removed && !n.up {
		sim.start(n.address)
	}
}

// drain makes a member leave and calls then once it is safe to shut it down, or at the given time.
func (sim *cluster) drain(n *node, until time.Duration, then func()) {
	runID := 0
	var poll func()
	poll = func() {
		safeToLeave := false
		if n.up && n.frozenUntil <= sim.now {
			if runID != n.runID {
				runID = n.runID
				sim.runOn(n.address, n.runID, func() { n.replica.Leave(sim.clock(n)) })
			}
			safeToLeave = n.replica.SafeToLeave(sim.clock(n))
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

// retire drains a machine and removes it. It tries other machines, up to 100 times, if the one chosen
// is already leaving or is the newest.
func (sim *cluster) retire(f failure, tries int) {
	targets := sim.failureTargets(f)
	if len(targets) == 0 || targets[0].leaving || targets[0].address == sim.addresses[len(sim.addresses)-1] {
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
		sim.crash(n.address, true)
		n.removed = true
		sim.pendingFailures--
		sim.addresses = slices.DeleteFunc(sim.addresses, func(address string) bool { return address == n.address })
	})
}

// ownerOf returns the node that owns a partition; nil if none does.
func (sim *cluster) ownerOf(partition string) *node {
	for _, address := range sim.addresses {
		if n := sim.nodes[address]; n.up && n.frozenUntil <= sim.now && n.replica.partitions[partition] != nil && n.replica.partitions[partition].role == roleOwner {
			return n
		}
	}
	return nil
}

// waitForOwner runs the simulation until the test partition has an owner with all its changes
// committed, and returns it.
func (sim *cluster) waitForOwner(t *testing.T) *node {
	t.Helper()
	for end := sim.now + 20*time.Second; sim.now < end; {
		sim.runUntil(sim.now + 100*time.Millisecond)
		for _, address := range sim.addresses {
			if n := sim.nodes[address]; n.up && n.frozenUntil <= sim.now && n.replica.partitions[testPartition].role == roleOwner && n.replica.partitions[testPartition].commit == n.replica.partitions[testPartition].position {
				return n
			}
		}
	}
	t.Fatal("the test partition has no owner")
	return nil
}

// healthy returns the running machines that don't count as lost.
func (sim *cluster) healthy() (out []*node) {
	for _, address := range sim.addresses {
		if n := sim.nodes[address]; n.up && !sim.countsAsLost(n) {
			out = append(out, n)
		}
	}
	return out
}

// machinesExcept returns all machines but the given ones.
func (sim *cluster) machinesExcept(except ...*node) (out []*node) {
	for _, address := range sim.addresses {
		if n := sim.nodes[address]; !slices.Contains(except, n) {
			out = append(out, n)
		}
	}
	return out
}

// lastMachineExcept returns the last machine that isn't one of the given ones.
func (sim *cluster) lastMachineExcept(except ...*node) *node {
	others := sim.machinesExcept(except...)
	return others[len(others)-1]
}

// freeze suspends a process for a while; others see it as unreachable.
func (sim *cluster) freeze(n *node, duration time.Duration) {
	n.frozenUntil, n.unreachableSince = sim.now+duration, sim.now
}

// unfreeze resumes a frozen process.
func (sim *cluster) unfreeze(n *node) {
	n.frozenUntil, n.unreachableSince = sim.now, 0
}

// separateOwners runs until the voter set and the test partition have different owners, and returns
// both. Until then the owner of the voter set transfers it to another member.
func (sim *cluster) separateOwners() (owner, voterSetOwner *node) {
	sim.waitFor("the voter set and the test partition have different owners", 40*time.Second, func() string {
		owner, voterSetOwner = sim.ownerOf(testPartition), sim.ownerOf(VoterSetPartition)
		if owner != nil && voterSetOwner != nil && owner != voterSetOwner {
			return ""
		}
		if voterSetOwner != nil {
			sim.runOn(voterSetOwner.address, voterSetOwner.runID, func() {
				part := voterSetOwner.replica.partitions[VoterSetPartition]
				voterSetOwner.replica.transfer(part)
				voterSetOwner.replica.becomeFollower(part, ErrNotOwner)
				part.noElectionUntil = sim.clock(voterSetOwner) + time.Minute
			})
		}
		return "they have the same owner, or one has none"
	})
	return owner, voterSetOwner
}
