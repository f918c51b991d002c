package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"
)

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
	// inPages is a list of seven pages.
	inPages = listShape{pageSize: 3}
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
	o := &operators{history: w.history, fleet: f}
	defer o.close()
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
		s := &shown{id: id, from: time.Now()}
		w.platform.setState(id, "draining")
		leaving = append(leaving, s)
	}
	pause(ctx, readerTrouble-beforeShown)
	end()
	pause(ctx, contactS)
	endClients()
	sending.Wait()
	late := findLate(w.arrivals, leaving, func(int, time.Time) bool { return true })
	for _, text := range late {
		t.Error("DRAIN: ", text)
	}
	last := time.Duration(0)
	for _, s := range leaving {
		last = max(last, w.lastTo(s.id).Sub(s.from))
	}
	t.Logf("reader %s, answers %v, %d upstreams leave, the last request to one came %.0f ms after, DRAIN %d", reader.name, w.answers(), len(leaving), ms(last), len(late))
	if w.answers()[200] == 0 || len(leaving) == 0 {
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
