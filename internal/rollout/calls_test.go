package rollout

import (
	"testing"
	"time"

	"madderwing/internal/apierror"
)

// controlNodes is a set of control nodes that may own a service's partition. They share the records,
// and each has a clock of its own.
type controlNodes struct {
	t            *testing.T
	records      map[string]Record
	controllers  []*Controller
	now          time.Duration
	resendWindow time.Duration
}

func newControlNodes(t *testing.T, count int) *controlNodes {
	nodes := &controlNodes{t: t, records: map[string]Record{}, resendWindow: 5 * time.Second}
	for range count {
		nodes.controllers = append(nodes.controllers, NewController())
	}
	return nodes
}

// clock is the time on the clock of a control node.
func (nodes *controlNodes) clock(node int) time.Duration {
	return nodes.now + time.Duration(node)*time.Hour
}

func (nodes *controlNodes) call(node int, id uint64) Call {
	return Call{ID: id, MayBeResent: func(id uint64) bool {
		return nodes.controllers[node].Recent(nodes.clock(node), "s", id, nodes.resendWindow)
	}}
}

func (nodes *controlNodes) commit(changes []Record) {
	for _, r := range changes {
		nodes.records[r.Name] = r
		for i, c := range nodes.controllers {
			c.RecordCommitted(nodes.clock(i), r)
		}
	}
}

func (nodes *controlNodes) begin(node int, id uint64, version string) error {
	changes, err := Begin(nodes.records, OrderRequest{"s", version, 12}, "v1", nodes.call(node, id))
	nodes.commit(changes)
	return err
}

func (nodes *controlNodes) abort(node int, id uint64, reversal Reversal) error {
	changes, err := Abort(nodes.records, "s", reversal, 0, nodes.call(node, id))
	nodes.commit(changes)
	return err
}

// complete completes the active rollout.
func (nodes *controlNodes) complete() {
	p, _ := DecodePlan(nodes.records[PartitionOf("s")])
	next := *p
	next.Stage, next.Weight = Complete, 1
	changes, err := Advance(nodes.records, p.Generation, &next)
	if err != nil {
		nodes.t.Fatal(err)
	}
	nodes.commit(changes)
}

// checkNewest checks the candidate, the stage and the order number of the newest rollout.
func (nodes *controlNodes) checkNewest(version string, stage Stage, order uint64) {
	nodes.t.Helper()
	if p, _ := DecodePlan(nodes.records[PartitionOf("s")]); p.Candidate != version || p.Stage != stage || p.Order != order {
		nodes.t.Fatalf("%s is %v as order %d, want %s, %v, %d", p.Candidate, p.Stage, p.Order, version, stage, order)
	}
}

func (nodes *controlNodes) checkOutcome(err error, want apierror.Kind) {
	nodes.t.Helper()
	got := acknowledged
	if err != nil {
		got = apierror.KindOf(err)
	}
	if got != want {
		nodes.t.Fatalf("%v, want %v", err, want)
	}
}

// acknowledged is the outcome of a call that is acknowledged.
const acknowledged apierror.Kind = -1

// A reversal that is forwarded or sent again, by any node and to any owner, is recognised as
// executed and does not reverse the next rollout.
func TestReversalAffectsOnlyItsRollout(t *testing.T) {
	for name, repeat := range map[string]struct {
		reversal Reversal
		id       uint64
	}{
		"forwarded again by the node that received it":                     {Reversal{Version: "v2"}, 2},
		"from a node of an earlier release":                                {Reversal{}, 2},
		"sent again by the operator, who named the version":                {Reversal{Version: "v2", Named: true}, 9},
		"sent again by the operator, and received before the next rollout": {Reversal{Version: "v2"}, 9},
	} {
		t.Run(name, func(t *testing.T) {
			nodes := newControlNodes(t, 2)
			nodes.checkOutcome(nodes.begin(0, 1, "v2"), acknowledged)
			nodes.checkOutcome(nodes.abort(0, 2, Reversal{Version: "v2"}), acknowledged)
			nodes.checkOutcome(nodes.abort(1, repeat.id, repeat.reversal), acknowledged)
			nodes.checkOutcome(nodes.begin(0, 3, "v3"), acknowledged)
			nodes.checkOutcome(nodes.abort(1, repeat.id, repeat.reversal), acknowledged)
			nodes.checkNewest("v3", Shadow, 2)
			nodes.complete()
			nodes.checkOutcome(nodes.abort(0, repeat.id, repeat.reversal), acknowledged)
			nodes.checkNewest("v3", Complete, 2)
		})
	}
}

// A repeated reversal without a version cannot be distinguished from a reversal of the next rollout. It
// is refused with PossibleDuplicate for as long as the operator may send it again.
func TestPossiblyRepeatedReversalIsNotExecuted(t *testing.T) {
	nodes := newControlNodes(t, 2)
	nodes.checkOutcome(nodes.begin(0, 1, "v2"), acknowledged)
	nodes.checkOutcome(nodes.abort(0, 2, Reversal{Version: "v2"}), acknowledged)
	nodes.checkOutcome(nodes.begin(0, 3, "v3"), acknowledged)
	nodes.now += 2 * time.Second
	nodes.checkOutcome(nodes.abort(1, 4, Reversal{Version: "v3"}), apierror.PossibleDuplicate)
	nodes.checkNewest("v3", Shadow, 2)
	nodes.checkOutcome(nodes.abort(1, 5, Reversal{Version: "v3", Named: true}), acknowledged)
	nodes.checkNewest("v3", Reverted, 2)
	nodes.checkOutcome(nodes.begin(1, 6, "v4"), acknowledged)
	nodes.now += nodes.resendWindow + 1
	nodes.checkOutcome(nodes.abort(0, 7, Reversal{Version: "v4"}), acknowledged)
	nodes.checkNewest("v4", Reverted, 3)
}

// A reversal of a version that is not the newest, and that no operator has reversed before, is
// refused.
func TestReversalOfOlderVersionIsRefused(t *testing.T) {
	nodes := newControlNodes(t, 1)
	nodes.checkOutcome(nodes.begin(0, 1, "v2"), acknowledged)
	nodes.complete()
	nodes.checkOutcome(nodes.begin(0, 2, "v3"), acknowledged)
	nodes.checkOutcome(nodes.abort(0, 3, Reversal{Version: "v2", Named: true}), apierror.RolloutInProgress)
	nodes.checkNewest("v3", Shadow, 2)
}

// An order that is forwarded again, or sent again by its operator, is acknowledged and starts
// no rollout, whatever has been ordered since.
func TestRepeatedOrderStartsNoRollout(t *testing.T) {
	for name, id := range map[string]uint64{"forwarded again": 1, "sent again": 9} {
		t.Run(name, func(t *testing.T) {
			nodes := newControlNodes(t, 2)
			nodes.checkOutcome(nodes.begin(0, 1, "v2"), acknowledged)
			nodes.checkOutcome(nodes.abort(0, 2, Reversal{Version: "v2"}), acknowledged)
			nodes.checkOutcome(nodes.begin(0, 3, "v3"), acknowledged)
			nodes.now += 2 * time.Second
			nodes.checkOutcome(nodes.begin(1, id, "v2"), acknowledged)
			nodes.checkNewest("v3", Shadow, 2)
			nodes.complete()
			nodes.checkOutcome(nodes.begin(1, id, "v2"), acknowledged)
			nodes.checkNewest("v3", Complete, 2)
			nodes.now += nodes.resendWindow // too late for a repeat: this is a new order for v2
			nodes.checkOutcome(nodes.begin(1, 10, "v2"), acknowledged)
			nodes.checkNewest("v2", Shadow, 3)
		})
	}
}

// The record and the controller keep only the newest calls, as many as may be in progress.
func TestExecutedCallsAreBounded(t *testing.T) {
	nodes := newControlNodes(t, 1)
	for i, versions := 0, []string{"v2", "v3"}; i < 40; i++ {
		nodes.checkOutcome(nodes.begin(0, uint64(i+1), versions[i%2]), acknowledged)
		nodes.complete()
		nodes.now += 2 * nodes.resendWindow
	}
	p, _ := DecodePlan(nodes.records[PartitionOf("s")])
	if len(p.ExecutedCalls) != maxExecutedCalls || p.ExecutedCalls[maxExecutedCalls-1].ID != 40 {
		t.Errorf("the plan records %d calls: %v", len(p.ExecutedCalls), p.ExecutedCalls)
	}
	if n := len(nodes.records[PartitionOf("s")].Data); n > 512 {
		t.Errorf("the record takes %d bytes", n)
	}
	if n := nodes.controllers[0].calls.Count("s"); n != maxExecutedCalls {
		t.Errorf("the controller remembers %d calls", n)
	}
}

// An order or a reversal that was received before another rollout was ordered is refused,
// however late it comes.
func TestOutdatedCallIsRefused(t *testing.T) {
	basis := func(number uint64) *uint64 { return &number }
	plan := Plan{Service: "s", Prior: "v1", Candidate: "v3", Order: 2, Stage: Reverted, ExecutedCalls: []ExecutedCall{{ID: 7, Version: "v3"}}}
	activePlan := plan
	activePlan.Stage = Canary
	for name, c := range map[string]struct {
		plan   Plan
		abort  bool
		call   Call
		want   apierror.Kind
		passes bool
	}{
		"order based on the newest":                      {plan, false, Call{ID: 9, BaseOrder: basis(2)}, 0, true},
		"order without a basis, from an earlier release": {plan, false, Call{ID: 9}, 0, true},
		"order based on the previous one":                {plan, false, Call{ID: 9, BaseOrder: basis(1)}, apierror.OutdatedOrder, false},
		"order based on no rollout":                      {plan, false, Call{ID: 9, BaseOrder: basis(0)}, apierror.OutdatedOrder, false},
		"order that was executed":                        {plan, false, Call{ID: 7, BaseOrder: basis(1)}, 0, true},
		"reversal based on the newest":                   {activePlan, true, Call{ID: 9, BaseOrder: basis(2)}, 0, true},
		"reversal based on the previous one":             {activePlan, true, Call{ID: 9, BaseOrder: basis(1)}, apierror.OutdatedOrder, false},
	} {
		records := map[string]Record{PartitionOf("s"): c.plan.encode(4)}
		var err error
		if c.abort {
			_, err = Abort(records, "s", Reversal{}, 0, c.call)
		} else {
			_, err = Begin(records, OrderRequest{"s", "v2", 12}, "v1", c.call)
		}
		if passes := err == nil; passes != c.passes || !passes && apierror.KindOf(err) != c.want {
			t.Errorf("%s: %v", name, err)
		}
	}
}

// Guards against an order that is acknowledged and never carried out because an equal one of long ago counts as
// recent at a control node that was killed since, or that first hears of it now.
func TestOldCallsAreNotRecentAfterKills(t *testing.T) {
	for name, c := range map[string]struct {
		settle  bool          // the owner marks old calls
		restore bool          // the control node that takes the last order has saved the ages
		gap     time.Duration // between the first and the last order
		order   uint64        // of the newest rollout at the end
	}{
		"settled":                      {settle: true, gap: 6 * time.Second, order: 3},
		"killed":                       {restore: true, gap: 6 * time.Second, order: 3},
		"killed, the order sent again": {restore: true, gap: 4 * time.Second, order: 2},
		"settled too soon":             {settle: true, gap: 4 * time.Second, order: 2},
	} {
		nodes := newControlNodes(t, 2)
		nodes.checkOutcome(nodes.begin(0, 1, "v2"), acknowledged)
		nodes.complete()
		nodes.checkOutcome(nodes.begin(0, 2, "v3"), acknowledged)
		nodes.complete()
		nodes.now += c.gap
		if c.settle {
			nodes.commit(SettleCalls(nodes.records, "s", nodes.call(0, 0).MayBeResent))
		}
		started := NewController()
		if c.restore {
			started.RestoreCallAges(nodes.clock(1), nodes.controllers[1].CallAges(nodes.clock(1)))
		}
		started.RecordCommitted(nodes.clock(1), nodes.records[PartitionOf("s")])
		nodes.controllers[1] = started
		nodes.checkOutcome(nodes.begin(1, 3, "v2"), acknowledged)
		if p, _ := DecodePlan(nodes.records[PartitionOf("s")]); p.Order != c.order {
			t.Errorf("%s: the newest rollout is number %d, want %d", name, p.Order, c.order)
		}
	}
}

// A step of a rollout that was computed before its calls were settled keeps them settled.
func TestSettledCallsStaySettled(t *testing.T) {
	nodes := newControlNodes(t, 1)
	nodes.checkOutcome(nodes.begin(0, 1, "v2"), acknowledged)
	before, _ := DecodePlan(nodes.records[PartitionOf("s")])
	nodes.now += 2 * nodes.resendWindow
	settled := SettleCalls(nodes.records, "s", nodes.call(0, 0).MayBeResent)
	if len(settled) != 1 || settled[0].Gen != before.Generation || !settled[0].Newer(nodes.records[PartitionOf("s")]) {
		t.Fatalf("the calls are settled by %v", settled)
	}
	nodes.commit(settled)
	next := *before
	next.Stage = Canary
	changes, err := Advance(nodes.records, before.Generation, &next)
	if err != nil {
		t.Fatal(err)
	}
	nodes.commit(changes)
	after, _ := DecodePlan(nodes.records[PartitionOf("s")])
	if after.Stage != Canary || !after.ExecutedCalls[0].Settled || after.HasCallsToSettle(nodes.call(0, 0).MayBeResent) {
		t.Errorf("stage %v, calls %v", after.Stage, after.ExecutedCalls)
	}
}
