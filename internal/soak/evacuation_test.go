package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// What a run is made of. The environment may say otherwise.
const (
	defaultSeconds  = 30 // of troubles
	defaultMachines = 8
	defaultParallel = 2
	operatorCount   = 3
	clientsEach     = 2 // of each gateway
)

func number(name string, or int) int {
	if n, err := strconv.Atoi(os.Getenv(name)); err == nil {
		return n
	}
	return or
}

// TestEvacuatedZonesGetNothing runs SOAK_SEEDS runs from seed SOAK_FIRST on, SOAK_PARALLEL at a
// time, of SOAK_MACHINES machines and SOAK_SECONDS seconds of troubles each. Logs of a run that
// fails are kept below SOAK_LOGS.
func TestEvacuatedZonesGetNothing(t *testing.T) {
	seeds := number("SOAK_SEEDS", 0)
	if seeds == 0 {
		t.Skip("SOAK_SEEDS says how many runs there are to be")
	}
	binary := build(t)
	slots := make(chan struct{}, number("SOAK_PARALLEL", defaultParallel))
	for seed := number("SOAK_FIRST", 1); seeds > 0; seed, seeds = seed+1, seeds-1 {
		t.Run(fmt.Sprintf("seed-%d", seed), func(t *testing.T) {
			t.Parallel()
			slots <- struct{}{}
			defer func() { <-slots }()
			soak(t, binary, uint64(seed))
		})
	}
}

// build builds the program.
func build(t *testing.T) string {
	binary := filepath.Join(t.TempDir(), "madderwing")
	if out, err := exec.Command("go", "build", "-o", binary, "madderwing/cmd/madderwing").CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	return binary
}

// soak plays one run and judges it. With an odd seed each operator has a zone of its own, with an
// even one they share three zones.
func soak(t *testing.T, binary string, seed uint64) {
	random := rand.New(rand.NewPCG(seed, 1))
	dir := runFolder(t, seed)
	f := newFleet(t, binary, dir, random, number("SOAK_MACHINES", defaultMachines))
	defer f.end()
	w := newWorld(t, f)
	defer w.end()
	for _, p := range f.processes() {
		f.start(p, true)
	}
	o := &operators{fleet: f}
	defer o.end()
	starting, cancel := context.WithTimeout(t.Context(), 2*recoveryS)
	defer cancel()
	if !o.first(starting) {
		t.Fatal("the first configuration is not taken")
	}
	pause(t.Context(), 4*time.Second)

	span := time.Duration(number("SOAK_SECONDS", defaultSeconds)) * time.Second
	clients, endClients := context.WithCancel(t.Context())
	troubled, endTroubles := context.WithTimeout(t.Context(), span)
	defer endTroubles()
	var sending, acting sync.WaitGroup
	for _, m := range f.machines {
		for n := range clientsEach {
			sending.Go(func() { w.client(clients, m, n) })
		}
	}
	for i := range operatorCount {
		own, among := rand.New(rand.NewPCG(seed, uint64(10+i))), zones[1:]
		if seed%2 == 1 {
			among = zones[1+i : 2+i]
		}
		acting.Go(func() { o.operate(troubled, own, i, among) })
	}
	acting.Go(func() { o.change(troubled, rand.New(rand.NewPCG(seed, 2)), "added") })
	for i, series := range []func(context.Context, *rand.Rand, *fleet){stops, stops, restarts, reloads} {
		own := rand.New(rand.NewPCG(seed, uint64(20+i)))
		acting.Go(func() { series(troubled, own, f) })
	}
	acting.Wait()
	o.waking.Wait()
	pause(t.Context(), contactS)
	endClients()
	sending.Wait()
	judge(t, f, w, o)
}

// runFolder is where a run keeps its settings, disks and logs.
func runFolder(t *testing.T, seed uint64) string {
	logs := os.Getenv("SOAK_LOGS")
	if logs == "" {
		return t.TempDir()
	}
	dir := filepath.Join(logs, fmt.Sprintf("seed-%d", seed))
	_ = os.RemoveAll(dir)
	if err := os.MkdirAll(dir, 0o700); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if !t.Failed() {
			_ = os.RemoveAll(dir)
		}
	})
	return dir
}

// Troubles come for a while and then rest, so that there are times in which the rules bind.
const (
	troubleSpan = 7 * time.Second
	troubleRest = 9 * time.Second
)

// troubled says whether troubles may begin now.
func (f *fleet) troubled() bool {
	return time.Since(f.began)%(troubleSpan+troubleRest) <= troubleSpan
}

// untilTrouble waits, and then for the next time at which troubles may begin. It says whether there is one.
func (f *fleet) untilTrouble(ctx context.Context, span time.Duration) bool {
	pause(ctx, span)
	if at := time.Since(f.began) % (troubleSpan + troubleRest); at > troubleSpan {
		pause(ctx, troubleSpan+troubleRest-at)
	}
	return ctx.Err() == nil
}

// between draws a time.
func between(random *rand.Rand, least, most time.Duration) time.Duration {
	return least + time.Duration(random.Float64()*float64(most-least))
}

// stops has one process after the other stand still, control nodes with a disk most often.
func stops(ctx context.Context, random *rand.Rand, f *fleet) {
	for f.untilTrouble(ctx, between(random, 100*time.Millisecond, 2*time.Second)) {
		p := f.core()[random.IntN(len(f.core()))].control
		if random.Float64() < 0.2 {
			all := f.processes()
			p = all[random.IntN(len(all))]
		}
		p.stop(between(random, 200*time.Millisecond, 5*time.Second))
	}
}

// restarts ends one process after the other by SIGKILL or SIGTERM and starts it again.
func restarts(ctx context.Context, random *rand.Rand, f *fleet) {
	for f.untilTrouble(ctx, between(random, time.Second, 20*time.Second)) {
		s := syscall.SIGKILL
		if random.Float64() < 0.5 {
			s = syscall.SIGTERM
		}
		all := f.processes()
		f.restart(all[random.IntN(len(all))], s, between(random, 100*time.Millisecond, 1500*time.Millisecond))
	}
}

// reloads sends SIGHUP to one process after the other.
func reloads(ctx context.Context, random *rand.Rand, f *fleet) {
	for ctx.Err() == nil {
		pause(ctx, between(random, time.Second, 6*time.Second))
		all := f.processes()
		all[random.IntN(len(all))].signal(syscall.SIGHUP)
	}
}

// standing is an operator's evacuation, from its acknowledgement until its withdrawal was first sent.
type standing struct {
	order   *orderRecord
	until   time.Time
	reached []arrival
}

// standings are the evacuations that were acknowledged. What an operator has not been told is
// in force may be, or may not.
func (o *operators) standings() (out []*standing) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for i, r := range o.orders {
		if !r.evacuate || r.acked.IsZero() {
			continue
		}
		s := &standing{order: r, until: time.Now()}
		for _, later := range o.orders[i+1:] {
			if later.operator == r.operator && !later.evacuate {
				s.until = later.sent
				break
			}
		}
		out = append(out, s)
	}
	return out
}

// judge looks for requests that reached a zone though an operator's evacuation of it stood.
func judge(t *testing.T, f *fleet, w *world, o *operators) {
	total, judged := 0, 0
	for _, s := range o.standings() {
		judged++
		for _, a := range w.arrivalsIn(s.order.zone, s.order.acked.Add(evacuateS), s.until) {
			if f.binds(a, s.order.acked) {
				s.reached = append(s.reached, a)
			}
		}
		if len(s.reached) == 0 {
			continue
		}
		total += len(s.reached)
		first, last := s.reached[0], s.reached[len(s.reached)-1]
		t.Errorf("%d requests reached zone %s, from %.0f to %.0f ms after its evacuation by operator %d was acknowledged at %s (the first: %s at %s)",
			len(s.reached), s.order.zone, ms(first.at.Sub(s.order.acked)), ms(last.at.Sub(s.order.acked)), s.order.operator,
			f.logTime(s.order.acked), first.attempt, f.logTime(first.at))
	}
	t.Logf("%d evacuations judged, %d orders, answers %v, EVAC %d", judged, len(o.orders), w.answers, total)
	if t.Failed() {
		explain(t, f, o)
	}
}

func ms(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// binds says whether EVAC binds the machine that a request came from: it is in touch, or no core
// machine but a minority had trouble and the longer bound is over too.
func (f *fleet) binds(a arrival, acked time.Time) bool {
	since := a.at.Add(-contactS)
	if m := f.machines[a.machine]; !m.gateway.calm(since, a.at) {
		return false
	}
	settled, ran := true, 0
	for _, m := range f.core() {
		settled = settled && m.control.calm(since, a.at)
		if m.control.calm(acked, a.at) {
			ran++
		}
	}
	return settled || a.at.After(acked.Add(evacuateS+stretchMaxS)) && ran > len(f.core())/2
}

// explain prints the orders, and what owners and gateways log of them.
func explain(t *testing.T, f *fleet, o *operators) {
	for _, r := range o.orders {
		t.Log(r)
	}
	for _, p := range f.processes() {
		for _, s := range p.troubles {
			t.Logf("%s %s: trouble from %s to %s", p.machine.name, p.role, f.logTime(s.from), f.logTime(s.to))
		}
		text, _ := os.ReadFile(f.logPath(p))
		for _, line := range strings.Split(string(text), "\n") {
			if strings.Contains(line, "evacuation") || strings.Contains(line, "out of contact") {
				t.Logf("%s %s: %s", p.machine.name, p.role, line)
			}
		}
	}
	t.Logf("the run began at %s", f.began.UTC().Format("15:04:05.000"))
}
