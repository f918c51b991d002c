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

// schedule is the complete input of a simulation run.
type schedule struct {
	seed                   int64
	members, faults, zones int
	olderEvery             int  // see cluster
	competing              bool // operators compete: see cluster_competing_operators_test.go
	failures               []failure
	lastFailure            *failure
}

func (s schedule) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "schedule{seed: %d, members: %d, faults: %d, zones: %d", s.seed, s.members, s.faults, s.zones)
	if s.olderEvery > 0 {
		fmt.Fprintf(&b, ", olderEvery: %d", s.olderEvery)
	}
	if s.competing {
		b.WriteString(", competing: true")
	}
	failureText := func(f failure) string {
		text := "{" + fmt.Sprintf("kind: %s, target: %s, index: %d, count: %d", kindNames[f.kind], targetNames[f.target], f.index, f.count)
		for _, d := range []struct {
			name string
			d    time.Duration
		}{{"delay", f.delay}, {"duration", f.duration}, {"replaceAfter", f.replaceAfter}} {
			if d.d > 0 {
				text += fmt.Sprintf(", %s: %d * time.Millisecond", d.name, d.d/time.Millisecond)
			}
		}
		return text + "}"
	}
	b.WriteString(", failures: []failure{")
	for _, f := range s.failures {
		b.WriteString("\n\t" + failureText(f) + ",")
	}
	b.WriteString("\n}")
	if s.lastFailure != nil {
		b.WriteString(", lastFailure: &failure" + failureText(*s.lastFailure))
	}
	return b.String() + "}"
}

// randomSchedule returns the schedule of a seed.
func randomSchedule(seed int64) schedule {
	r := rand.New(rand.NewSource(seed))
	milliseconds := func(least, spread int) time.Duration { return time.Duration(least+r.Intn(spread)) * time.Millisecond }
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
		s.olderEvery = 2
	}
	s.competing = seed%2 == 0
	randomFailure := func(kind failureKind) failure {
		f := failure{kind: kind, index: r.Intn(100), count: 1 + r.Intn(s.faults), duration: milliseconds(300, 3500)}
		if r.Intn(2) == 0 {
			f.target = failureTarget(r.Intn(int(failureTargetCount)))
		}
		if r.Intn(2) == 0 {
			f.delay = milliseconds(1, 3000)
		}
		switch kind {
		case cutOff, cutOutgoing, cutIncoming, cutPair, freeze:
			if r.Intn(3) == 0 {
				f.duration = milliseconds(8000, 15000)
			}
		case replace:
			f.replaceAfter = milliseconds(200, 6000)
		case replaceFrozen:
			f.duration, f.replaceAfter = milliseconds(4000, 12000), milliseconds(200, 4000)
		case changeStream:
			f.duration = milliseconds(2000, 6000)
		case lossyNetwork:
			f.duration = milliseconds(500, 2500)
		case wipeAndPowerLoss:
			f.replaceAfter = milliseconds(500, 4000)
		}
		return f
	}
	for n := 5 + r.Intn(6); len(s.failures) < n; {
		switch kind := failureKind(r.Intn(int(failureKindCount))); kind {
		case drain: // a rolling restart
			for i := 0; i < s.members; i++ {
				s.failures = append(s.failures, failure{kind: drain, index: i, count: 1, duration: milliseconds(300, 1200)})
			}
		case cutOff, cutOutgoing, cutIncoming, cutPair: // several in a row
			for i := 1 + r.Intn(3); i > 0; i-- {
				s.failures = append(s.failures, randomFailure([]failureKind{cutOff, cutOutgoing, cutIncoming, cutPair}[r.Intn(4)]))
			}
		default:
			s.failures = append(s.failures, randomFailure(kind))
		}
	}
	if r.Intn(5) > 0 {
		last := randomFailure([]failureKind{killAll, wipe, wipeAndPowerLoss, wipeAndPowerLoss}[r.Intn(4)])
		last.delay, last.count, last.replaceAfter, last.duration = 0, s.faults, milliseconds(500, 12000), milliseconds(300, 1500)
		s.lastFailure = &last
	}
	return s
}

// invariantViolation is the panic value for a violated invariant.
type invariantViolation string

// runSchedule runs a schedule and returns which invariant was violated; empty if none was.
func runSchedule(s schedule) (problem string, sim *cluster) {
	defer func() {
		switch violation := recover().(type) {
		case nil:
		case invariantViolation:
			problem = string(violation)
		default:
			panic(violation)
		}
	}()
	sim = newEmptyCluster(s.seed, s.faults)
	sim.fatal = func(format string, args ...any) { panic(invariantViolation(fmt.Sprintf(format, args...))) }
	sim.duplicates = true
	sim.olderEvery = s.olderEvery
	sim.partitions = []string{testPartition, "evacuation/a", "evacuation/b"}
	sim.schedule, sim.newestMachine = s, s.members
	sim.bootstrap(s.members, s.zones)
	sim.waitFor("all members are voters", 8*time.Second, sim.voterSetProblem)
	sim.runOperator("one", testPartition)
	sim.runOperator("two", testPartition)
	sim.runOperator("three", "evacuation/a")
	sim.runOperator("four", "evacuation/b")
	sim.after(5*time.Second, func() { sim.runOperator("five", "rollout/c") })
	if s.competing {
		sim.runCompetingOperators()
	}
	sim.beginNextFailure()
	for sim.nextFailure < len(s.failures) || sim.remainingFaults() < sim.faults || len(sim.onAck) > 0 || sim.pendingFailures > 0 || sim.now < 10*time.Second {
		if sim.now > 20*time.Minute {
			sim.fatal("the failures had not ended after 20 min")
		}
		sim.runUntil(sim.now + 10*time.Millisecond)
	}
	if s.lastFailure != nil {
		sim.injectLast(*s.lastFailure)
	}
	sim.waitFor("every partition has an owner that commits", 10*time.Second, sim.ownershipProblem)
	for i := 0; sim.remainingFaults() < sim.faults && i < 10000; i++ {
		sim.runUntil(sim.now + 10*time.Millisecond)
	}
	sim.waitFor("the voters are the running members, and all hold everything", 15*time.Second, func() string {
		if problem := sim.ownershipProblem(); problem != "" {
			return problem
		}
		return sim.voterSetProblem()
	})
	sim.operatorsStopped, sim.lossless = true, true
	sim.runUntil(sim.now + 3*time.Second)
	before, proposed := sim.answeredChanges, 0
	for _, partition := range append(sim.partitions, "rollout/c") {
		for i := 0; i < 10; i++ {
			sim.after(time.Duration(sim.rng.Intn(2000))*time.Millisecond, func() {
				for _, address := range sim.addresses {
					if n := sim.nodes[address]; n.replica.partitions[partition] != nil && n.replica.partitions[partition].role == roleOwner {
						proposed++
						sim.changesSent++
						sim.proposeVersion(address, partition, "s0", sim.minVersions[partition+"/s0"]+sim.changesSent, fmt.Sprint("calm", sim.changesSent), func(uint64, error) {})
					}
				}
			})
		}
	}
	sim.runUntil(sim.now + 4*time.Second)
	if proposed < 36 || sim.answeredChanges-before < proposed*95/100 {
		sim.fatal("at %v only %d of %d changes were answered after the failures", sim.now, sim.answeredChanges-before, proposed)
	}
	sim.waitFor("all members hold everything", 3*time.Second, sim.voterSetProblem)
	if problem := sim.history.check(); problem != "" {
		sim.fatal("%s", problem)
	}
	if s.competing {
		if problem := sim.competitionProblem(); problem != "" {
			sim.fatal("%s", problem)
		}
	}
	if sim.freshnessClaims < 500 {
		sim.fatal("only %d freshness claims were checked", sim.freshnessClaims)
	}
	return "", sim
}

// shrink removes failures from a schedule as long as it still fails.
func shrink(s schedule) schedule {
	fails := func(s schedule) bool { violation, _ := runSchedule(s); return violation != "" }
	for changed := true; changed; {
		changed = false
		for i := 0; i < len(s.failures); i++ {
			smaller := s
			smaller.failures = append(slices.Clone(s.failures[:i]), s.failures[i+1:]...)
			if fails(smaller) {
				s, changed = smaller, true
				i--
			}
		}
	}
	if s.lastFailure != nil {
		smaller := s
		smaller.lastFailure = nil
		if fails(smaller) {
			s = smaller
		}
	}
	return s
}

// TestRandomSchedules runs random schedules of failures, as many at once as the fault budget allows,
// and checks all invariants at every step. REPLICATION_SEEDS is the number of schedules,
// REPLICATION_FIRST the first seed.
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
			s := randomSchedule(int64(seed))
			violation, _ := runSchedule(s)
			if violation == "" {
				return
			}
			if shrunk.Add(1) > 5 {
				t.Fatalf("%s\n%v", violation, s) // shrinking takes long
			}
			shrunkSchedule := shrink(s)
			shrunkViolation, _ := runSchedule(shrunkSchedule)
			t.Fatalf("%s\nshrunk: %s\n%v", violation, shrunkViolation, shrunkSchedule)
		})
	}
}

// TestSchedulesThatOnceFailed runs shrunk schedules that have exposed faults.
func TestSchedulesThatOnceFailed(t *testing.T) {
	for _, tc := range []struct {
		name string
		schedule
	}{
		{"two planned replacements overlap", schedule{seed: 319, members: 5, faults: 2, zones: 3, failures: []failure{
			{kind: plannedReplacement, target: anyMachine, index: 87, count: 1, delay: 211 * time.Millisecond, duration: 3288 * time.Millisecond},
			{kind: plannedReplacement, target: anyMachine, index: 78, count: 1, duration: 1519 * time.Millisecond},
		}, lastFailure: &failure{kind: wipeAndPowerLoss, target: anyMachine, index: 36, count: 2, duration: 1537 * time.Millisecond, replaceAfter: 4388 * time.Millisecond}}},
		{"a replaced machine resumes, becomes a voter and is shut down", schedule{seed: 301, members: 5, faults: 2, zones: 4, failures: []failure{
			{kind: wipe, target: anyMachine, index: 36, count: 1, delay: 563 * time.Millisecond, duration: 852 * time.Millisecond},
			{kind: replaceFrozen, target: owner, index: 90, count: 1, duration: 11176 * time.Millisecond, replaceAfter: 2648 * time.Millisecond},
			{kind: wipeAndPowerLoss, target: anyMachine, index: 90, count: 2, delay: 2301 * time.Millisecond, duration: 2335 * time.Millisecond, replaceAfter: 1851 * time.Millisecond},
		}, lastFailure: &failure{kind: wipeAndPowerLoss, target: anyMachine, index: 30, count: 2, duration: 973 * time.Millisecond, replaceAfter: 12464 * time.Millisecond}}},
		{"two replaced machines resume after all were killed", schedule{seed: 340, members: 5, faults: 2, zones: 4, failures: []failure{
			{kind: killAll, target: owner, index: 20, count: 1, duration: 2384 * time.Millisecond},
			{kind: replaceFrozen, target: anyMachine, index: 71, count: 2, delay: 1634 * time.Millisecond, duration: 8712 * time.Millisecond, replaceAfter: 2891 * time.Millisecond},
			{kind: restart, target: newest, index: 5, count: 2, delay: 2566 * time.Millisecond, duration: 2701 * time.Millisecond},
		}, lastFailure: &failure{kind: wipeAndPowerLoss, target: anyMachine, index: 8, count: 2, duration: 1445 * time.Millisecond, replaceAfter: 7727 * time.Millisecond}}},
		{"an owner is removed from the voter set in a rolling restart", schedule{seed: 158, members: 6, faults: 2, zones: 5, failures: []failure{
			{kind: plannedReplacement, target: anyMachine, index: 92, count: 2, delay: 680 * time.Millisecond, duration: 3126 * time.Millisecond},
			{kind: plannedReplacement, target: newest, index: 75, count: 1, duration: 1388 * time.Millisecond},
			{kind: wipe, target: anyMachine, index: 42, count: 1, duration: 881 * time.Millisecond},
			{kind: cutOutgoing, target: anyMachine, index: 78, count: 2, delay: 1676 * time.Millisecond, duration: 13427 * time.Millisecond},
			{kind: cutPair, target: anyMachine, index: 66, count: 2, delay: 2256 * time.Millisecond, duration: 21361 * time.Millisecond},
			{kind: cutPair, target: anyMachine, index: 43, count: 2, duration: 12489 * time.Millisecond},
			{kind: cutPair, target: anyMachine, index: 40, count: 1, duration: 2299 * time.Millisecond},
			{kind: drain, target: anyMachine, index: 0, count: 1, duration: 1056 * time.Millisecond},
			{kind: drain, target: anyMachine, index: 1, count: 1, duration: 750 * time.Millisecond},
			{kind: drain, target: anyMachine, index: 2, count: 1, duration: 472 * time.Millisecond},
			{kind: drain, target: anyMachine, index: 3, count: 1, duration: 943 * time.Millisecond},
			{kind: drain, target: anyMachine, index: 4, count: 1, duration: 1232 * time.Millisecond},
			{kind: drain, target: anyMachine, index: 5, count: 1, duration: 1462 * time.Millisecond},
		}}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			if violation, _ := runSchedule(tc.schedule); violation != "" {
				t.Fatalf("%s\n%v", violation, tc.schedule)
			}
		})
	}
}
