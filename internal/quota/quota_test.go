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

func config(branches ...string) AllocatorConfig {
	return AllocatorConfig{Overshoot: 0.1, Slack: 20, Window: 5 * time.Second, Life: 4200 * ms, Sure: 2400 * ms,
		Branches: func() []string { return branches }}
}

// world plays branches, allocators and a network that loses, delays and reorders,
// with branches that freeze and restart and allocators that are replaced or cut off
// while they still believe that they lend.
type world struct {
	rng    *rand.Rand
	now    time.Duration
	nodes  []*node
	events []event
	ran    map[string][]time.Duration
	asked  map[string]int
	refuse int
	calm   bool // no message is lost
	// unused is the share of the tokens that are given back.
	unused float64
}

type node struct {
	id     string
	purse  *LocalQuota
	lender *Allocator
	lentBy int
	sure   time.Duration // as an allocator; 0: it is none
	frozen time.Duration
	whole  bool
	at     time.Duration
}

type event struct {
	at time.Duration
	to int
	fn func(n *node)
}

func newWorld(seed uint64, n int) *world {
	w := &world{rng: rand.New(rand.NewPCG(seed, 1)), ran: map[string][]time.Duration{}, asked: map[string]int{}}
	var ids []string
	for i := range n {
		ids = append(ids, fmt.Sprint("a", i))
	}
	for _, id := range ids {
		x := &node{id: id, lender: NewAllocator(config(ids...)), lentBy: -1}
		w.start(x)
		w.nodes = append(w.nodes, x)
	}
	return w
}

func (w *world) start(x *node) {
	x.purse = NewLocalQuota(w.rng.Uint64()|1, w.rng.Uint64(), 300*ms)
	x.purse.SetLimits(quotas)
	x.lender.End()
	x.sure, x.lentBy, x.whole = 0, -1, true
}

func (w *world) send(to int, fn func(*node)) {
	if !w.calm && w.rng.IntN(50) == 0 {
		return
	}
	delay := time.Duration(1+w.rng.IntN(80)) * ms
	if !w.calm && w.rng.IntN(30) == 0 {
		delay *= 20
	}
	w.events = append(w.events, event{w.now + delay, to, fn})
}

func (w *world) report(i int) {
	x := w.nodes[i]
	if x.lentBy < 0 || x.purse.Awaits(w.now) {
		return
	}
	r := x.purse.Report(w.now, x.whole)
	x.whole = false
	w.send(x.lentBy, func(l *node) {
		if l.sure == 0 || w.now-l.sure > 2400*ms {
			return
		}
		if loan, ok := l.lender.Report(w.now, l.sure, x.id, r, quotas); ok {
			w.send(i, func(x *node) { // which may have a new life by then
				x.purse.Lent(w.now, loan)
				if x.whole || x.purse.Waiting() {
					w.report(i)
				}
			})
		}
	})
}

// elect makes a node the allocator; others go on believing in themselves for as long
// as they were sure.
func (w *world) elect(i int, n uint64) {
	free := time.Duration(0)
	for _, x := range w.nodes {
		free = max(free, x.sure)
	}
	x := w.nodes[i]
	x.lender.Begin(w.now, Term{N: n, Owner: "a", Life: 1}, free, n > 1)
	x.sure = w.now
	for j := range w.nodes {
		w.send(j, func(y *node) {
			if j == i || y.purse.Heeds(y.id, w.nodes[i].id, Term{N: n, Owner: "a", Life: 1}) {
				if j != i {
					y.lender.End()
					y.sure = 0
				}
				y.lentBy, y.whole = i, true
				w.report(j)
			}
		})
	}
}

func (w *world) run(limit time.Duration, rates map[string]float64, trouble bool) {
	term, leader := uint64(1), 0
	w.now, w.calm = ms, !trouble
	w.elect(0, 1)
	for ; w.now < limit; w.now += 5 * ms {
		if trouble && w.rng.IntN(600) == 0 {
			term++
			leader = w.rng.IntN(len(w.nodes))
			w.elect(leader, term)
		}
		for i, x := range w.nodes {
			if trouble && w.rng.IntN(2500) == 0 {
				x.frozen = w.now + time.Duration(w.rng.IntN(5000))*ms
			}
			if w.now < x.frozen {
				continue
			}
			if trouble && w.rng.IntN(2500) == 0 {
				w.start(x)
			}
			if i == leader && x.sure > 0 {
				x.sure = w.now // its majority answers
			}
			x.purse.Expire(w.now)
			if w.now >= x.at {
				x.at, x.whole = w.now+time.Second, true
				w.report(i)
				for j := range w.nodes { // whoever has missed the call hears of the allocator in the end
					if l := leader; w.nodes[j].lentBy != l && w.nodes[l].sure > 0 {
						t := Term{N: term, Owner: "a", Life: 1}
						w.send(j, func(y *node) {
							if y.purse.Heeds(y.id, "", t) || y.lentBy < 0 {
								y.lentBy, y.whole = l, true
							}
						})
					}
				}
			}
			for _, t := range []string{"small", "large", "open"} {
				if w.rng.Float64() < rates[t]*0.005/float64(len(w.nodes)) {
					w.asked[t]++
					if x.purse.Take(w.now, t, func(g Grant) {
						switch {
						case g != Granted:
							w.refuse++
						case w.unused > 0 && w.rng.Float64() < w.unused:
							life := x.purse.Life
							w.send(i, func(x *node) { x.purse.GiveBack(w.now, life, t) })
						default:
							w.ran[t] = append(w.ran[t], w.now)
						}
					}) {
						w.report(i)
					}
				}
			}
		}
		sort.SliceStable(w.events, func(a, b int) bool { return w.events[a].at < w.events[b].at })
		for len(w.events) > 0 && w.events[0].at <= w.now {
			e := w.events[0]
			w.events = w.events[1:]
			if x := w.nodes[e.to]; w.now >= x.frozen {
				e.fn(x)
			} else if w.rng.IntN(2) == 0 {
				w.events = append(w.events, event{x.frozen, e.to, e.fn}) // it waits at the frozen node
			}
		}
	}
}

// most is the highest number of requests in any window.
func (w *world) most(tenant string) (n int) {
	ran := w.ran[tenant]
	for i, j := 0, 0; j < len(ran); j++ {
		for ran[j]-ran[i] > 5*time.Second {
			i++
		}
		n = max(n, j-i+1)
	}
	return n
}

func bound(q Quota) int { return int((q.Rate*5+q.Burst)*1.1 + 20) }

func TestQuotasHoldWhateverFails(t *testing.T) {
	for seed := uint64(1); seed <= 60; seed++ {
		w := newWorld(seed, 3+int(seed%5))
		if seed > 40 {
			w.unused = float64(seed-40) / 25
		}
		w.run(40*time.Second, map[string]float64{"small": 80, "large": 900}, true)
		for _, tenant := range []string{"small", "large"} {
			if n := w.most(tenant); n > bound(quotas[tenant]) {
				t.Errorf("seed %d: %d requests of %s in a window, %d allowed", seed, n, tenant, bound(quotas[tenant]))
			}
		}
	}
}

func TestWhatIsInsideTheQuotaIsServed(t *testing.T) {
	for seed := uint64(1); seed <= 5; seed++ {
		w := newWorld(seed, 9)
		w.run(30*time.Second, map[string]float64{"small": 7.5, "large": 190, "open": 50}, false)
		asked := w.asked["small"] + w.asked["large"] + w.asked["open"]
		if w.refuse*50 > asked {
			t.Errorf("seed %d: %d of %d refused", seed, w.refuse, asked)
		}
	}
}

// Requests that are not sent on use nothing up: those of the tenant that stay are served, though all
// together are beyond its quota.
func TestTokensThatAreNotUsedServeOthers(t *testing.T) {
	refusedOf := func(unused float64) (part float64) {
		asked, refused := 0, 0
		for seed := uint64(1); seed <= 5; seed++ {
			w := newWorld(seed, 3)
			w.unused = unused
			w.run(30*time.Second, map[string]float64{"large": 390}, false)
			asked, refused = asked+w.asked["large"], refused+w.refuse
		}
		return float64(refused) / float64(asked)
	}
	all, half := refusedOf(0), refusedOf(.5)
	if all < .15 || half > all/3 {
		t.Errorf("refused: %.3f, and %.3f if half of the tokens are not used", all, half)
	}
}

// A token goes back to the life of the branch that gave it, and not beyond the cap.
func TestTokensGoBackToTheLifeThatGaveThem(t *testing.T) {
	p := NewLocalQuota(7, 0, 300*ms)
	p.SetLimits(quotas)
	b := p.bucket("small")
	b.cap, p.sharesExpireAt = 2, time.Hour
	for _, c := range []struct {
		life   uint64
		tenant string
		want   float64
	}{{6, "small", 0}, {0, "small", 0}, {7, "ghost", 0}, {7, "small", 1}, {7, "small", 2}, {7, "small", 2}} {
		if p.GiveBack(ms, c.life, c.tenant); b.tokens != c.want {
			t.Errorf("%+v: %g", c, b.tokens)
		}
	}
	if p.GiveBack(2*time.Hour, 7, "small"); b.tokens != 0 {
		t.Errorf("a share that has lapsed: %g", b.tokens)
	}
}

func TestOneGatewayOfManyIsServedAtOnce(t *testing.T) {
	l := NewAllocator(config("a", "b"))
	l.Begin(0, Term{N: 1, Owner: "a", Life: 1}, 0, false)
	p := NewLocalQuota(1, 0, 300*ms)
	p.SetLimits(quotas)
	var got []Grant
	if !p.Take(10*ms, "small", func(g Grant) { got = append(got, g) }) {
		t.Fatal("the allocator is not asked")
	}
	loan, ok := l.Report(20*ms, 20*ms, "a", p.Report(10*ms, true), quotas)
	if !ok {
		t.Fatal("no answer")
	}
	p.Lent(30*ms, loan)
	if len(got) != 1 || got[0] != Granted {
		t.Errorf("served: %v", got)
	}
	if p.Take(31*ms, "ghost", func(g Grant) { got = append(got, g) }) || len(got) != 2 || got[1] != Unknown {
		t.Errorf("a tenant whose limit is not known: %v", got)
	}
	// The allocator falls silent: what is lent serves until it is used up, and then nobody
	// here can say whether the tenant is over its quota.
	drain := func(now time.Duration) {
		for len(got) < 100 && !p.Waiting() {
			p.Take(now, "small", func(g Grant) { got = append(got, g) })
		}
	}
	drain(40 * ms)
	p.Report(50*ms, false)
	if p.Expire(50*ms + p.Patience + 1); got[len(got)-1] != Unknown {
		t.Errorf("a silent lender: %v", got)
	}
	// It answers that the quota is used up.
	drain(500 * ms)
	r := p.Report(510*ms, false)
	p.Lent(520*ms, Allocation{Term: Term{N: 1, Owner: "a", Life: 1}, Seq: r.Seq, Life: time.Second, Shares: []Share{{Tenant: "small"}}})
	if got[len(got)-1] != Over {
		t.Errorf("used up: %v", got)
	}
}

func TestAnswersThatDoNotCount(t *testing.T) {
	l := NewAllocator(config("a", "b", "c"))
	l.Begin(0, Term{N: 2, Owner: "a", Life: 1}, 0, false)
	p := NewLocalQuota(1, 0, 300*ms)
	p.SetLimits(quotas)
	first, _ := l.Report(ms, ms, "a", p.Report(0, true), quotas)
	second, _ := l.Report(2*ms, 2*ms, "a", p.Report(ms, true), quotas)
	p.Lent(3*ms, first)
	if !p.Awaits(3 * ms) {
		t.Error("the answer to an older report is taken")
	}
	p.Lent(3*ms, second)
	if p.Awaits(3 * ms) {
		t.Error("the answer to the last report is not taken")
	}
	if _, ok := l.Report(4*ms, 4*ms, "a", Report{Life: 1, Seq: 1, Whole: true}, quotas); ok {
		t.Error("an old report is answered")
	}
	if _, ok := l.Report(4*ms, 4*ms, "b", Report{Life: 5, Seq: 1}, quotas); ok {
		t.Error("a branch that has not said what it has is answered")
	}
	if _, ok := l.Report(10*time.Second, ms, "c", Report{Life: 7, Seq: 1, Whole: true}, quotas); ok {
		t.Error("an allocator that is not sure of itself answers")
	}
}

func TestKey(t *testing.T) {
	for line, want := range map[string]string{"Bearer abc": "abc", "bearer abc": "abc", "Basic abc": "", "abc": "", "Bearer ": ""} {
		if got := Key(http.Header{"Authorization": {line}}); got != want {
			t.Errorf("%q: %q", line, got)
		}
	}
	if got := Key(http.Header{"Authorization": {"Bearer a", "Bearer b"}}); got != "" {
		t.Errorf("two keys: %q", got)
	}
}

// Two owners may have the same number. If branches ordered them otherwise than the
// owners do, a branch that had heard of the earlier one would refuse the later
// one's allocations for ever.
func TestABranchFollowsTheLaterOfTwoOwnersWithOneNumber(t *testing.T) {
	early, late := Term{N: 1, Owner: "a", Life: 9}, Term{N: 1, Owner: "b", Life: 3}
	p := NewLocalQuota(1, 0, 300*ms)
	p.SetLimits(quotas)
	for i, term := range []Term{early, late, early} {
		now := time.Duration(i) * time.Second
		r := p.Report(now, true)
		p.Lent(now+ms, Allocation{Term: term, Seq: r.Seq, Life: time.Second})
		if taken := !p.Awaits(now + ms); taken != (i < 2) {
			t.Errorf("loan %d of %v: taken is %v", i, term, taken)
		}
	}
}

func TestCallsThatABranchHeeds(t *testing.T) {
	p := NewLocalQuota(1, 0, 300*ms)
	r := p.Report(0, true)
	p.Lent(ms, Allocation{Term: Term{N: 2, Owner: "b", Life: 1}, Seq: r.Seq, Life: time.Second})
	for _, c := range []struct {
		from string
		term Term
		want bool
	}{
		{"b", Term{N: 3, Owner: "b", Life: 1}, true},
		{"b", Term{N: 2, Owner: "b", Life: 1}, true}, // it has lost its books, or asks again
		{"c", Term{N: 1, Owner: "c", Life: 1}, false},
		{"a", Term{N: 3, Owner: "a", Life: 1}, false}, // itself
	} {
		if got := p.Heeds("a", c.from, c.term); got != c.want {
			t.Errorf("%s under %v: %v", c.from, c.term, got)
		}
	}
}

// A loan that comes late answers the report of that number of a former life, not this one's.
func TestALoanForAFormerLifeIsNotTaken(t *testing.T) {
	l := NewAllocator(config("a", "b"))
	l.Begin(0, Term{N: 1, Owner: "a", Life: 1}, 0, false)
	former, present := NewLocalQuota(1, 77, 300*ms), NewLocalQuota(2, 5, 300*ms)
	loan, ok := l.Report(ms, ms, "b", former.Report(0, true), quotas)
	if !ok {
		t.Fatal("no answer")
	}
	present.Report(2*ms, true)
	if present.Lent(3*ms, loan); !present.Awaits(3 * ms) {
		t.Error("the allocation for the former life is taken")
	}
	highest := NewLocalQuota(3, math.MaxUint64, 300*ms)
	first, second := highest.Report(0, true), highest.Report(ms, true)
	if second.Seq <= first.Seq {
		t.Errorf("report %d follows %d", second.Seq, first.Seq)
	}
}

// An allocator that follows another moves shares to where requests come as soon as all branches
// have said what they have. It used to leave them where its first allocations had put them until
// nothing of the allocator before could be in use.
func TestANewLenderMovesSharesOnceAllAreHeard(t *testing.T) {
	l := NewAllocator(config("a", "b", "c"))
	l.Begin(0, Term{N: 2, Owner: "a", Life: 1}, 0, true)
	seq := map[string]uint64{}
	have := map[string]Share{}
	report := func(now time.Duration, id string, demand float64) {
		seq[id]++
		s := have[id]
		s.Tenant, s.Demand, s.Tokens = "large", demand, 0
		loan, ok := l.Report(now, now, id, Report{Life: 1, Seq: seq[id], Whole: true, Shares: []Share{s}}, quotas)
		if !ok || len(loan.Shares) != 1 {
			t.Fatalf("at %v %s gets no answer: %+v", now, id, loan)
		}
		have[id] = loan.Shares[0]
	}
	large := quotas["large"].Rate
	now := ms
	for range 3 {
		for _, id := range []string{"a", "b", "c"} {
			report(now, id, map[string]float64{"a": large / 20, "b": large / 2, "c": large / 2}[id])
		}
		now += ms
	}
	// The requests come at a now.
	for ; now < l.othersExpiredAt/2; now += l.othersExpiredAt / 20 {
		for _, id := range []string{"a", "b", "c"} {
			report(now, id, map[string]float64{"a": large / 2, "b": large / 20, "c": large / 20}[id])
		}
	}
	if got := have["a"].Rate; got < large/2 {
		t.Errorf("at %v the branch that half of the quota is asked of has %v of %v; the others %v and %v", now, got, large, have["b"].Rate, have["c"].Rate)
	}
}

// An allocator that was unsure of itself for a while still knows what is lent.
func TestALenderThatWasUnsureKeepsItsBooks(t *testing.T) {
	l := NewAllocator(config("a", "b"))
	term := Term{N: 1, Owner: "a", Life: 1}
	l.Begin(0, term, 0, false)
	report := Report{Life: 1, Seq: 1, Whole: true, Shares: []Share{{Tenant: "large", Demand: 100}}}
	loan, ok := l.Report(ms, ms, "b", report, quotas)
	if !ok || len(loan.Shares) != 1 || loan.Shares[0].Rate < 100 {
		t.Fatalf("loan: %+v", loan)
	}
	l.End()
	l.Begin(2*ms, term, 0, false)
	if got := l.State("large", quotas["large"]); got.Lent != loan.Shares[0].Rate {
		t.Errorf("lent by the books: %v, in fact %v", got.Lent, loan.Shares[0].Rate)
	}
}
