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
	defaultSeconds   = 30 // of troubles
	defaultMachines  = 8
	defaultParallel  = 2
	operatorCount    = 3
	applicationCount = 4
	clientsEach      = 2 // of each gateway
)

func number(name string, or int) int {
	if n, err := strconv.Atoi(os.Getenv(name)); err == nil {
		return n
	}
	return or
}

// TestRulesUnderTroubles runs SOAK_SEEDS runs from seed SOAK_FIRST on, SOAK_PARALLEL at a
// time, of SOAK_MACHINES machines and SOAK_SECONDS seconds of troubles each. Logs of a run that
// fails are kept below SOAK_LOGS.
func TestRulesUnderTroubles(t *testing.T) {
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

// soak plays one run and judges it by every rule. With an odd seed each operator has a zone of its own, with an
// even one they share three zones. The run ends with a closing fault: all processes are killed at once, right after an
// acknowledgement.
func soak(t *testing.T, binary string, seed uint64) {
	draw := func(stream uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, stream)) }
	f := newFleet(t, binary, runFolder(t, seed), draw(1), number("SOAK_MACHINES", defaultMachines))
	defer f.end()
	w := newWorld(t, f)
	defer w.end()
	w.platform.pageSize = int(seed % 8) // 0: the list is one page
	for _, p := range f.processes() {
		f.start(p, true)
	}
	o := &operators{history: w.history, fleet: f}
	defer o.close()
	starting, cancel := context.WithTimeout(t.Context(), 2*recoveryS)
	defer cancel()
	if !o.first(starting) {
		t.Fatal("the first configuration is not taken")
	}
	pause(t.Context(), 4*time.Second)

	clients, endClients := context.WithCancel(t.Context())
	defer endClients()
	var sending sync.WaitGroup
	for _, m := range f.machines {
		for n := range clientsEach {
			sending.Go(func() { w.client(clients, m, n) })
		}
	}
	applications, endApplications := context.WithCancel(t.Context())
	defer endApplications()
	for n := range applicationCount {
		sending.Go(func() { newApplication(w.history, f, n).run(applications, draw(uint64(40+n))) })
	}
	w.trouble(t, f, o, seed, draw)
	pause(t.Context(), contactS)
	w.wayward.Store(false)
	f.closeDown(t, o, draw(5))
	pause(t.Context(), recoveryS+troubleSpan)
	o.readEnd(t)
	endClients()
	endApplications()
	sending.Wait()
	w.judge(t, f)
}

// trouble has operators and the platform do their work while troubles come.
func (w *world) trouble(t *testing.T, f *fleet, o *operators, seed uint64, draw func(stream uint64) *rand.Rand) {
	troubled, end := context.WithTimeout(t.Context(), time.Duration(number("SOAK_SECONDS", defaultSeconds))*time.Second)
	defer end()
	w.wayward.Store(true)
	var acting sync.WaitGroup
	for i := range operatorCount {
		among := zones[1:]
		if seed%2 == 1 {
			among = zones[1+i : 2+i]
		}
		acting.Go(func() { o.operate(troubled, draw(uint64(10+i)), i, among) })
	}
	acting.Go(func() { o.change(troubled, draw(2)) })
	acting.Go(func() { o.readBack(troubled, draw(3)) })
	acting.Go(func() { w.drains(troubled, draw(4), f) })
	for i, s := range allSeries {
		acting.Go(func() { s(troubled, draw(uint64(20+i)), f) })
	}
	acting.Wait()
	o.waking.Wait()
}

// downtime is for how long all processes are gone after the closing fault.
const downtime = time.Second

// closeDown kills all processes right after a change was acknowledged, and starts them again.
func (f *fleet) closeDown(t *testing.T, o *operators, random *rand.Rand) {
	last := o.versions[len(o.versions)-1].generation
	if !o.bringIn(t.Context(), random, last+1, func(*rand.Rand) fate { return passes }) {
		t.Error("Acks: a change has no acknowledgement in a calm time")
	}
	f.killAll()
	o.closing.at = time.Now()
	time.Sleep(downtime)
	for _, p := range f.processes() {
		f.start(p, false)
	}
	o.closing.back = time.Now()
}

// killAll kills all processes at once. They count as in trouble until the next start has had its time.
func (f *fleet) killAll() {
	for _, p := range f.processes() {
		end := p.troubles.begin(unplanned)
		p.signal(syscall.SIGKILL)
		time.AfterFunc(downtime+recoveryS, end)
	}
	for _, p := range f.processes() {
		p.mu.Lock()
		exited := p.exited
		p.mu.Unlock()
		<-exited
	}
}

// readEnd reads the configuration back at each node until it answers.
func (o *operators) readEnd(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), recoveryS)
	defer cancel()
	for _, address := range o.fleet.controlAddresses() {
		for !o.readAt(address) {
			if ctx.Err() != nil {
				t.Errorf("CONFIG: %s doesn't answer a read at the end", address)
				return
			}
			pause(ctx, firstPause)
		}
	}
}

// judge holds every rule against what was seen.
func (w *world) judge(t *testing.T, f *fleet) {
	answers := w.answers()
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, j := range judges {
		found := j.find(w.history)
		for _, text := range found[:min(len(found), foundMost)] {
			t.Errorf("%s: %s", j.rule, text)
		}
		if len(found) > foundMost {
			t.Errorf("%s: %d in all", j.rule, len(found))
		}
	}
	t.Logf("%d requests, answers %v; %d orders, %d versions, %d reads, %d upstreams left, %d holds, %d numbers",
		len(w.requests), answers, len(w.orders), len(w.versions), len(w.reads), len(w.draining), len(w.holds), len(w.numbers))
	if t.Failed() {
		explain(t, f, w.orders)
	}
}

// foundMost is how many findings of a rule are told.
const foundMost = 3

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

func ms(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// explain prints the orders, and what owners and gateways log of them.
func explain(t *testing.T, f *fleet, orders []*orderRecord) {
	for _, r := range orders {
		t.Log(r)
	}
	for _, p := range f.processes() {
		for _, s := range p.troubles.all {
			t.Logf("%s %s: trouble from %s to %s", p.machine.name, p.role, f.logTime(s.from), f.logTime(s.to))
		}
		text, _ := os.ReadFile(f.logPath(p))
		for _, line := range strings.Split(string(text), "\n") {
			if strings.Contains(line, "evacuation") || strings.Contains(line, "out of contact") || strings.Contains(line, "duty") {
				t.Logf("%s %s: %s", p.machine.name, p.role, line)
			}
		}
	}
	for _, m := range f.machines {
		for _, s := range m.platform.troubles.all {
			t.Logf("%s, its way to the platform: trouble from %s to %s", m.name, f.logTime(s.from), f.logTime(s.to))
		}
	}
	t.Logf("the run began at %s", f.began.UTC().Format("15:04:05.000"))
}
