package replication

// This file holds what fails in a world, and how much may at once.

import (
	"fmt"
	"maps"
	"slices"
	"strconv"
	"time"
)

// failureKind is what a failure does.
type failureKind int

const (
	restart            failureKind = iota // a process ends and comes back with its disk
	wipe                                  // a machine comes back with an empty disk
	freeze                                // a process stands still
	cutOff                                // machines are cut off from the others, both ways
	cutOutgoing                           // they hear but aren't heard
	cutIncoming                           // they are heard but don't hear
	cutPair                               // two machines don't reach each other
	stall                                 // a disk hangs
	refuse                                // a disk refuses writes
	replace                               // a machine is gone for good, an empty one comes at another address
	replaceFrozen                         // the same, but the machine wakes after that
	plannedReplacement                    // an empty machine comes, then another one leaves
	drain                                 // a process leaves in order and comes back
	killAll                               // all processes end at one moment
	wipeAndPowerLoss                      // after an acknowledgement some disks are lost, and all others lose power
	changeStream                          // an unbroken stream of changes
	lossyNetwork                          // messages are lost, late and out of order everywhere
	failureKinds
)

var kindNames = [...]string{"restart", "wipe", "freeze", "cutOff", "cutOutgoing", "cutIncoming", "cutPair", "stall", "refuse", "replace",
	"replaceFrozen", "plannedReplacement", "drain", "killAll", "wipeAndPowerLoss", "changeStream", "lossyNetwork"}

// failureTarget is which machine a failure strikes.
type failureTarget int

const (
	anyMachine    failureTarget = iota
	owner                       // of the test key
	voterSetOwner               // the owner of the roster
	newcomer                    // the machine that started last
	failureTargetCount
)

var targetNames = [...]string{"anyMachine", "owner", "voterSetOwner", "newcomer"}

// failure is one failure. It begins gap after the fault budget allows it.
type failure struct {
	kind         failureKind
	target       failureTarget
	index        int
	count        int // machines at once, as far as the budget allows
	delay        time.Duration
	duration     time.Duration
	replaceAfter time.Duration // until a successor comes, or disks that were lost come back
}

// countsAsLost says whether a machine counts as countsAsLost: while it is in failure, and until
// catchUpS after that. One that was removed counts until its successor has had that.
func (sim *cluster) countsAsLost(n *node) bool { return n.failures > 0 || sim.now < n.lostUntil }

// remainingFaults is how many more machines may be lost now.
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

// beginFailure and end mark the time in which a machine is in failure.
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

// failureTargets picks the machines that a failure strikes.
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
		case f.target == owner && n.replica.partitions[testPartition].role == roleOwner, f.target == voterSetOwner && n.replica.partitions[RosterKey].role == roleOwner:
			first = i
		case f.target == newcomer && n.id == sim.ids[len(sim.ids)-1]:
			first = i
		}
	}
	for i := 0; i < min(f.count, len(healthy)); i++ {
		out = append(out, healthy[(first+i)%len(healthy)])
	}
	return out
}

// injectFailure brings a failure about.
func (sim *cluster) injectFailure(f failure) {
	f.count = min(f.count, sim.remainingFaults())
	if sim.schedule.competing {
		sim.proposeTwoContents()
		sim.after(time.Duration(sim.rng.Intn(2000))*time.Millisecond, sim.proposeTwoContents) // while another takes over
		if f.kind == wipeAndPowerLoss {
			sim.onAck = append(sim.onAck, sim.repeatLastAck)
		}
	}
	all := func(fn func(n *node)) {
		for _, id := range slices.Clone(sim.ids) {
			fn(sim.nodes[id])
		}
	}
	powerOff := func(n *node) {
		sim.beginFailure(n)
		sim.crash(n.id, false)
		sim.after(f.duration+time.Duration(sim.rng.Intn(300))*time.Millisecond, func() { sim.recover(n) })
	}
	switch f.kind {
	case killAll:
		all(powerOff)
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
			for _, id := range sim.ids {
				if n := sim.nodes[id]; n.up && n.replica.partitions[testPartition].role == roleOwner {
					v := sim.changesSent
					sim.proposeVersion(id, testPartition, "s"+strconv.Itoa(int(v%4)), v, fmt.Sprint("storm", v), func(uint64, error) {})
				}
			}
			sim.after(15*time.Millisecond, next)
		}
		next()
		return
	case plannedReplacement:
		sim.beginFailure(sim.startReplacement())
		s := sim.nodes[sim.ids[len(sim.ids)-1]]
		s.unreachableSince = 0
		sim.endFailure(s)
		sim.pendingFailures++
		sim.after(testCatchUp, func() { sim.retire(f, 0) })
		return
	case wipeAndPowerLoss:
		// The budget may be used up when the acknowledgement comes.
		sim.onAck = append(sim.onAck, func() {
			f.count = min(f.count, sim.remainingFaults())
			lose := sim.failureTargets(f)
			all(func(n *node) {
				if !slices.Contains(lose, n) {
					powerOff(n)
				}
			})
			for _, n := range lose {
				sim.loseDisk(n, f.replaceAfter)
			}
		})
		return
	}
	targets := sim.failureTargets(f)
	for _, n := range targets {
		sim.beginFailure(n)
	}
	after := func(d time.Duration, fn func(n *node)) {
		for _, n := range targets {
			sim.after(d, func() { fn(n) })
		}
	}
	switch f.kind {
	case restart:
		for _, n := range targets {
			sim.crash(n.id, false)
		}
		after(f.duration, sim.recover)
	case wipe:
		for _, n := range targets {
			sim.crash(n.id, true)
		}
		after(f.duration, sim.recover)
	case freeze:
		for _, n := range targets {
			n.frozenUntil = sim.now + f.duration
		}
		after(f.duration, sim.endFailure)
	case cutOff, cutOutgoing, cutIncoming:
		sim.changeCuts(targets, f.kind != cutIncoming, f.kind != cutOutgoing, 1)
		others := slices.Collect(maps.Keys(sim.nodes))
		sim.after(f.duration, func() {
			// Machines that came meanwhile were never cut.
			sim.changeCutsTo(others, targets, f.kind != cutIncoming, f.kind != cutOutgoing, -1)
			for _, n := range targets {
				sim.endFailure(n)
			}
		})
	case cutPair:
		for _, n := range targets {
			n.unreachableSince = 0 // others still reach it
			o := sim.ids[(f.index/7+1)%len(sim.ids)]
			sim.cutLinks[[2]string{n.id, o}]++
			sim.cutLinks[[2]string{o, n.id}]++
			sim.after(f.duration, func() { sim.cutLinks[[2]string{n.id, o}]--; sim.cutLinks[[2]string{o, n.id}]--; sim.endFailure(n) })
		}
	case stall:
		for _, n := range targets {
			n.stalledUntil, n.unreachableSince = sim.now+f.duration, 0
		}
		after(f.duration, sim.endFailure)
	case refuse:
		for _, n := range targets {
			n.writesToRefuse, n.unreachableSince = 1+f.index%4, 0
		}
		after(f.duration, sim.endFailure)
	case replace:
		for _, n := range targets {
			sim.crash(n.id, true)
			sim.remove(n, f.replaceAfter)
		}
	case replaceFrozen:
		for _, n := range targets {
			n.frozenUntil = sim.now + f.duration
			sim.remove(n, f.replaceAfter)
			sim.pendingFailures++
		}
		after(f.duration, func(n *node) { n.unreachableSince = 0 })
		// It is at work for a while, and may get a seat. Then it is switched off, which
		// is a loss like any other.
		after(f.duration+4*time.Second, sim.shutDownForGood)
	case drain:
		for _, n := range targets {
			sim.drain(n, sim.now+3*time.Second, func() {
				sim.crash(n.id, false)
				sim.after(f.duration, func() { sim.recover(n) })
			})
		}
	}
}

// nextFailures begins the failures one after the other, each as soon as the budget allows.
func (sim *cluster) nextFailures() {
	if sim.nextFailure == len(sim.schedule.failures) {
		return
	}
	f := sim.schedule.failures[sim.nextFailure]
	need := 1
	if f.kind == killAll || f.kind == lossyNetwork || f.kind == changeStream {
		need = 0
	}
	if need > sim.remainingFaults() && need > 0 || len(sim.onAck) > 0 {
		sim.after(20*time.Millisecond, sim.nextFailures)
		return
	}
	sim.nextFailure++
	sim.pendingFailures++
	sim.after(f.delay, func() {
		sim.pendingFailures--
		if need <= sim.remainingFaults() || need == 0 {
			sim.injectFailure(f)
		}
		sim.after(10*time.Millisecond, sim.nextFailures)
	})
}

// close strikes right after an acknowledgement, at the earliest moment that the budget
// allows. The disks that are lost come back, empty, only after a while.
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
	for begin := sim.now; len(sim.onAck) > 0 && sim.now < begin+10*time.Second; {
		sim.runUntil(sim.now + time.Millisecond)
	}
	if len(sim.onAck) > 0 {
		sim.fatal("at %v nothing was acknowledged for 10 s, with nothing lost", sim.now)
	}
	sim.runUntil(sim.now + f.duration + 400*time.Millisecond)
}
