package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"
)

// shown is an upstream that the platform's list shows as draining.
type shown struct {
	id       string
	from, to time.Time // a zero end: it still does
}

// drain has the list show an upstream as draining, and returns what shows it as ready again.
func (p *platform) drain(id string) (s *shown, end func()) {
	p.setState(id, "draining")
	s = &shown{id: id, from: time.Now()}
	return s, func() {
		s.to = time.Now()
		p.setState(id, "ready")
	}
}

// judgeDrain looks for requests that machines sent to an upstream later than drainS after the list showed it as
// draining: "a request reaches an upstream later than drainS after ...; the time starts at the moment the
// platform's list shows it". binds says whether the rule binds a machine at a time.
func judgeDrain(t *testing.T, w *world, all []*shown, binds func(machine int, at time.Time) bool) (late int) {
	t.Helper()
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, s := range all {
		count, last := 0, time.Duration(0)
		for _, a := range w.arrivals {
			if a.id != s.id || a.at.Before(s.from.Add(drainS)) || !s.to.IsZero() && a.at.After(s.to) || !binds(a.machine, a.at) {
				continue
			}
			count++
			last = max(last, a.at.Sub(s.from))
		}
		if count > 0 {
			t.Errorf("DRAIN: %d requests reached %s later than drainS after the list showed it as draining, the last one %v after", count, s.id, last)
		}
		late += count
	}
	return late
}

// busiest is the upstream of each zone that most requests have reached since a time.
func (w *world) busiest(since time.Time) (most map[string]string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	count := map[string]int{}
	most = map[string]string{}
	for _, a := range w.arrivals {
		if a.at.Before(since) {
			continue
		}
		count[a.id]++
		if most[a.zone] == "" || count[a.id] > count[most[a.zone]] {
			most[a.zone] = a.id
		}
	}
	return most
}

// reader is the machine that reads the platform's list.
func (f *fleet) reader(ctx context.Context) *machine {
	for _, m := range f.machines {
		m.platform.takeCalls()
	}
	for ctx.Err() == nil {
		pause(ctx, drainS)
		var readers []*machine
		for _, m := range f.machines {
			if m.platform.takeCalls() > 0 {
				readers = append(readers, m)
			}
		}
		if len(readers) == 1 {
			return readers[0]
		}
	}
	return nil
}

// Guards against a reader of the platform's list that keeps the duty though its list comes late or not at all: the
// other machines went on sending to upstreams that leave.
func TestDrainingUpstreamsGetNothingWhateverTheirReaderSuffers(t *testing.T) {
	binary := build(t)
	onPath := func(state condition) func(reader *machine) func() {
		return func(reader *machine) (end func()) {
			reader.platform.set(state)
			return func() { reader.platform.set(sound) }
		}
	}
	standStill := func(reader *machine) (end func()) {
		go reader.control.stop(readerTrouble)
		return func() {}
	}
	cases := map[string]readerCase{
		"standing still":                      {inPages, standStill},
		"nothing, a long list":                {long, onPath(sound)},
		allLost.String() + ", a long list":    {long, onPath(allLost)},
		slowByCall.String() + ", a long list": {long, onPath(slowByCall)},
	}
	for state := allLost; state < conditions; state++ {
		cases[state.String()] = readerCase{inPages, onPath(state)}
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			drainBesideReader(t, binary, c)
		})
	}
}

// readerCase is a list and what its reader suffers.
type readerCase struct {
	list    listShape
	trouble func(reader *machine) (end func())
}

// listShape is how long the platform's list is.
type listShape struct {
	upstreams, pageSize int
}

var (
	// inPages is a list of eight pages.
	inPages = listShape{upstreams: len(zones) * upstreamsPerZone, pageSize: (len(zones)*upstreamsPerZone + 7) / 8}
	// long is a list whose reading is slowed by what the platform bears: 20 pages at 44 calls a second.
	long = listShape{upstreams: 1000, pageSize: 50}
)

// shape gives the list a length, by upstreams of a service that has no route.
func (p *platform) shape(s listShape) {
	for i := len(p.list); i < s.upstreams; i++ {
		p.add(fmt.Sprintf("other-%d", i), "other", "127.0.0.1:9", zones[i%len(zones)])
	}
	p.pageSize = s.pageSize
}

const (
	// readerTrouble is for how long the reader is in trouble, as long as the site's machines are cut off.
	readerTrouble = 5500 * time.Millisecond
	// beforeShown is how long the reader is in trouble before the upstream is shown as draining.
	beforeShown = 100 * time.Millisecond
)

// drainBesideReader has an upstream in each zone leave, one that is used, while the reader of the list is in trouble.
// Requests go to the other machines only.
func drainBesideReader(t *testing.T, binary string, c readerCase) {
	f := newFleet(t, binary, t.TempDir(), rand.New(rand.NewPCG(uint64(time.Now().UnixNano()), 1)), len(zones))
	defer f.end()
	w := newWorld(t, f)
	defer w.end()
	w.platform.shape(c.list)
	for _, p := range f.processes() {
		f.start(p, true)
	}
	o := &operators{fleet: f}
	defer o.end()
	ctx, cancel := context.WithTimeout(t.Context(), 4*recoveryS)
	defer cancel()
	if !o.first(ctx) {
		t.Fatal("the first configuration is not taken")
	}
	pause(ctx, contactS)
	reader := f.reader(ctx)
	if reader == nil {
		t.Fatal("no machine alone reads the list")
	}
	clients, endClients := context.WithCancel(ctx)
	var sending sync.WaitGroup
	for _, m := range f.machines {
		for n := range clientsEach {
			if m != reader {
				sending.Go(func() { w.client(clients, m, n) })
			}
		}
	}
	pause(ctx, contactS)
	end := c.trouble(reader)
	pause(ctx, beforeShown)
	var leaving []*shown
	for _, id := range w.busiest(time.Now().Add(-time.Second)) {
		s, _ := w.platform.drain(id)
		leaving = append(leaving, s)
	}
	pause(ctx, readerTrouble-beforeShown)
	end()
	pause(ctx, contactS)
	endClients()
	sending.Wait()
	late := judgeDrain(t, w, leaving, func(int, time.Time) bool { return true })
	last := time.Duration(0)
	for _, s := range leaving {
		last = max(last, w.lastTo(s.id).Sub(s.from))
	}
	t.Logf("reader %s, answers %v, %d upstreams leave, the last request to one came %.0f ms after, DRAIN %d", reader.name, w.answers, len(leaving), ms(last), late)
	if w.answers[200] == 0 || len(leaving) == 0 {
		t.Error("nothing was served")
	}
}

// lastTo is when the last request reached an upstream.
func (w *world) lastTo(id string) (last time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, a := range w.arrivals {
		if a.id == id && a.at.After(last) {
			last = a.at
		}
	}
	return last
}
