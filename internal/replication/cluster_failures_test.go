package replication

// This file holds the failures of a simulated cluster and the budget for simultaneous ones.

import (
	"fmt"
	"maps"
	"slices"
	"strconv"
	"time"
)

// failureKind is the kind of a failure.
type failureKind int

const (
	restart            failureKind = iota // a process crashes and starts again with its disk
	wipe                                  // a machine crashes and starts again with an empty disk
	freeze                                // a process is suspended
	cutOff                                // machines are cut off from the others in both directions
	cutOutgoing                           // they receive but can't send
	cutIncoming                           // they send but can't receive
	cutPair                               // two machines can't reach each other
	stall                                 // a disk doesn't complete writes
	refuse                                // a disk refuses writes
	replace                               // a machine is lost for good; an empty one starts at another address
	replaceFrozen                         // the machine is frozen and replaced, and resumes after that
	plannedReplacement                    // an empty machine is added, then another one is drained
	drain                                 // a process drains, shuts down and starts again
	killAll                               // all processes crash at once
	// wipeAndPowerLoss begins right after an acknowledgement: some disks are lost, and all other machines
	// lose power.
	wipeAndPowerLoss
	changeStream // a continuous stream of changes
	lossyNetwork // messages on all links are lost, delayed and reordered
	failureKindCount
)

var kindNames = [...]string{"restart", "wipe", "freeze", "cutOff", "cutOutgoing", "cutIncoming", "cutPair", "stall", "refuse", "replace",
	"replaceFrozen", "plannedReplacement", "drain", "killAll", "wipeAndPowerLoss", "changeStream", "lossyNetwork"}

// failureTarget says which machine a failure affects.
type failureTarget int

const (
	anyMachine    failureTarget = iota
	owner                       // the owner of the test partition
	voterSetOwner               // the owner of the voter set
	newest                      // the machine that was added last
	failureTargetCount
)

var targetNames = [...]string{"anyMachine", "owner", "voterSetOwner", "newest"}

// failure describes one failure. It begins delay after the fault budget allows it.
type failure struct {
	kind         failureKind
	target       failureTarget
	index        int
	count        int // number of machines affected at once, as far as the budget allows
	delay        time.Duration
	duration     time.Duration
	replaceAfter time.Duration // until a replacement starts, or a machine that lost its disk starts again
}

// countsAsLost reports whether a machine counts as lost: during a failure and for testCatchUp after
// it. A removed machine counts until its replacement has had that time.
func (sim *cluster) countsAsLost(n *node) bool { return n.failures > 0 || sim.now < n.lostUntil }

// remainingFaults returns how many more machines may be lost now.
func (sim *cluster) remainingFaults() int {
	remaining := sim.faults
	for _, n := range sim.nodes {
		if sim.countsAsLost(n) {
			remaining--
		}
	}
	if sim.noisyUntil > 0 && sim.now < sim.noisyUntil+testCatchUp {
		return min(remaining, 0)
	}
	return remaining
}

// beginFailure and endFailure mark the beginning and the end of a failure of a machine.
func (sim *cluster) beginFailure(n *node) {
	n.failures++
	if n.unreachableSince == 0 {
		n.unreachableSince = sim.now
	}
}

func (sim *cluster) endFailure(n *node) {
	if n.failures--; n.failures == 0 {
		n.unreachableSince = 0
		n.lostUntil = sim.now + testCatchUp
	}
}

// failureTargets returns the machines that a failure affects.
func (sim *cluster) failureTargets(f failure) (out []*node) {
	healthy := sim.healthy()
	if len(healthy) == 0 {
		return nil
	}
	if f.kind == drain {
		healthy = slices.DeleteFunc(healthy, func(n *node) bool { return n.leaving })
		if len(healthy) == 0 {
			return nil
		}
	}
	first := f.index % len(healthy)
	for i, n := range healthy {
		switch {
		case f.target == owner && n.replica.partitions[testPartition].role == roleOwner, f.target == voterSetOwner && n.replica.partitions[VoterSetPartition].role == roleOwner:
			first = i
		case f.target == newest && n.address == sim.addresses[len(sim.addresses)-1]:
			first = i
		}
	}
	for i := 0; i < min(f.count, len(healthy)); i++ {
		out = append(out, healthy[(first+i)%len(healthy)])
	}
	return out
}

// injectFailure begins a failure.
func (sim *cluster) injectFailure(f failure) {
	f.count = min(f.count, sim.remainingFaults())
	if sim.schedule.competing {
		sim.proposeTwoContents()
		// Two more contents are proposed later, during a takeover by another member.
		sim.after(time.Duration(sim.rng.Intn(2000))*time.Millisecond, sim.proposeTwoContents)
		if f.kind == wipeAndPowerLoss {
			sim.onAck = append(sim.onAck, sim.repeatLastAck)
		}
	}
	forAll := func(fn func(n *node)) {
		for _, address := range slices.Clone(sim.addresses) {
			fn(sim.nodes[address])
		}
	}
	powerOff := func(n *node) {
		sim.beginFailure(n)
		sim.crash(n.address, false)
		sim.after(f.duration+time.Duration(sim.rng.Intn(300))*time.Millisecond, func() { sim.recover(n) })
	}
	switch f.kind {
	case killAll:
		forAll(powerOff)
		return
	case lossyNetwork:
		sim.noisyUntil = sim.now + f.duration
		return
	case changeStream:
		until := sim.now + f.duration
		var next func()
		next = func() {
			if sim.now > until || sim.operatorsStopped {
				return
			}
			sim.changesSent++
			for _, address := range sim.addresses {
				if n := sim.nodes[address]; n.up && n.replica.partitions[testPartition].role == roleOwner {
					version := sim.changesSent
					sim.proposeVersion(address, testPartition, "s"+strconv.Itoa(int(version%4)), version, fmt.Sprint("storm", version), func(uint64, error) {})
				}
			}
			sim.after(15*time.Millisecond, next)
		}
		next()
		return
	case plannedReplacement:
		sim.beginFailure(sim.startReplacement())
		added := sim.nodes[sim.addresses[len(sim.addresses)-1]]
		added.unreachableSince = 0
		sim.endFailure(added)
		sim.pendingFailures++
		sim.after(testCatchUp, func() { sim.retire(f, 0) })
		return
	case wipeAndPowerLoss:
		// The budget may have been used up by the time of the acknowledgement.
		sim.onAck = append(sim.onAck, func() {
			f.count = min(f.count, sim.remainingFaults())
			wiped := sim.failureTargets(f)
			forAll(func(n *node) {
				if !slices.Contains(wiped, n) {
					powerOff(n)
				}
			})
			for _, n := range wiped {
				sim.loseDisk(n, f.replaceAfter)
			}
		})
		return
	}
	targets := sim.failureTargets(f)
	for _, n := range targets {
		sim.beginFailure(n)
	}
	afterwards := func(d time.Duration, fn func(n *node)) {
		for _, n := range targets {
			sim.after(d, func() { fn(n) })
		}
	}
	switch f.kind {
	case restart:
		for _, n := range targets {
			sim.crash(n.address, false)
		}
		afterwards(f.duration, sim.recover)
	case wipe:
		for _, n := range targets {
			sim.crash(n.address, true)
		}
		afterwards(f.duration, sim.recover)
	case freeze:
		for _, n := range targets {
			n.frozenUntil = sim.now + f.duration
		}
		afterwards(f.duration, sim.endFailure)
	case cutOff, cutOutgoing, cutIncoming:
		sim.changeCuts(targets, f.kind != cutIncoming, f.kind != cutOutgoing, 1)
		others := slices.Collect(maps.Keys(sim.nodes))
		sim.after(f.duration, func() {
			// Machines that were added in the meantime were never cut off.
			sim.changeCutsTo(others, targets, f.kind != cutIncoming, f.kind != cutOutgoing, -1)
			for _, n := range targets {
				sim.endFailure(n)
			}
		})
	case cutPair:
		for _, n := range targets {
			n.unreachableSince = 0 // others can still reach it
			other := sim.addresses[(f.index/7+1)%len(sim.addresses)]
			sim.cutLinks[[2]string{n.address, other}]++
			sim.cutLinks[[2]string{other, n.address}]++
			sim.after(f.duration, func() {
				sim.cutLinks[[2]string{n.address, other}]--
				sim.cutLinks[[2]string{other, n.address}]--
				sim.endFailure(n)
			})
		}
	case stall:
		for _, n := range targets {
			n.stalledUntil, n.unreachableSince = sim.now+f.duration, 0
		}
		afterwards(f.duration, sim.endFailure)
	case refuse:
		for _, n := range targets {
			n.writesToRefuse, n.unreachableSince = 1+f.index%4, 0
		}
		afterwards(f.duration, sim.endFailure)
	case replace:
		for _, n := range targets {
			sim.crash(n.address, true)
			sim.remove(n, f.replaceAfter)
		}
	case replaceFrozen:
		for _, n := range targets {
			n.frozenUntil = sim.now + f.duration
			sim.remove(n, f.replaceAfter)
			sim.pendingFailures++
		}
		afterwards(f.duration, func(n *node) { n.unreachableSince = 0 })
		// It runs for a while and may become a voter. Then it is shut down, which counts as a loss
		// like any other.
		afterwards(f.duration+4*time.Second, sim.shutDownForGood)
	case drain:
		for _, n := range targets {
			sim.drain(n, sim.now+3*time.Second, func() {
				sim.crash(n.address, false)
				sim.after(f.duration, func() { sim.recover(n) })
			})
		}
	}
}

// beginNextFailure begins the failures of the schedule one by one, each as soon as the budget allows.
func (sim *cluster) beginNextFailure() {
	if sim.nextFailure == len(sim.schedule.failures) {
		return
	}
	f := sim.schedule.failures[sim.nextFailure]
	need := 1
	if f.kind == killAll || f.kind == lossyNetwork || f.kind == changeStream {
		need = 0
	}
	if need > sim.remainingFaults() && need > 0 || len(sim.onAck) > 0 {
		sim.after(20*time.Millisecond, sim.beginNextFailure)
		return
	}
	sim.nextFailure++
	sim.pendingFailures++
	sim.after(f.delay, func() {
		sim.pendingFailures--
		if need <= sim.remainingFaults() || need == 0 {
			sim.injectFailure(f)
		}
		sim.after(10*time.Millisecond, sim.beginNextFailure)
	})
}

// injectLast injects the last failure, right after an acknowledgement for those that lose data.
// Machines that lose their disks start again, empty, only after a while.
func (sim *cluster) injectLast(f failure) {
	if sim.schedule.competing && f.kind == wipe {
		sim.onAck = append(sim.onAck, sim.repeatLastAck)
	}
	switch f.kind {
	case wipe:
		sim.onAck = append(sim.onAck, func() {
			for _, n := range sim.failureTargets(f) {
				sim.loseDisk(n, f.replaceAfter)
			}
		})
	case killAll:
		sim.onAck = append(sim.onAck, func() { sim.injectFailure(f) })
	default:
		sim.injectFailure(f)
	}
	for start := sim.now; len(sim.onAck) > 0 && sim.now < start+10*time.Second; {
		sim.runUntil(sim.now + time.Millisecond)
	}
	if len(sim.onAck) > 0 {
		sim.fatal("at %v no change had been acknowledged for 10 s, although no machine counted as lost", sim.now)
	}
	sim.runUntil(sim.now + f.duration + 400*time.Millisecond)
}
