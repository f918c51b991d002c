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
	id      string
	m       *Replica
	up      bool
	frozen  time.Duration
	disk    replicationtest.Disk // durable
	pending []*pendingWrite
	life    int
	stall   time.Duration
	diskAt  time.Duration
	lastPos map[string]Position
	owning  map[string]Epoch
	boot    bool
	older   bool // it runs a version without heartbeats
	left    bool // it has said that it goes
	refuse  int
	failed  bool          // its disk has refused a write and takes only the whole state
	born    time.Duration // every process counts time from its own start

	failures  int           // how many are under way
	badSince  time.Duration // since when it has been down, frozen or cut off
	lostUntil time.Duration // it counts as lost until then
	goes      bool          // it leaves for good
	removed   bool
}

// add adds a machine, which is not started yet.
func (w *world) add(i, zones int, boot bool) string {
	id := fmt.Sprintf("10.0.0.%02d:7661", i)
	w.ids = append(w.ids, id)
	if zones > 0 {
		w.zones[id] = fmt.Sprintf("zone-%d", i%zones)
	}
	w.nodes[id] = &node{id: id, disk: replicationtest.Disk{}, boot: boot, older: w.older > 0 && i%w.older == 0}
	return id
}

func (w *world) clock(n *node) time.Duration { return w.now - n.born }

func (w *world) start(id string) {
	n := w.nodes[id]
	n.up, n.left, n.failed = true, false, false
	n.badSince = 0
	n.life++
	n.diskAt, n.born, n.pending = 0, w.now, nil
	w.lives++
	n.lastPos, n.owning = map[string]Position{}, map[string]Epoch{}
	cfg := Config{Self: id, Life: w.lives, Identity: w.rng.Uint64() | 1, Seeds: w.seeds, Faults: w.faults,
		Left:  func(o string) bool { return w.nodes[o] != nil && w.nodes[o].left },
		Peers: func() []string { return w.ids },
		Zone:  func(o string) string { return w.zones[o] }, Bootstrap: n.boot, Empty: len(n.disk) == 0, Keys: w.keys,
		Beat: testBeat, Vacant: testVacant, Patience: 900 * time.Millisecond, HandBack: 4 * time.Second, Sure: []string{testKey},
		Alive: func(o string) bool { return w.alive(id, o) }}
	n.boot = false
	m, err := NewReplica(cfg, n.disk)
	if err != nil {
		w.fatal("%v", err)
	}
	n.m = m
	w.tick(id, n.life)
}

func (w *world) tick(id string, life int) {
	n := w.nodes[id]
	if !n.up || n.life != life {
		return
	}
	if n.frozen <= w.now { // a timer doesn't gather what was missed
		w.on(id, life, func() { n.m.Tick(w.clock(n)) })
	}
	w.at(100*time.Millisecond, func() { w.tick(id, life) })
}

// on runs a step of a node and carries out its effects.
func (w *world) on(id string, life int, step func()) {
	n := w.nodes[id]
	if !n.up || n.life != life {
		return
	}
	if n.frozen > w.now {
		// What has gathered is done in any order when it wakes.
		w.at(n.frozen-w.now+time.Duration(1+w.rng.Intn(50))*time.Microsecond, func() { w.on(id, life, step) })
		return
	}
	step()
	w.sure(n)
	w.begins(n)
	fx := n.m.Take()
	for _, e := range fx.Send {
		w.deliver(id, e)
	}
	for _, wr := range fx.Writes {
		w.write(n, life, &pendingWrite{wr.Entries, false}, wr.ID)
	}
	if fx.Rewrite {
		entries, upTo := n.m.Snapshot()
		w.write(n, life, &pendingWrite{entries, true}, upTo)
	}
	for _, key := range fx.Committed {
		w.see(n, key)
	}
}

// alive is what a member takes for known of another: silence is noticed after a while.
func (w *world) alive(viewer, o string) bool {
	bad := func(id string) bool {
		n := w.nodes[id]
		return n != nil && (n.removed && !n.up || n.badSince > 0 && w.now-n.badSince > time.Second)
	}
	return !bad(o) && !bad(viewer)
}

// crash ends a process; wipe takes its disk too. Of the writes under way a first part
// may still be on the disk.
func (w *world) crash(id string, wipe bool) {
	n := w.nodes[id]
	if !n.up {
		if wipe {
			n.disk = replicationtest.Disk{}
		}
		return
	}
	n.up = false
	n.frozen = min(n.frozen, w.now)
	n.stall = min(n.stall, w.now)
	if n.badSince == 0 {
		n.badSince = w.now
	}
	if wipe {
		n.disk = replicationtest.Disk{}
		return
	}
	if !n.failed && n.refuse == 0 {
		for _, p := range n.pending[:w.rng.Intn(len(n.pending)+1)] {
			n.take(p)
		}
	}
}

// switchOff ends a machine for good as soon as the budget allows.
func (w *world) switchOff(n *node) {
	if w.free() < 1 {
		w.at(20*time.Millisecond, func() { w.switchOff(n) })
		return
	}
	w.begin(n)
	w.crash(n.id, true)
	w.at(testCatchUp, func() { n.failures--; w.pendingFailures-- })
}

// loseDisk ends a machine, which comes back empty.
func (w *world) loseDisk(n *node, after time.Duration) {
	w.begin(n)
	w.crash(n.id, true)
	w.at(after, func() { w.recover(n) })
}

// remove takes a machine away for good; its successor starts later.
func (w *world) remove(n *node, after time.Duration) {
	n.removed = true
	w.ids = slices.DeleteFunc(w.ids, func(id string) bool { return id == n.id })
	w.at(after, func() {
		s := w.successor()
		w.at(testCatchUp, func() { n.failures--; _ = s })
	})
}

// successor starts an empty machine. Its seeds are those of the first day, which may be
// gone by now.
func (w *world) successor() *node {
	w.newest++
	id := w.add(w.newest, w.schedule.zones, false)
	w.start(id)
	return w.nodes[id]
}

// recover ends a machine's failure and starts it again.
func (w *world) recover(n *node) {
	w.back(n)
	w.end(n)
}

// back starts a machine again, unless it has been replaced.
func (w *world) back(n *node) {
	if !n.removed && !n.up {
		w.start(n.id)
	}
}

// goInOrder makes a member leave and calls then once it may go, or at the given time.
func (w *world) goInOrder(n *node, until time.Duration, then func()) {
	life := 0
	var poll func()
	poll = func() {
		may := false
		if n.up && n.frozen <= w.now {
			if life != n.life {
				life = n.life
				w.on(n.id, n.life, func() { n.m.Leave(w.clock(n)) })
			}
			may = n.m.MayGo(w.clock(n))
		}
		if may || w.now >= until {
			n.left = true
			then()
			return
		}
		w.at(50*time.Millisecond, poll)
	}
	poll()
}

// retire takes a machine away in order, once its successor has had its time.
func (w *world) retire(t failure, tries int) {
	hit := w.targets(t)
	if len(hit) == 0 || hit[0].goes || hit[0].id == w.ids[len(w.ids)-1] {
		if tries < 100 {
			t.aim, t.who = any_, t.who+1
			w.at(100*time.Millisecond, func() { w.retire(t, tries+1) })
		} else {
			w.pendingFailures--
		}
		return
	}
	n := hit[0]
	n.goes = true
	w.goInOrder(n, w.now+time.Minute, func() {
		w.crash(n.id, true)
		n.removed = true
		w.pendingFailures--
		w.ids = slices.DeleteFunc(w.ids, func(id string) bool { return id == n.id })
	})
}

// holder is the node that owns a key; nil: none does.
func (w *world) holder(key string) *node {
	for _, id := range w.ids {
		if n := w.nodes[id]; n.up && n.frozen <= w.now && n.m.keys[key] != nil && n.m.keys[key].role == roleOwner {
			return n
		}
	}
	return nil
}

// settle runs a world until the test key has an owner, and returns it.
func (w *world) settle(t *testing.T) *node {
	t.Helper()
	for end := w.now + 20*time.Second; w.now < end; {
		w.run(w.now + 100*time.Millisecond)
		for _, id := range w.ids {
			if n := w.nodes[id]; n.up && n.frozen <= w.now && n.m.keys[testKey].role == roleOwner && n.m.keys[testKey].commit == n.m.keys[testKey].position {
				return n
			}
		}
	}
	t.Fatal("the key has no owner")
	return nil
}

// sound lists the machines that are there and in no failure.
func (w *world) sound() (out []*node) {
	for _, id := range w.ids {
		if n := w.nodes[id]; n.up && !w.lost(n) {
			out = append(out, n)
		}
	}
	return out
}

// others lists the machines that are there, except some.
func (w *world) others(except ...*node) (out []*node) {
	for _, id := range w.ids {
		if n := w.nodes[id]; !slices.Contains(except, n) {
			out = append(out, n)
		}
	}
	return out
}

// lastOther is the last of the others.
func (w *world) lastOther(except ...*node) *node {
	others := w.others(except...)
	return others[len(others)-1]
}

// freeze lets a process stand still for a while, which others notice.
func (w *world) freeze(n *node, d time.Duration) {
	n.frozen, n.badSince = w.now+d, w.now
}

// wake ends that.
func (w *world) wake(n *node) {
	n.frozen, n.badSince = w.now, 0
}

// separateOwners runs until the roster has another owner than the test key, and returns
// both. Until then whoever owns the roster gives it away.
func (w *world) separateOwners() (owner, keeper *node) {
	w.until("the roster has another owner than the test key", 40*time.Second, func() string {
		owner, keeper = w.holder(testKey), w.holder(RosterKey)
		if owner != nil && keeper != nil && owner != keeper {
			return ""
		}
		if keeper != nil {
			w.on(keeper.id, keeper.life, func() {
				k := keeper.m.keys[RosterKey]
				keeper.m.transfer(k)
				keeper.m.becomeFollower(k, ErrNotOwner)
				k.noElectionUntil = w.clock(keeper) + time.Minute
			})
		}
		return "it is the same"
	})
	return owner, keeper
}
