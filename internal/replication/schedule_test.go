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

// schedule is all that a run of the model depends on.
type schedule struct {
	seed                   int64
	members, faults, zones int
	older                  int  // see world
	rivals                 bool // operators race each other: see rivals_test.go
	failures               []failure
	closing                *failure
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
	put := func(t failure) string {
		out := "{" + fmt.Sprintf("kind: %s, aim: %s, who: %d, count: %d", kindNames[t.kind], targetNames[t.aim], t.who, t.count)
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
	b.WriteString(", failures: []failure{")
	for _, t := range s.failures {
		b.WriteString("\n\t" + put(t) + ",")
	}
	b.WriteString("\n}")
	if s.closing != nil {
		b.WriteString(", closing: &failure" + put(*s.closing))
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
	one := func(k kind) failure {
		t := failure{kind: k, who: r.Intn(100), count: 1 + r.Intn(s.faults), hold: ms(300, 3500)}
		if r.Intn(2) == 0 {
			t.aim = aim(r.Intn(int(failureTargets)))
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
	for n := 5 + r.Intn(6); len(s.failures) < n; {
		switch k := kind(r.Intn(int(kinds))); k {
		case leave: // a rolling restart
			for i := 0; i < s.members; i++ {
				s.failures = append(s.failures, failure{kind: leave, who: i, count: 1, hold: ms(300, 1200)})
			}
		case cutOff, mute, deaf, link: // many in a row
			for i := 1 + r.Intn(3); i > 0; i-- {
				s.failures = append(s.failures, one([]kind{cutOff, mute, deaf, link}[r.Intn(4)]))
			}
		default:
			s.failures = append(s.failures, one(k))
		}
	}
	if r.Intn(5) > 0 {
		c := one([]kind{killAll, wipe, wipePower, wipePower}[r.Intn(4)])
		c.gap, c.count, c.more, c.hold = 0, s.faults, ms(500, 12000), ms(300, 1500)
		s.closing = &c
	}
	return s
}

// modelFailure is a broken rule.
type modelFailure string

// perform runs a schedule and says which rule broke, if any.
func perform(s schedule) (broken string, w *world) {
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
	w.schedule, w.newest = s, s.members
	w.found(s.members, s.zones)
	w.until("all members have their seats", 8*time.Second, w.seated)
	w.operator("one", testKey)
	w.operator("two", testKey)
	w.operator("three", "evacuation/a")
	w.operator("four", "evacuation/b")
	w.at(5*time.Second, func() { w.operator("five", "rollout/c") })
	if s.rivals {
		w.rivals()
	}
	w.advance()
	for w.nextFailure < len(s.failures) || w.free() < w.faults || len(w.onAck) > 0 || w.pendingFailures > 0 || w.now < 10*time.Second {
		if w.now > 20*time.Minute {
			w.fatal("the failures don't end")
		}
		w.run(w.now + 10*time.Millisecond)
	}
	if s.closing != nil {
		w.injectLast(*s.closing)
	}
	w.until("every key has an owner that answers", 10*time.Second, w.owned)
	for i := 0; w.free() < w.faults && i < 10000; i++ {
		w.run(w.now + 10*time.Millisecond)
	}
	w.until("the seats are those of the members at work, and all hold everything", 15*time.Second, func() string {
		if why := w.owned(); why != "" {
			return why
		}
		return w.seated()
	})
	w.operatorsStopped, w.calm = true, true
	w.run(w.now + 3*time.Second)
	before, asked := w.answer, 0
	for _, key := range append(w.keys, "rollout/c") {
		for i := 0; i < 10; i++ {
			w.at(time.Duration(w.rng.Intn(2000))*time.Millisecond, func() {
				for _, id := range w.ids {
					if n := w.nodes[id]; n.m.keys[key] != nil && n.m.keys[key].role == roleOwner {
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
		w.fatal("at %v only %d of %d changes answered after the failures", w.now, w.answer-before, asked)
	}
	w.until("all hold everything", 3*time.Second, w.seated)
	if why := w.calls.check(); why != "" {
		w.fatal("%s", why)
	}
	if s.rivals {
		if why := w.rivalry(); why != "" {
			w.fatal("%s", why)
		}
	}
	if w.claims < 500 {
		w.fatal("only %d claims of a current copy were checked", w.claims)
	}
	return "", w
}

// shrink leaves out failures as long as the schedule still fails.
func shrink(s schedule) schedule {
	fails := func(s schedule) bool { broken, _ := perform(s); return broken != "" }
	for again := true; again; {
		again = false
		for i := 0; i < len(s.failures); i++ {
			less := s
			less.failures = append(slices.Clone(s.failures[:i]), s.failures[i+1:]...)
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

// TestRandomSchedules runs members through drawn failures, as many at once as the fault
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
		{"two planned replacements cross", schedule{seed: 319, members: 5, faults: 2, zones: 3, failures: []failure{
			{kind: planned, aim: any_, who: 87, count: 1, gap: 211 * time.Millisecond, hold: 3288 * time.Millisecond},
			{kind: planned, aim: any_, who: 78, count: 1, hold: 1519 * time.Millisecond},
		}, closing: &failure{kind: wipePower, aim: any_, who: 36, count: 2, hold: 1537 * time.Millisecond, more: 4388 * time.Millisecond}}},
		{"a replaced machine wakes, takes a seat and goes", schedule{seed: 301, members: 5, faults: 2, zones: 4, failures: []failure{
			{kind: wipe, aim: any_, who: 36, count: 1, gap: 563 * time.Millisecond, hold: 852 * time.Millisecond},
			{kind: replaceFrozen, aim: owner, who: 90, count: 1, hold: 11176 * time.Millisecond, more: 2648 * time.Millisecond},
			{kind: wipePower, aim: any_, who: 90, count: 2, gap: 2301 * time.Millisecond, hold: 2335 * time.Millisecond, more: 1851 * time.Millisecond},
		}, closing: &failure{kind: wipePower, aim: any_, who: 30, count: 2, hold: 973 * time.Millisecond, more: 12464 * time.Millisecond}}},
		{"two replaced machines wake after a kill of all", schedule{seed: 340, members: 5, faults: 2, zones: 4, failures: []failure{
			{kind: killAll, aim: owner, who: 20, count: 1, hold: 2384 * time.Millisecond},
			{kind: replaceFrozen, aim: any_, who: 71, count: 2, gap: 1634 * time.Millisecond, hold: 8712 * time.Millisecond, more: 2891 * time.Millisecond},
			{kind: restart, aim: newcomer, who: 5, count: 2, gap: 2566 * time.Millisecond, hold: 2701 * time.Millisecond},
		}, closing: &failure{kind: wipePower, aim: any_, who: 8, count: 2, hold: 1445 * time.Millisecond, more: 7727 * time.Millisecond}}},
		{"an owner loses its seat in a rolling restart", schedule{seed: 158, members: 6, faults: 2, zones: 5, failures: []failure{
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
