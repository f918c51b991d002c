package replication

// This file holds what fails in a world, and how much may at once.

import (
	"fmt"
	"maps"
	"slices"
	"strconv"
	"time"
)

// kind is what a failure does.
type kind int

const (
	restart       kind = iota // a process ends and comes back with its disk
	wipe                      // a machine comes back with an empty disk
	freeze                    // a process stands still
	cutOff                    // machines are cut off from the others, both ways
	mute                      // they hear but aren't heard
	deaf                      // they are heard but don't hear
	link                      // two machines don't reach each other
	stall                     // a disk hangs
	refuse                    // a disk refuses writes
	replace                   // a machine is gone for good, an empty one comes at another address
	replaceFrozen             // the same, but the machine wakes after that
	planned                   // an empty machine comes, then another one leaves
	leave                     // a process leaves in order and comes back
	killAll                   // all processes end at one moment
	wipePower                 // after an acknowledgement some disks are lost, and all others lose power
	storm                     // an unbroken stream of changes
	noise                     // messages are lost, late and out of order everywhere
	kinds
)

var kindNames = [...]string{"restart", "wipe", "freeze", "cutOff", "mute", "deaf", "link", "stall", "refuse", "replace",
	"replaceFrozen", "planned", "leave", "killAll", "wipePower", "storm", "noise"}

// aim is which machine a failure strikes.
type aim int

const (
	any_     aim = iota
	owner        // of the test key
	keeper       // the owner of the roster
	newcomer     // the machine that started last
	failureTargets
)

var targetNames = [...]string{"any_", "owner", "keeper", "newcomer"}

// failure is one failure. It begins gap after the fault budget allows it.
type failure struct {
	kind  kind
	aim   aim
	who   int
	count int // machines at once, as far as the budget allows
	gap   time.Duration
	hold  time.Duration
	more  time.Duration // until a successor comes, or disks that were lost come back
}

// lost says whether a machine counts as lost: while it is in failure, and until
// catchUpS after that. One that was removed counts until its successor has had that.
func (w *world) lost(n *node) bool { return n.failures > 0 || w.now < n.lostUntil }

// free is how many more machines may be lost now.
func (w *world) free() int {
	free := w.faults
	for _, n := range w.nodes {
		if w.lost(n) {
			free--
		}
	}
	if w.noisy > 0 && w.now < w.noisy+testCatchUp {
		return min(free, 0)
	}
	return free
}

// begin and end mark the time in which a machine is in failure.
func (w *world) begin(n *node) {
	n.failures++
	if n.badSince == 0 {
		n.badSince = w.now
	}
}

func (w *world) end(n *node) {
	if n.failures--; n.failures == 0 {
		n.badSince = 0
		n.lostUntil = w.now + testCatchUp
	}
}

// targets picks the machines that a failure strikes.
func (w *world) targets(t failure) (out []*node) {
	sound := w.sound()
	if len(sound) == 0 {
		return nil
	}
	if t.kind == leave {
		sound = slices.DeleteFunc(sound, func(n *node) bool { return n.goes })
		if len(sound) == 0 {
			return nil
		}
	}
	first := t.who % len(sound)
	for i, n := range sound {
		switch {
		case t.aim == owner && n.m.keys[testKey].role == roleOwner, t.aim == keeper && n.m.keys[RosterKey].role == roleOwner:
			first = i
		case t.aim == newcomer && n.id == w.ids[len(w.ids)-1]:
			first = i
		}
	}
	for i := 0; i < min(t.count, len(sound)); i++ {
		out = append(out, sound[(first+i)%len(sound)])
	}
	return out
}

// inject brings a failure about.
func (w *world) inject(t failure) {
	t.count = min(t.count, w.free())
	if w.schedule.rivals {
		w.race()
		w.at(time.Duration(w.rng.Intn(2000))*time.Millisecond, w.race) // while another takes over
		if t.kind == wipePower {
			w.onAck = append(w.onAck, w.raceLastAck)
		}
	}
	all := func(fn func(n *node)) {
		for _, id := range slices.Clone(w.ids) {
			fn(w.nodes[id])
		}
	}
	powerOff := func(n *node) {
		w.begin(n)
		w.crash(n.id, false)
		w.at(t.hold+time.Duration(w.rng.Intn(300))*time.Millisecond, func() { w.recover(n) })
	}
	switch t.kind {
	case killAll:
		all(powerOff)
		return
	case noise:
		w.noisy = w.now + t.hold
		return
	case storm:
		until := w.now + t.hold
		var next func()
		next = func() {
			if w.now > until || w.operatorsStopped {
				return
			}
			w.sent++
			for _, id := range w.ids {
				if n := w.nodes[id]; n.up && n.m.keys[testKey].role == roleOwner {
					v := w.sent
					w.ask(id, testKey, "s"+strconv.Itoa(int(v%4)), v, fmt.Sprint("storm", v), func(uint64, error) {})
				}
			}
			w.at(15*time.Millisecond, next)
		}
		next()
		return
	case planned:
		w.begin(w.successor())
		s := w.nodes[w.ids[len(w.ids)-1]]
		s.badSince = 0
		w.end(s)
		w.pendingFailures++
		w.at(testCatchUp, func() { w.retire(t, 0) })
		return
	case wipePower:
		// The budget may be used up when the acknowledgement comes.
		w.onAck = append(w.onAck, func() {
			t.count = min(t.count, w.free())
			lose := w.targets(t)
			all(func(n *node) {
				if !slices.Contains(lose, n) {
					powerOff(n)
				}
			})
			for _, n := range lose {
				w.loseDisk(n, t.more)
			}
		})
		return
	}
	hit := w.targets(t)
	for _, n := range hit {
		w.begin(n)
	}
	after := func(d time.Duration, fn func(n *node)) {
		for _, n := range hit {
			w.at(d, func() { fn(n) })
		}
	}
	switch t.kind {
	case restart:
		for _, n := range hit {
			w.crash(n.id, false)
		}
		after(t.hold, w.recover)
	case wipe:
		for _, n := range hit {
			w.crash(n.id, true)
		}
		after(t.hold, w.recover)
	case freeze:
		for _, n := range hit {
			n.frozen = w.now + t.hold
		}
		after(t.hold, w.end)
	case cutOff, mute, deaf:
		w.sever(hit, t.kind != deaf, t.kind != mute, 1)
		others := slices.Collect(maps.Keys(w.nodes))
		w.at(t.hold, func() {
			// Machines that came meanwhile were never cut.
			w.severFrom(others, hit, t.kind != deaf, t.kind != mute, -1)
			for _, n := range hit {
				w.end(n)
			}
		})
	case link:
		for _, n := range hit {
			n.badSince = 0 // others still reach it
			o := w.ids[(t.who/7+1)%len(w.ids)]
			w.cut[[2]string{n.id, o}]++
			w.cut[[2]string{o, n.id}]++
			w.at(t.hold, func() { w.cut[[2]string{n.id, o}]--; w.cut[[2]string{o, n.id}]--; w.end(n) })
		}
	case stall:
		for _, n := range hit {
			n.stall, n.badSince = w.now+t.hold, 0
		}
		after(t.hold, w.end)
	case refuse:
		for _, n := range hit {
			n.refuse, n.badSince = 1+t.who%4, 0
		}
		after(t.hold, w.end)
	case replace:
		for _, n := range hit {
			w.crash(n.id, true)
			w.remove(n, t.more)
		}
	case replaceFrozen:
		for _, n := range hit {
			n.frozen = w.now + t.hold
			w.remove(n, t.more)
			w.pendingFailures++
		}
		after(t.hold, func(n *node) { n.badSince = 0 })
		// It is at work for a while, and may get a seat. Then it is switched off, which
		// is a loss like any other.
		after(t.hold+4*time.Second, w.switchOff)
	case leave:
		for _, n := range hit {
			w.goInOrder(n, w.now+3*time.Second, func() {
				w.crash(n.id, false)
				w.at(t.hold, func() { w.recover(n) })
			})
		}
	}
}

// advance begins the failures one after the other, each as soon as the budget allows.
func (w *world) advance() {
	if w.nextFailure == len(w.schedule.failures) {
		return
	}
	t := w.schedule.failures[w.nextFailure]
	need := 1
	if t.kind == killAll || t.kind == noise || t.kind == storm {
		need = 0
	}
	if need > w.free() && need > 0 || len(w.onAck) > 0 {
		w.at(20*time.Millisecond, w.advance)
		return
	}
	w.nextFailure++
	w.pendingFailures++
	w.at(t.gap, func() {
		w.pendingFailures--
		if need <= w.free() || need == 0 {
			w.inject(t)
		}
		w.at(10*time.Millisecond, w.advance)
	})
}

// close strikes right after an acknowledgement, at the earliest moment that the budget
// allows. The disks that are lost come back, empty, only after a while.
func (w *world) injectLast(t failure) {
	if w.schedule.rivals && t.kind == wipe {
		w.onAck = append(w.onAck, w.raceLastAck)
	}
	switch t.kind {
	case wipe:
		w.onAck = append(w.onAck, func() {
			for _, n := range w.targets(t) {
				w.loseDisk(n, t.more)
			}
		})
	case killAll:
		w.onAck = append(w.onAck, func() { w.inject(t) })
	default:
		w.inject(t)
	}
	for begin := w.now; len(w.onAck) > 0 && w.now < begin+10*time.Second; {
		w.run(w.now + time.Millisecond)
	}
	if len(w.onAck) > 0 {
		w.fatal("at %v nothing was acknowledged for 10 s, with nothing lost", w.now)
	}
	w.run(w.now + t.hold + 400*time.Millisecond)
}
