package replication

import (
	"fmt"
	"math/rand"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// kind is what a trouble does.
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

// aim is which machine a trouble strikes.
type aim int

const (
	any_     aim = iota
	owner        // of the test key
	keeper       // the owner of the roster
	newcomer     // the machine that started last
	aims
)

var aimNames = [...]string{"any_", "owner", "keeper", "newcomer"}

// trouble is one failure. It begins gap after the fault budget allows it.
type trouble struct {
	kind  kind
	aim   aim
	who   int
	count int // machines at once, as far as the budget allows
	gap   time.Duration
	hold  time.Duration
	more  time.Duration // until a successor comes, or disks that were lost come back
}

// schedule is all that a run of the model depends on.
type schedule struct {
	seed                   int64
	members, faults, zones int
	older                  int  // see world
	rivals                 bool // operators race each other: see rivals_test.go
	troubles               []trouble
	closing                *trouble
}

func (s schedule) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "schedule{seed: %d, members: %d, faults: %d, zones: %d", s.seed, s.members, s.faults, s.zones)
	if s.older > 0 {
		fmt.Fprintf(&b, ", older: %d", s.older)
	}
	if s.rivals {
		b.WriteString(", rivals: true")
	}
	put := func(t trouble) string {
		out := "{" + fmt.Sprintf("kind: %s, aim: %s, who: %d, count: %d", kindNames[t.kind], aimNames[t.aim], t.who, t.count)
		for _, d := range []struct {
			name string
			d    time.Duration
		}{{"gap", t.gap}, {"hold", t.hold}, {"more", t.more}} {
			if d.d > 0 {
				out += fmt.Sprintf(", %s: %d * time.Millisecond", d.name, d.d/time.Millisecond)
			}
		}
		return out + "}"
	}
	b.WriteString(", troubles: []trouble{")
	for _, t := range s.troubles {
		b.WriteString("\n\t" + put(t) + ",")
	}
	b.WriteString("\n}")
	if s.closing != nil {
		b.WriteString(", closing: &trouble" + put(*s.closing))
	}
	return b.String() + "}"
}

// draw draws the schedule of a seed.
func draw(seed int64) schedule {
	r := rand.New(rand.NewSource(seed))
	ms := func(least, spread int) time.Duration { return time.Duration(least+r.Intn(spread)) * time.Millisecond }
	s := schedule{seed: seed, members: 4, faults: 1, zones: 3 + r.Intn(3)}
	switch r.Intn(6) {
	case 0:
	case 1:
		s.members = 5
	case 2, 3:
		s.members, s.faults = 5, 2
	case 4:
		s.members, s.faults = 6, 2
	case 5:
		s.members, s.faults = 8, 2
	}
	if seed%3 == 0 {
		s.older = 2
	}
	s.rivals = seed%2 == 0
	one := func(k kind) trouble {
		t := trouble{kind: k, who: r.Intn(100), count: 1 + r.Intn(s.faults), hold: ms(300, 3500)}
		if r.Intn(2) == 0 {
			t.aim = aim(r.Intn(int(aims)))
		}
		if r.Intn(2) == 0 {
			t.gap = ms(1, 3000)
		}
		switch k {
		case cutOff, mute, deaf, link, freeze:
			if r.Intn(3) == 0 {
				t.hold = ms(8000, 15000)
			}
		case replace:
			t.more = ms(200, 6000)
		case replaceFrozen:
			t.hold, t.more = ms(4000, 12000), ms(200, 4000)
		case storm:
			t.hold = ms(2000, 6000)
		case noise:
			t.hold = ms(500, 2500)
		case wipePower:
			t.more = ms(500, 4000)
		}
		return t
	}
	for n := 5 + r.Intn(6); len(s.troubles) < n; {
		switch k := kind(r.Intn(int(kinds))); k {
		case leave: // a rolling restart
			for i := 0; i < s.members; i++ {
				s.troubles = append(s.troubles, trouble{kind: leave, who: i, count: 1, hold: ms(300, 1200)})
			}
		case cutOff, mute, deaf, link: // many in a row
			for i := 1 + r.Intn(3); i > 0; i-- {
				s.troubles = append(s.troubles, one([]kind{cutOff, mute, deaf, link}[r.Intn(4)]))
			}
		default:
			s.troubles = append(s.troubles, one(k))
		}
	}
	if r.Intn(5) > 0 {
		c := one([]kind{killAll, wipe, wipePower, wipePower}[r.Intn(4)])
		c.gap, c.count, c.more, c.hold = 0, s.faults, ms(500, 12000), ms(300, 1500)
		s.closing = &c
	}
	return s
}

// play is a schedule that is being run.
type play struct {
	*world
	s     schedule
	next  int
	open  int  // machines that are still to be switched off or to leave
	stop  bool // operators rest
	fresh int  // number of the newest machine
}

// lost says whether a machine counts as lost: while it is in trouble, and until
// catchUpS after that. One that was removed counts until its successor has had that.
func (w *world) lost(n *node) bool { return n.troubles > 0 || w.now < n.lostUntil }

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

// begin and end mark the time in which a machine is in trouble.
func (w *world) begin(n *node) {
	n.troubles++
	if n.badSince == 0 {
		n.badSince = w.now
	}
}

func (w *world) end(n *node) {
	if n.troubles--; n.troubles == 0 {
		n.badSince = 0
		n.lostUntil = w.now + testCatchUp
	}
}

// remove takes a machine away for good; its successor starts later.
func (p *play) remove(n *node, after time.Duration) {
	n.removed = true
	p.ids = slices.DeleteFunc(p.ids, func(id string) bool { return id == n.id })
	p.at(after, func() {
		s := p.successor()
		p.at(testCatchUp, func() { n.troubles--; _ = s })
	})
}

// successor starts an empty machine. Its seeds are those of the first day, which may be
// gone by now.
func (p *play) successor() *node {
	p.fresh++
	id := p.add(p.fresh, p.s.zones, false)
	p.start(id)
	return p.nodes[id]
}

// back starts a machine again, unless it has been replaced.
func (p *play) back(n *node) {
	if !n.removed && !n.up {
		p.start(n.id)
	}
}

// sound lists the machines that are there and in no trouble.
func (p *play) sound() (out []*node) {
	for _, id := range p.ids {
		if n := p.nodes[id]; n.up && !p.lost(n) {
			out = append(out, n)
		}
	}
	return out
}

// targets picks the machines that a trouble strikes.
func (p *play) targets(t trouble) (out []*node) {
	sound := p.sound()
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
		case t.aim == owner && n.m.keys[testKey].role == owns, t.aim == keeper && n.m.keys[RosterKey].role == owns:
			first = i
		case t.aim == newcomer && n.id == p.ids[len(p.ids)-1]:
			first = i
		}
	}
	for i := 0; i < min(t.count, len(sound)); i++ {
		out = append(out, sound[(first+i)%len(sound)])
	}
	return out
}

// sever cuts the ways from some machines to all others, the ways back, or both.
func (p *play) sever(from []*node, out, in bool, by int) {
	for _, n := range from {
		for id, o := range p.nodes {
			if !slices.Contains(from, o) {
				if out {
					p.cut[[2]string{n.id, id}] += by
				}
				if in {
					p.cut[[2]string{id, n.id}] += by
				}
			}
		}
	}
}

// strike brings a trouble about.
func (p *play) strike(t trouble) {
	t.count = min(t.count, p.free())
	if p.s.rivals {
		p.race()
		p.at(time.Duration(p.rng.Intn(2000))*time.Millisecond, p.race) // while another takes over
		if t.kind == wipePower {
			p.onAck = append(p.onAck, p.raceLastAck)
		}
	}
	all := func(fn func(n *node)) {
		for _, id := range slices.Clone(p.ids) {
			fn(p.nodes[id])
		}
	}
	powerOff := func(n *node) {
		p.begin(n)
		p.crash(n.id, false)
		p.at(t.hold+time.Duration(p.rng.Intn(300))*time.Millisecond, func() { p.back(n); p.end(n) })
	}
	switch t.kind {
	case killAll:
		all(powerOff)
		return
	case noise:
		p.noisy = p.now + t.hold
		return
	case storm:
		until := p.now + t.hold
		var next func()
		next = func() {
			if p.now > until || p.stop {
				return
			}
			p.sent++
			for _, id := range p.ids {
				if n := p.nodes[id]; n.up && n.m.keys[testKey].role == owns {
					v := p.sent
					p.ask(id, testKey, "s"+strconv.Itoa(int(v%4)), v, fmt.Sprint("storm", v), func(uint64, error) {})
				}
			}
			p.at(15*time.Millisecond, next)
		}
		next()
		return
	case planned:
		p.begin(p.successor())
		s := p.nodes[p.ids[len(p.ids)-1]]
		s.badSince = 0
		p.end(s)
		p.open++
		p.at(testCatchUp, func() { p.retire(t, 0) })
		return
	case wipePower:
		// The budget may be used up when the acknowledgement comes.
		p.onAck = append(p.onAck, func() {
			t.count = min(t.count, p.free())
			lose := p.targets(t)
			all(func(n *node) {
				if !slices.Contains(lose, n) {
					powerOff(n)
				}
			})
			for _, n := range lose {
				p.loseDisk(n, t.more)
			}
		})
		return
	}
	hit := p.targets(t)
	for _, n := range hit {
		p.begin(n)
	}
	after := func(d time.Duration, fn func(n *node)) {
		for _, n := range hit {
			p.at(d, func() { fn(n) })
		}
	}
	ends := func(n *node) { p.end(n) }
	switch t.kind {
	case restart:
		for _, n := range hit {
			p.crash(n.id, false)
		}
		after(t.hold, func(n *node) { p.back(n); p.end(n) })
	case wipe:
		for _, n := range hit {
			p.crash(n.id, true)
		}
		after(t.hold, func(n *node) { p.back(n); p.end(n) })
	case freeze:
		for _, n := range hit {
			n.frozen = p.now + t.hold
		}
		after(t.hold, ends)
	case cutOff, mute, deaf:
		p.sever(hit, t.kind != deaf, t.kind != mute, 1)
		ids := slices.Sorted(func(yield func(string) bool) {
			for id := range p.nodes {
				if !yield(id) {
					return
				}
			}
		})
		p.at(t.hold, func() {
			// Machines that came meanwhile were never cut.
			for _, n := range hit {
				for _, id := range ids {
					if !slices.ContainsFunc(hit, func(o *node) bool { return o.id == id }) {
						if t.kind != deaf {
							p.cut[[2]string{n.id, id}]--
						}
						if t.kind != mute {
							p.cut[[2]string{id, n.id}]--
						}
					}
				}
				p.end(n)
			}
		})
	case link:
		for _, n := range hit {
			n.badSince = 0 // others still reach it
			o := p.ids[(t.who/7+1)%len(p.ids)]
			p.cut[[2]string{n.id, o}]++
			p.cut[[2]string{o, n.id}]++
			p.at(t.hold, func() { p.cut[[2]string{n.id, o}]--; p.cut[[2]string{o, n.id}]--; p.end(n) })
		}
	case stall:
		for _, n := range hit {
			n.stall, n.badSince = p.now+t.hold, 0
		}
		after(t.hold, ends)
	case refuse:
		for _, n := range hit {
			n.refuse, n.badSince = 1+t.who%4, 0
		}
		after(t.hold, ends)
	case replace:
		for _, n := range hit {
			p.crash(n.id, true)
			p.remove(n, t.more)
		}
	case replaceFrozen:
		for _, n := range hit {
			n.frozen = p.now + t.hold
			p.remove(n, t.more)
			p.open++
		}
		after(t.hold, func(n *node) { n.badSince = 0 })
		// It is at work for a while, and may get a seat. Then it is switched off, which
		// is a loss like any other.
		after(t.hold+4*time.Second, p.switchOff)
	case leave:
		for _, n := range hit {
			p.goInOrder(n, p.now+3*time.Second, func() {
				p.crash(n.id, false)
				p.at(t.hold, func() { p.back(n); p.end(n) })
			})
		}
	}
}

// switchOff ends a machine for good as soon as the budget allows.
func (p *play) switchOff(n *node) {
	if p.free() < 1 {
		p.at(20*time.Millisecond, func() { p.switchOff(n) })
		return
	}
	p.begin(n)
	p.crash(n.id, true)
	p.at(testCatchUp, func() { n.troubles--; p.open-- })
}

// loseDisk ends a machine, which comes back empty.
func (p *play) loseDisk(n *node, after time.Duration) {
	p.begin(n)
	p.crash(n.id, true)
	p.at(after, func() { p.back(n); p.end(n) })
}

// goInOrder makes a member leave and calls then once it may go, or at the given time.
func (p *play) goInOrder(n *node, until time.Duration, then func()) {
	life := 0
	var poll func()
	poll = func() {
		may := false
		if n.up && n.frozen <= p.now {
			if life != n.life {
				life = n.life
				p.on(n.id, n.life, func() { n.m.Leave(p.clock(n)) })
			}
			may = n.m.MayGo(p.clock(n))
		}
		if may || p.now >= until {
			n.left = true
			then()
			return
		}
		p.at(50*time.Millisecond, poll)
	}
	poll()
}

// retire takes a machine away in order, once its successor has had its time.
func (p *play) retire(t trouble, tries int) {
	hit := p.targets(t)
	if len(hit) == 0 || hit[0].goes || hit[0].id == p.ids[len(p.ids)-1] {
		if tries < 100 {
			t.aim, t.who = any_, t.who+1
			p.at(100*time.Millisecond, func() { p.retire(t, tries+1) })
		} else {
			p.open--
		}
		return
	}
	n := hit[0]
	n.goes = true
	p.goInOrder(n, p.now+time.Minute, func() {
		p.crash(n.id, true)
		n.removed = true
		p.open--
		p.ids = slices.DeleteFunc(p.ids, func(id string) bool { return id == n.id })
	})
}

// advance begins the troubles one after the other, each as soon as the budget allows.
func (p *play) advance() {
	if p.next == len(p.s.troubles) {
		return
	}
	t := p.s.troubles[p.next]
	need := 1
	if t.kind == killAll || t.kind == noise || t.kind == storm {
		need = 0
	}
	if need > p.free() && need > 0 || len(p.onAck) > 0 {
		p.at(20*time.Millisecond, p.advance)
		return
	}
	p.next++
	p.open++
	p.at(t.gap, func() {
		p.open--
		if need <= p.free() || need == 0 {
			p.strike(t)
		}
		p.at(10*time.Millisecond, p.advance)
	})
}

// operator sends changes of a key, each with the version after the one it knows, and
// sends each again until it has a clear answer.
func (p *play) operator(name, key string) {
	known := map[string]uint64{}
	count := 0
	var next func()
	var send func(rec string, version uint64, data string)
	send = func(rec string, version uint64, data string) {
		answered := false
		again := func(d time.Duration) {
			if answered {
				return
			}
			answered = true
			p.at(d, func() { send(rec, version, data) })
		}
		n := p.nodes[p.ids[p.rng.Intn(len(p.ids))]]
		to := ""
		if n.up && n.frozen <= p.now {
			if to = n.m.Owner(p.clock(n), key); to == "" {
				to = n.m.Founder(p.clock(n), key)
			}
		}
		if p.stop {
			return
		}
		if to == "" || p.nodes[to] == nil {
			again(200 * time.Millisecond)
			return
		}
		lost := p.rng.Intn(10) == 0
		p.ask(to, key, rec, version, data, func(stands uint64, err error) {
			switch {
			case lost || answered:
			case err == nil || err == errConflict:
				answered = true
				known[rec] = stands
				if err == nil && p.rng.Intn(5) == 0 {
					p.at(time.Millisecond, func() { send(rec, version, data) }) // once more
					return
				}
				p.at(time.Duration(50+p.rng.Intn(400))*time.Millisecond, next)
			default:
				again(150 * time.Millisecond)
			}
		})
		p.at(1200*time.Millisecond, func() { again(0) })
	}
	next = func() {
		if p.stop {
			return
		}
		if p.rng.Intn(3) == 0 {
			n := p.nodes[p.ids[p.rng.Intn(len(p.ids))]]
			if n.up {
				p.world.read(n.id, key, func(error) {})
				if o := n.m.Owner(p.clock(n), key); o != "" && p.nodes[o] != nil {
					p.world.read(o, key, func(error) {})
				}
			}
		}
		count++
		rec := []string{"x", "y", "z"}[p.rng.Intn(3)]
		send(rec, known[rec]+1, fmt.Sprintf("%s.%d", name, count))
	}
	next()
}

// modelFailure is a broken rule.
type modelFailure string

// perform runs a schedule and says which rule broke, if any.
func perform(s schedule) (broken string, w *world) {
	var p *play
	defer func() {
		switch f := recover().(type) {
		case nil:
		case modelFailure:
			broken = string(f)
		default:
			panic(f)
		}
	}()
	w = emptyWorld(s.seed, s.faults)
	w.fatal = func(format string, args ...any) { panic(modelFailure(fmt.Sprintf(format, args...))) }
	w.extra = true
	w.older = s.older
	w.keys = []string{testKey, "evacuation/a", "evacuation/b"}
	p = &play{world: w, s: s, fresh: s.members}
	w.found(s.members, s.zones)
	p.until("all members have their seats", 8*time.Second, func() string { return p.seated() })
	p.operator("one", testKey)
	p.operator("two", testKey)
	p.operator("three", "evacuation/a")
	p.operator("four", "evacuation/b")
	p.at(5*time.Second, func() { p.operator("five", "rollout/c") })
	if s.rivals {
		p.rivals()
	}
	p.advance()
	for p.next < len(s.troubles) || p.free() < p.faults || len(p.onAck) > 0 || p.open > 0 || w.now < 10*time.Second {
		if w.now > 20*time.Minute {
			w.fatal("the troubles don't end")
		}
		w.run(w.now + 10*time.Millisecond)
	}
	if s.closing != nil {
		p.close(*s.closing)
	}
	p.until("every key has an owner that answers", 10*time.Second, p.owned)
	for i := 0; p.free() < p.faults && i < 10000; i++ {
		w.run(w.now + 10*time.Millisecond)
	}
	p.until("the seats are those of the members at work, and all hold everything", 15*time.Second, func() string {
		if why := p.owned(); why != "" {
			return why
		}
		return p.seated()
	})
	p.stop, w.calm = true, true
	w.run(w.now + 3*time.Second)
	before, asked := w.answer, 0
	for _, key := range append(w.keys, "rollout/c") {
		for i := 0; i < 10; i++ {
			w.at(time.Duration(w.rng.Intn(2000))*time.Millisecond, func() {
				for _, id := range w.ids {
					if n := w.nodes[id]; n.m.keys[key] != nil && n.m.keys[key].role == owns {
						asked++
						w.sent++
						w.ask(id, key, "s0", w.floors[key+"/s0"]+w.sent, fmt.Sprint("calm", w.sent), func(uint64, error) {})
					}
				}
			})
		}
	}
	w.run(w.now + 4*time.Second)
	if asked < 36 || w.answer-before < asked*95/100 {
		w.fatal("at %v only %d of %d changes answered after the troubles", w.now, w.answer-before, asked)
	}
	p.until("all hold everything", 3*time.Second, p.seated)
	if why := w.calls.check(); why != "" {
		w.fatal("%s", why)
	}
	if s.rivals {
		if why := p.rivalry(); why != "" {
			w.fatal("%s", why)
		}
	}
	if w.claims < 500 {
		w.fatal("only %d claims of a current copy were checked", w.claims)
	}
	return "", w
}

// until runs until a state is reached that why finds nothing amiss with.
func (p *play) until(what string, limit time.Duration, why func() string) {
	begin := p.now
	for p.now < begin+limit {
		if why() == "" {
			return
		}
		p.run(p.now + 50*time.Millisecond)
	}
	if last := why(); last != "" {
		p.fatal("at %v, after %v, it doesn't hold that %s: %s", p.now, limit, what, last)
	}
}

// owned says which key has no owner that answers.
func (p *play) owned() string {
	for _, key := range append([]string{RosterKey}, p.keys...) {
		n := 0
		for _, id := range p.ids {
			if k := p.nodes[id].m.keys[key]; p.nodes[id].up && k.role == owns && k.commit == k.at || p.nodes[id].up && k.role == owns && k.commit.Epoch == k.mine {
				n++
			}
		}
		if n != 1 {
			return fmt.Sprintf("%s has %d owners", key, n)
		}
	}
	return ""
}

// seated says where the seats are others than those of the members at work, or where a
// member lacks something.
func (p *play) seated() string {
	var live []string
	for _, id := range p.ids {
		if n := p.nodes[id]; n.up {
			live = append(live, n.m.self)
		} else {
			return id + " is down"
		}
	}
	for _, id := range p.ids {
		n := p.nodes[id]
		s := n.m.seats()
		if s.joint || len(s.after) != min(len(live), seatsMost) {
			return fmt.Sprintf("%s has the roster %+v, at work are %v", id, *s, live)
		}
		for _, seat := range s.after {
			if !slices.Contains(live, seat) {
				return fmt.Sprintf("%s has the roster %+v, at work are %v", id, *s, live)
			}
		}
		for _, key := range append([]string{RosterKey}, p.keys...) {
			have, pos, ok := n.m.Committed(key)
			if !ok || pos.Seq == 0 {
				return fmt.Sprintf("%s shows nothing of %s", id, key)
			}
			if pos.Epoch != p.truthAt[key].Epoch {
				return fmt.Sprintf("%s shows %s at %v, committed is %v", id, key, pos, p.truthAt[key])
			}
			if p.stop && len(have) != len(p.truth[key]) {
				return fmt.Sprintf("%s shows %d records of %s of %d", id, len(have), key, len(p.truth[key]))
			}
			for name, r := range p.truth[key] {
				if p.stop && key != RosterKey && have[name].Gen != r.Gen {
					return fmt.Sprintf("%s shows %s/%s=%d of %d", id, key, name, have[name].Gen, r.Gen)
				}
			}
		}
	}
	return ""
}

// close strikes right after an acknowledgement, at the earliest moment that the budget
// allows. The disks that are lost come back, empty, only after a while.
func (p *play) close(t trouble) {
	if p.s.rivals && t.kind == wipe {
		p.onAck = append(p.onAck, p.raceLastAck)
	}
	switch t.kind {
	case wipe:
		p.onAck = append(p.onAck, func() {
			for _, n := range p.targets(t) {
				p.loseDisk(n, t.more)
			}
		})
	case killAll:
		p.onAck = append(p.onAck, func() { p.strike(t) })
	default:
		p.strike(t)
	}
	for begin := p.now; len(p.onAck) > 0 && p.now < begin+10*time.Second; {
		p.run(p.now + time.Millisecond)
	}
	if len(p.onAck) > 0 {
		p.fatal("at %v nothing was acknowledged for 10 s, with nothing lost", p.now)
	}
	p.run(p.now + t.hold + 400*time.Millisecond)
}

// shrink leaves out troubles as long as the schedule still fails.
func shrink(s schedule) schedule {
	fails := func(s schedule) bool { broken, _ := perform(s); return broken != "" }
	for again := true; again; {
		again = false
		for i := 0; i < len(s.troubles); i++ {
			less := s
			less.troubles = append(slices.Clone(s.troubles[:i]), s.troubles[i+1:]...)
			if fails(less) {
				s, again = less, true
				i--
			}
		}
	}
	if s.closing != nil {
		less := s
		less.closing = nil
		if fails(less) {
			s = less
		}
	}
	return s
}

// TestRandomSchedules runs members through drawn troubles, as many at once as the fault
// budget allows, and checks every rule all the time. REPLICATION_SEEDS says how many
// schedules, REPLICATION_FIRST which seed comes first.
func TestRandomSchedules(t *testing.T) {
	seeds, first := 150, 1
	if v, err := strconv.Atoi(os.Getenv("REPLICATION_SEEDS")); err == nil {
		seeds = v
	}
	if v, err := strconv.Atoi(os.Getenv("REPLICATION_FIRST")); err == nil {
		first = v
	}
	var shrunk atomic.Int32
	for seed := first; seed < first+seeds; seed++ {
		t.Run(strconv.Itoa(seed), func(t *testing.T) {
			t.Parallel()
			s := draw(int64(seed))
			broken, _ := perform(s)
			if broken == "" {
				return
			}
			if shrunk.Add(1) > 5 {
				t.Fatalf("%s\n%v", broken, s) // shrinking takes long
			}
			short := shrink(s)
			why, _ := perform(short)
			t.Fatalf("%s\nshrunk: %s\n%v", broken, why, short)
		})
	}
}

// TestSchedulesThatOnceFailed holds schedules as they were printed, shrunk, when a fault
// was found by them.
func TestSchedulesThatOnceFailed(t *testing.T) {
	for _, c := range []struct {
		name string
		schedule
	}{
		{"two planned replacements cross", schedule{seed: 319, members: 5, faults: 2, zones: 3, troubles: []trouble{
			{kind: planned, aim: any_, who: 87, count: 1, gap: 211 * time.Millisecond, hold: 3288 * time.Millisecond},
			{kind: planned, aim: any_, who: 78, count: 1, hold: 1519 * time.Millisecond},
		}, closing: &trouble{kind: wipePower, aim: any_, who: 36, count: 2, hold: 1537 * time.Millisecond, more: 4388 * time.Millisecond}}},
		{"a replaced machine wakes, takes a seat and goes", schedule{seed: 301, members: 5, faults: 2, zones: 4, troubles: []trouble{
			{kind: wipe, aim: any_, who: 36, count: 1, gap: 563 * time.Millisecond, hold: 852 * time.Millisecond},
			{kind: replaceFrozen, aim: owner, who: 90, count: 1, hold: 11176 * time.Millisecond, more: 2648 * time.Millisecond},
			{kind: wipePower, aim: any_, who: 90, count: 2, gap: 2301 * time.Millisecond, hold: 2335 * time.Millisecond, more: 1851 * time.Millisecond},
		}, closing: &trouble{kind: wipePower, aim: any_, who: 30, count: 2, hold: 973 * time.Millisecond, more: 12464 * time.Millisecond}}},
		{"two replaced machines wake after a kill of all", schedule{seed: 340, members: 5, faults: 2, zones: 4, troubles: []trouble{
			{kind: killAll, aim: owner, who: 20, count: 1, hold: 2384 * time.Millisecond},
			{kind: replaceFrozen, aim: any_, who: 71, count: 2, gap: 1634 * time.Millisecond, hold: 8712 * time.Millisecond, more: 2891 * time.Millisecond},
			{kind: restart, aim: newcomer, who: 5, count: 2, gap: 2566 * time.Millisecond, hold: 2701 * time.Millisecond},
		}, closing: &trouble{kind: wipePower, aim: any_, who: 8, count: 2, hold: 1445 * time.Millisecond, more: 7727 * time.Millisecond}}},
		{"an owner loses its seat in a rolling restart", schedule{seed: 158, members: 6, faults: 2, zones: 5, troubles: []trouble{
			{kind: planned, aim: any_, who: 92, count: 2, gap: 680 * time.Millisecond, hold: 3126 * time.Millisecond},
			{kind: planned, aim: newcomer, who: 75, count: 1, hold: 1388 * time.Millisecond},
			{kind: wipe, aim: any_, who: 42, count: 1, hold: 881 * time.Millisecond},
			{kind: mute, aim: any_, who: 78, count: 2, gap: 1676 * time.Millisecond, hold: 13427 * time.Millisecond},
			{kind: link, aim: any_, who: 66, count: 2, gap: 2256 * time.Millisecond, hold: 21361 * time.Millisecond},
			{kind: link, aim: any_, who: 43, count: 2, hold: 12489 * time.Millisecond},
			{kind: link, aim: any_, who: 40, count: 1, hold: 2299 * time.Millisecond},
			{kind: leave, aim: any_, who: 0, count: 1, hold: 1056 * time.Millisecond},
			{kind: leave, aim: any_, who: 1, count: 1, hold: 750 * time.Millisecond},
			{kind: leave, aim: any_, who: 2, count: 1, hold: 472 * time.Millisecond},
			{kind: leave, aim: any_, who: 3, count: 1, hold: 943 * time.Millisecond},
			{kind: leave, aim: any_, who: 4, count: 1, hold: 1232 * time.Millisecond},
			{kind: leave, aim: any_, who: 5, count: 1, hold: 1462 * time.Millisecond},
		}}},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			if broken, _ := perform(c.schedule); broken != "" {
				t.Fatalf("%s\n%v", broken, c.schedule)
			}
		})
	}
}
