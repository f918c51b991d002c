package quota

import (
	"fmt"
	"math"
	"math/rand/v2"
	"net/http"
	"sort"
	"testing"
	"time"
)

const ms = time.Millisecond

var quotas = map[string]Quota{"small": {12, 12}, "large": {300, 300}, "open": {0, 0}}

func allocatorConfig(nodes ...string) AllocatorConfig {
	return AllocatorConfig{Overshoot: 0.1, Slack: 20, Window: 5 * time.Second, ShareLifetime: 4200 * ms, MaxConfirmationAge: 2400 * ms,
		Nodes: func() []string { return nodes }}
}

// simulation runs nodes, allocators and a network that loses, delays and reorders messages. Nodes
// pause and restart, and allocators are replaced or partitioned while they still believe that they are
// the allocator.
type simulation struct {
	rng       *rand.Rand
	now       time.Duration
	nodes     []*testNode
	events    []event
	grantedAt map[string][]time.Duration // by tenant
	requested map[string]int             // by tenant
	refused   int
	lossless  bool // messages are not lost, and delayed only briefly
	// unused is the fraction of tokens that are returned.
	unused float64
}

type testNode struct {
	id             string
	local          *LocalQuota
	allocator      *Allocator
	reportsTo      int           // index of the allocator; negative: none known
	confirmedAt    time.Duration // as an allocator; 0: it is none
	pausedUntil    time.Duration
	reportComplete bool // the next report is a complete one
	nextReportAt   time.Duration
}

type event struct {
	at time.Duration
	to int
	fn func(n *testNode)
}

func newSimulation(seed uint64, count int) *simulation {
	w := &simulation{rng: rand.New(rand.NewPCG(seed, 1)), grantedAt: map[string][]time.Duration{}, requested: map[string]int{}}
	var ids []string
	for i := range count {
		ids = append(ids, fmt.Sprint("a", i))
	}
	for _, id := range ids {
		node := &testNode{id: id, allocator: NewAllocator(allocatorConfig(ids...)), reportsTo: -1}
		w.startProcess(node)
		w.nodes = append(w.nodes, node)
	}
	return w
}

func (w *simulation) startProcess(node *testNode) {
	node.local = NewLocalQuota(w.rng.Uint64()|1, w.rng.Uint64(), 300*ms)
	node.local.SetLimits(quotas)
	node.allocator.Deactivate()
	node.confirmedAt, node.reportsTo, node.reportComplete = 0, -1, true
}

func (w *simulation) send(to int, fn func(*testNode)) {
	if !w.lossless && w.rng.IntN(50) == 0 {
		return
	}
	delay := time.Duration(1+w.rng.IntN(80)) * ms
	if !w.lossless && w.rng.IntN(30) == 0 {
		delay *= 20
	}
	w.events = append(w.events, event{w.now + delay, to, fn})
}

func (w *simulation) report(i int) {
	node := w.nodes[i]
	if node.reportsTo < 0 || node.local.AwaitsReply(w.now) {
		return
	}
	report := node.local.Report(w.now, node.reportComplete)
	node.reportComplete = false
	w.send(node.reportsTo, func(target *testNode) {
		if target.confirmedAt == 0 || w.now-target.confirmedAt > 2400*ms {
			return
		}
		if allocation, ok := target.allocator.Report(w.now, target.confirmedAt, node.id, report, quotas); ok {
			w.send(i, func(receiver *testNode) { // may have restarted by then
				receiver.local.Apply(w.now, allocation)
				if receiver.reportComplete || receiver.local.HasWaiting() {
					w.report(i)
				}
			})
		}
	})
}

// elect makes a node the allocator. Others continue to believe that they are the allocator until their
// confirmation is too old.
func (w *simulation) elect(i int, number uint64) {
	predecessorUntil := time.Duration(0)
	for _, node := range w.nodes {
		predecessorUntil = max(predecessorUntil, node.confirmedAt)
	}
	node := w.nodes[i]
	node.allocator.Activate(w.now, Term{Number: number, Owner: "a", RunID: 1}, predecessorUntil, number > 1)
	node.confirmedAt = w.now
	for j := range w.nodes {
		w.send(j, func(receiver *testNode) {
			if j == i || receiver.local.ObeysRecall(receiver.id, w.nodes[i].id, Term{Number: number, Owner: "a", RunID: 1}) {
				if j != i {
					receiver.allocator.Deactivate()
					receiver.confirmedAt = 0
				}
				receiver.reportsTo, receiver.reportComplete = i, true
				w.report(j)
			}
		})
	}
}

func (w *simulation) run(limit time.Duration, rates map[string]float64, faults bool) {
	term, activeAllocator := uint64(1), 0
	w.now, w.lossless = ms, !faults
	w.elect(0, 1)
	for ; w.now < limit; w.now += 5 * ms {
		if faults && w.rng.IntN(600) == 0 {
			term++
			activeAllocator = w.rng.IntN(len(w.nodes))
			w.elect(activeAllocator, term)
		}
		for i, node := range w.nodes {
			if faults && w.rng.IntN(2500) == 0 {
				node.pausedUntil = w.now + time.Duration(w.rng.IntN(5000))*ms
			}
			if w.now < node.pausedUntil {
				continue
			}
			if faults && w.rng.IntN(2500) == 0 {
				w.startProcess(node)
			}
			if i == activeAllocator && node.confirmedAt > 0 {
				node.confirmedAt = w.now // confirmed by its majority
			}
			node.local.TimeOut(w.now)
			if w.now >= node.nextReportAt {
				node.nextReportAt, node.reportComplete = w.now+time.Second, true
				w.report(i)
				for j := range w.nodes { // nodes that missed the recall eventually learn of the allocator
					if allocatorIndex := activeAllocator; w.nodes[j].reportsTo != allocatorIndex && w.nodes[allocatorIndex].confirmedAt > 0 {
						allocatorTerm := Term{Number: term, Owner: "a", RunID: 1}
						w.send(j, func(receiver *testNode) {
							if receiver.local.ObeysRecall(receiver.id, "", allocatorTerm) || receiver.reportsTo < 0 {
								receiver.reportsTo, receiver.reportComplete = allocatorIndex, true
							}
						})
					}
				}
			}
			for _, tenant := range []string{"small", "large", "open"} {
				if w.rng.Float64() < rates[tenant]*0.005/float64(len(w.nodes)) {
					w.requested[tenant]++
					if node.local.Acquire(w.now, tenant, func(g Grant) {
						switch {
						case g != Granted:
							w.refused++
						case w.unused > 0 && w.rng.Float64() < w.unused:
							runID := node.local.RunID
							w.send(i, func(target *testNode) { target.local.ReturnToken(w.now, runID, tenant) })
						default:
							w.grantedAt[tenant] = append(w.grantedAt[tenant], w.now)
						}
					}) {
						w.report(i)
					}
				}
			}
		}
		sort.SliceStable(w.events, func(a, b int) bool { return w.events[a].at < w.events[b].at })
		for len(w.events) > 0 && w.events[0].at <= w.now {
			next := w.events[0]
			w.events = w.events[1:]
			if target := w.nodes[next.to]; w.now >= target.pausedUntil {
				next.fn(target)
			} else if w.rng.IntN(2) == 0 {
				w.events = append(w.events, event{target.pausedUntil, next.to, next.fn}) // delivered when the node resumes
			}
		}
	}
}

// maxInWindow returns the highest number of granted requests in any window.
func (w *simulation) maxInWindow(tenant string) (highest int) {
	times := w.grantedAt[tenant]
	for i, j := 0, 0; j < len(times); j++ {
		for times[j]-times[i] > 5*time.Second {
			i++
		}
		highest = max(highest, j-i+1)
	}
	return highest
}

// allowed is the number of requests that a quota permits in a window of 5 s.
func allowed(q Quota) int { return int((q.Rate*5+q.Burst)*1.1 + 20) }

func TestQuotasHoldDuringFailures(t *testing.T) {
	for seed := uint64(1); seed <= 60; seed++ {
		w := newSimulation(seed, 3+int(seed%5))
		if seed > 40 {
			w.unused = float64(seed-40) / 25
		}
		w.run(40*time.Second, map[string]float64{"small": 80, "large": 900}, true)
		for _, tenant := range []string{"small", "large"} {
			if n := w.maxInWindow(tenant); n > allowed(quotas[tenant]) {
				t.Errorf("seed %d: %d requests of tenant %s in a window, %d allowed", seed, n, tenant, allowed(quotas[tenant]))
			}
		}
	}
}

func TestRequestsWithinQuotaAreServed(t *testing.T) {
	for seed := uint64(1); seed <= 5; seed++ {
		w := newSimulation(seed, 9)
		w.run(30*time.Second, map[string]float64{"small": 7.5, "large": 190, "open": 50}, false)
		requested := w.requested["small"] + w.requested["large"] + w.requested["open"]
		if w.refused*50 > requested {
			t.Errorf("seed %d: %d of %d refused", seed, w.refused, requested)
		}
	}
}

// Requests that are not sent to an upstream don't use up the quota: although all requests of the tenant
// together exceed the quota, those that are sent are served.
func TestReturnedTokensServeOtherRequests(t *testing.T) {
	refusedFraction := func(unused float64) (part float64) {
		requested, refused := 0, 0
		for seed := uint64(1); seed <= 5; seed++ {
			w := newSimulation(seed, 3)
			w.unused = unused
			w.run(30*time.Second, map[string]float64{"large": 390}, false)
			requested, refused = requested+w.requested["large"], refused+w.refused
		}
		return float64(refused) / float64(requested)
	}
	all, half := refusedFraction(0), refusedFraction(.5)
	if all < .15 || half > all/3 {
		t.Errorf("refused fraction %.3f, and %.3f if half of the tokens are returned", all, half)
	}
}

// A token can be returned only to the run of the process that granted it, and only up to the bucket's
// capacity.
func TestTokenReturnsOnlyToTheRunThatGrantedIt(t *testing.T) {
	local := NewLocalQuota(7, 0, 300*ms)
	local.SetLimits(quotas)
	tenantBucket := local.bucket("small")
	tenantBucket.capacity, local.sharesExpireAt = 2, time.Hour
	for _, c := range []struct {
		runID  uint64
		tenant string
		want   float64
	}{{6, "small", 0}, {0, "small", 0}, {7, "ghost", 0}, {7, "small", 1}, {7, "small", 2}, {7, "small", 2}} {
		if local.ReturnToken(ms, c.runID, c.tenant); tenantBucket.tokens != c.want {
			t.Errorf("%+v: %g tokens", c, tenantBucket.tokens)
		}
	}
	if local.ReturnToken(2*time.Hour, 7, "small"); tenantBucket.tokens != 0 {
		t.Errorf("expired share: %g tokens, want 0", tenantBucket.tokens)
	}
}

func TestGrants(t *testing.T) {
	allocator := NewAllocator(allocatorConfig("a", "b"))
	allocator.Activate(0, Term{Number: 1, Owner: "a", RunID: 1}, 0, false)
	local := NewLocalQuota(1, 0, 300*ms)
	local.SetLimits(quotas)
	var got []Grant
	if !local.Acquire(10*ms, "small", func(g Grant) { got = append(got, g) }) {
		t.Fatal("no report to the allocator requested")
	}
	allocation, ok := allocator.Report(20*ms, 20*ms, "a", local.Report(10*ms, true), quotas)
	if !ok {
		t.Fatal("allocator did not reply to the report")
	}
	local.Apply(30*ms, allocation)
	if len(got) != 1 || got[0] != Granted {
		t.Errorf("first request: %v, want Granted", got)
	}
	if local.Acquire(31*ms, "ghost", func(g Grant) { got = append(got, g) }) || len(got) != 2 || got[1] != Unknown {
		t.Errorf("tenant with unknown limit: %v, want Unknown", got)
	}
	// Without replies from the allocator the share serves requests until it is used up. After that the node
	// doesn't know whether the tenant is over its quota.
	drain := func(now time.Duration) {
		for len(got) < 100 && !local.HasWaiting() {
			local.Acquire(now, "small", func(g Grant) { got = append(got, g) })
		}
	}
	drain(40 * ms)
	local.Report(50*ms, false)
	if local.TimeOut(50*ms + local.ReplyTimeout + 1); got[len(got)-1] != Unknown {
		t.Errorf("allocator did not reply: %v, want Unknown", got)
	}
	// The allocator replies that the quota is used up.
	drain(500 * ms)
	report := local.Report(510*ms, false)
	local.Apply(520*ms, Allocation{Term: Term{Number: 1, Owner: "a", RunID: 1}, Seq: report.Seq, Lifetime: time.Second, Shares: []Share{{Tenant: "small"}}})
	if got[len(got)-1] != OverQuota {
		t.Errorf("quota used up: %v, want OverQuota", got)
	}
}

func TestStaleReportsAndAllocationsAreIgnored(t *testing.T) {
	allocator := NewAllocator(allocatorConfig("a", "b", "c"))
	allocator.Activate(0, Term{Number: 2, Owner: "a", RunID: 1}, 0, false)
	local := NewLocalQuota(1, 0, 300*ms)
	local.SetLimits(quotas)
	first, _ := allocator.Report(ms, ms, "a", local.Report(0, true), quotas)
	second, _ := allocator.Report(2*ms, 2*ms, "a", local.Report(ms, true), quotas)
	local.Apply(3*ms, first)
	if !local.AwaitsReply(3 * ms) {
		t.Error("reply to an older report was applied")
	}
	local.Apply(3*ms, second)
	if local.AwaitsReply(3 * ms) {
		t.Error("reply to the last report was not applied")
	}
	if _, ok := allocator.Report(4*ms, 4*ms, "a", Report{RunID: 1, Seq: 1, Complete: true}, quotas); ok {
		t.Error("old report got a reply")
	}
	if _, ok := allocator.Report(4*ms, 4*ms, "b", Report{RunID: 5, Seq: 1}, quotas); ok {
		t.Error("first report of a node got a reply although it is not complete")
	}
	if _, ok := allocator.Report(10*time.Second, ms, "c", Report{RunID: 7, Seq: 1, Complete: true}, quotas); ok {
		t.Error("allocator replied although its confirmation is too old")
	}
}

func TestAPIKey(t *testing.T) {
	for line, want := range map[string]string{"Bearer abc": "abc", "bearer abc": "abc", "Basic abc": "", "abc": "", "Bearer ": ""} {
		if got := APIKey(http.Header{"Authorization": {line}}); got != want {
			t.Errorf("%q: %q", line, got)
		}
	}
	if got := APIKey(http.Header{"Authorization": {"Bearer a", "Bearer b"}}); got != "" {
		t.Errorf("two headers: key %q, want none", got)
	}
}

// Two owners may have epochs with the same number. If nodes ordered these differently than the owners
// do, a node that had heard of the earlier owner would reject the later one's allocations forever.
func TestNodeFollowsLaterOfTwoOwnersWithSameNumber(t *testing.T) {
	early, late := Term{Number: 1, Owner: "a", RunID: 9}, Term{Number: 1, Owner: "b", RunID: 3}
	local := NewLocalQuota(1, 0, 300*ms)
	local.SetLimits(quotas)
	for i, term := range []Term{early, late, early} {
		now := time.Duration(i) * time.Second
		report := local.Report(now, true)
		local.Apply(now+ms, Allocation{Term: term, Seq: report.Seq, Lifetime: time.Second})
		if applied := !local.AwaitsReply(now + ms); applied != (i < 2) {
			t.Errorf("allocation %d of %v: applied is %v", i, term, applied)
		}
	}
}

func TestObeysRecall(t *testing.T) {
	local := NewLocalQuota(1, 0, 300*ms)
	report := local.Report(0, true)
	local.Apply(ms, Allocation{Term: Term{Number: 2, Owner: "b", RunID: 1}, Seq: report.Seq, Lifetime: time.Second})
	for _, c := range []struct {
		from string
		term Term
		want bool
	}{
		{"b", Term{Number: 3, Owner: "b", RunID: 1}, true},
		{"b", Term{Number: 2, Owner: "b", RunID: 1}, true}, // it has lost its state, or repeats the recall
		{"c", Term{Number: 1, Owner: "c", RunID: 1}, false},
		{"a", Term{Number: 3, Owner: "a", RunID: 1}, false}, // the node itself
	} {
		if got := local.ObeysRecall("a", c.from, c.term); got != c.want {
			t.Errorf("%s under %v: %v", c.from, c.term, got)
		}
	}
}

// A delayed allocation replies to a report of an earlier run of the process, not to the current run's report
// with the same number.
func TestAllocationForEarlierRunIsIgnored(t *testing.T) {
	allocator := NewAllocator(allocatorConfig("a", "b"))
	allocator.Activate(0, Term{Number: 1, Owner: "a", RunID: 1}, 0, false)
	earlier, current := NewLocalQuota(1, 77, 300*ms), NewLocalQuota(2, 5, 300*ms)
	allocation, ok := allocator.Report(ms, ms, "b", earlier.Report(0, true), quotas)
	if !ok {
		t.Fatal("allocator did not reply to the report")
	}
	current.Report(2*ms, true)
	if current.Apply(3*ms, allocation); !current.AwaitsReply(3 * ms) {
		t.Error("allocation for the earlier run was applied")
	}
	highest := NewLocalQuota(3, math.MaxUint64, 300*ms)
	first, second := highest.Report(0, true), highest.Report(ms, true)
	if second.Seq <= first.Seq {
		t.Errorf("report %d follows %d", second.Seq, first.Seq)
	}
}

// An allocator that replaces another moves shares to where requests arrive as soon as all nodes have
// reported. It must not keep its first allocation until all shares of the previous allocator have
// expired.
func TestNewAllocatorMovesSharesOnceAllNodesReported(t *testing.T) {
	allocator := NewAllocator(allocatorConfig("a", "b", "c"))
	allocator.Activate(0, Term{Number: 2, Owner: "a", RunID: 1}, 0, true)
	seq := map[string]uint64{}
	held := map[string]Share{}
	report := func(now time.Duration, id string, demand float64) {
		seq[id]++
		s := held[id]
		s.Tenant, s.Demand, s.Tokens = "large", demand, 0
		allocation, ok := allocator.Report(now, now, id, Report{RunID: 1, Seq: seq[id], Complete: true, Shares: []Share{s}}, quotas)
		if !ok || len(allocation.Shares) != 1 {
			t.Fatalf("at %v: node %s got no reply: %+v", now, id, allocation)
		}
		held[id] = allocation.Shares[0]
	}
	large := quotas["large"].Rate
	now := ms
	for range 3 {
		for _, id := range []string{"a", "b", "c"} {
			report(now, id, map[string]float64{"a": large / 20, "b": large / 2, "c": large / 2}[id])
		}
		now += ms
	}
	// Now most requests arrive at node a.
	for ; now < allocator.othersExpiredAt/2; now += allocator.othersExpiredAt / 20 {
		for _, id := range []string{"a", "b", "c"} {
			report(now, id, map[string]float64{"a": large / 2, "b": large / 20, "c": large / 20}[id])
		}
	}
	if got := held["a"].Rate; got < large/2 {
		t.Errorf("at %v: node a, where half of the requests arrive, has %v of %v; the others have %v and %v", now, got, large, held["b"].Rate, held["c"].Rate)
	}
}

// An allocator whose ownership was unconfirmed for a while still knows what it has allocated.
func TestAllocatorKeepsStateWhileUnconfirmed(t *testing.T) {
	allocator := NewAllocator(allocatorConfig("a", "b"))
	term := Term{Number: 1, Owner: "a", RunID: 1}
	allocator.Activate(0, term, 0, false)
	report := Report{RunID: 1, Seq: 1, Complete: true, Shares: []Share{{Tenant: "large", Demand: 100}}}
	allocation, ok := allocator.Report(ms, ms, "b", report, quotas)
	if !ok || len(allocation.Shares) != 1 || allocation.Shares[0].Rate < 100 {
		t.Fatalf("allocation: %+v", allocation)
	}
	allocator.Deactivate()
	allocator.Activate(2*ms, term, 0, false)
	if got := allocator.State("large", quotas["large"]); got.Allocated != allocation.Shares[0].Rate {
		t.Errorf("state shows %v allocated, want %v", got.Allocated, allocation.Shares[0].Rate)
	}
}
