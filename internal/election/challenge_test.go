package election

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

const (
	tick     = 50 * time.Millisecond
	drain    = 2500 * time.Millisecond // within which a change has to be known
	limit    = drain / 2
	poll     = drain / 5
	strikes  = 12
	calmLeft = 4 * time.Second // between the end of a trouble and the next one
)

// trouble is what is wrong with a node.
type trouble int

const (
	none     trouble = iota
	unable           // its work fails
	endless          // its work never ends
	slow             // its work takes several times as long as the others'
	mute             // its results don't reach the others; its votes do
	deaf             // nothing reaches it
	unheard          // nothing comes from it
	cutOff           // both
	standing         // the process stands still
	troubles
)

func (t trouble) String() string {
	return [...]string{"none", "unable", "endless", "slow", "mute", "deaf", "unheard", "cut off", "standing"}[t]
}

// worker is a node that does the duty if it has it, or if the results of the holder are too old.
type worker struct {
	elector           *Elector
	trouble           trouble
	known, own        time.Duration // as Progress has them
	began, ends, next time.Duration // of the work under way; ends 0: there is none
}

// workplace is some nodes of which one does a duty for all. The messages between them take no time.
type workplace struct {
	t       *testing.T
	now     time.Duration
	ids     []string
	workers map[string]*worker
	faults  int // how many nodes may be in trouble at a time
	readers int // the most that have worked at a time
	taken   int // results
}

func newWorkplace(t *testing.T, n int) *workplace {
	t.Helper()
	p := &workplace{t: t, workers: map[string]*worker{}, faults: (n - 1) / 2}
	for i := range n {
		p.ids = append(p.ids, fmt.Sprintf("a%d", i))
	}
	for _, id := range p.ids {
		w := &worker{}
		w.elector = New(Config{Self: id, Duties: []string{"list"}, Lease: lease, Roster: func() []string { return p.ids },
			Alive:    func(string) bool { return true },
			Progress: func(time.Duration, string) Progress { return Progress{Known: w.known, Own: w.own, Limit: limit} }})
		p.workers[id] = w
	}
	return p
}

// reaches says whether a message gets from one node to another.
func (p *workplace) reaches(from, to string, result bool) bool {
	a, b := p.workers[from].trouble, p.workers[to].trouble
	return a != unheard && a != cutOff && a != standing && b != deaf && b != cutOff && b != standing && (a != mute || !result)
}

func (p *workplace) run(span time.Duration) {
	for end := p.now + span; p.now < end; p.now += tick {
		for _, id := range p.ids {
			if w := p.workers[id]; w.trouble != standing {
				w.elector.Tick(p.now)
				p.work(id, w)
			}
		}
		p.deliver()
		p.judge()
	}
}

// work lets a node go on with its work, begin it if it is due, and tell what it has done.
func (p *workplace) work(id string, w *worker) {
	_, holds := w.elector.Holds(p.now, "list")
	place, _ := w.elector.Deputy(p.now, "list")
	deputy := p.now-w.known > limit && place <= p.faults
	if w.ends == 0 && p.now >= w.next && (holds || deputy) {
		w.began, w.ends, w.next = p.now, p.now+tick, p.now+poll
		switch w.trouble {
		case slow:
			w.ends = p.now + 4*drain
		case endless:
			w.ends = p.now + 1000*drain
		}
	}
	if w.ends == 0 || p.now < w.ends {
		return
	}
	w.ends = 0
	if w.trouble == unable {
		return
	}
	w.own = w.began
	if holds {
		p.tell(id, w.own)
	}
}

// tell brings a result to all nodes that it reaches.
func (p *workplace) tell(from string, asOf time.Duration) {
	p.taken++
	for _, id := range p.ids {
		if id == from || p.reaches(from, id, true) {
			p.workers[id].known = max(p.workers[id].known, asOf)
		}
	}
}

func (p *workplace) deliver() {
	for again := true; again; {
		again = false
		for _, id := range p.ids {
			if p.workers[id].trouble == standing {
				continue
			}
			out, changed := p.workers[id].elector.Take()
			for _, e := range out {
				if p.reaches(id, e.To, false) {
					again = true
					p.workers[e.To].elector.Handle(p.now, id, e.Msg)
				}
			}
			if _, holds := p.workers[id].elector.Holds(p.now, "list"); len(changed) > 0 && holds {
				again = true
				p.tell(id, p.workers[id].own)
			}
		}
	}
}

// judge looks for nodes without trouble whose newest result is too old.
func (p *workplace) judge() {
	working := 0
	for _, id := range p.ids {
		w := p.workers[id]
		if w.ends > 0 && w.trouble != endless && w.trouble != slow {
			working++
		}
		if w.trouble == none && p.now > 2*drain && p.now-w.known > drain {
			p.t.Fatalf("at %v, %s has nothing newer than of %v ago; %s", p.now, id, p.now-w.known, p)
		}
	}
	p.readers = max(p.readers, working)
}

func (p *workplace) holder() string {
	for _, id := range p.ids {
		if _, holds := p.workers[id].elector.Holds(p.now, "list"); holds && p.workers[id].trouble == none {
			return id
		}
	}
	return p.ids[0]
}

func (p *workplace) String() (out string) {
	for _, id := range p.ids {
		w := p.workers[id]
		term, holds := w.elector.Holds(p.now, "list")
		out += fmt.Sprintf("%s: %v, holds %v (%d), knows of %v; ", id, w.trouble, holds, term, w.known)
	}
	return out
}

// Whatever is wrong with the holder of a duty, and with the next one after it, all others have a result that is new
// enough: a duty rests on what has come of it at a majority, not on the holder being alive.
func TestADutyGoesOnFromAHolderWithoutResults(t *testing.T) {
	for kind := unable; kind < troubles; kind++ {
		t.Run(kind.String(), func(t *testing.T) {
			p := newWorkplace(t, 4)
			p.run(2 * drain)
			for range 4 {
				struck := p.workers[p.holder()]
				struck.trouble = kind
				p.run(3 * drain)
				struck.trouble, struck.ends = none, 0
				struck.known = p.now // it is given time to catch up
				p.run(calmLeft)
			}
		})
	}
}

// Holders are struck one after the other by troubles that are drawn, on some runs two of five at a time.
func TestADutyGoesOnThroughSeriesOfTroubles(t *testing.T) {
	for seed := range uint64(300) {
		random := rand.New(rand.NewPCG(seed, 1))
		nodes, most := 4, 1
		if seed%2 == 1 {
			nodes, most = 5, 2
		}
		p := newWorkplace(t, nodes)
		p.run(2 * drain)
		for range strikes {
			var struck []*worker
			for range 1 + random.IntN(most) {
				w := p.workers[p.holder()]
				w.trouble = none + 1 + trouble(random.IntN(int(troubles)-1))
				struck = append(struck, w)
				p.run(time.Duration(random.IntN(int(drain/8))) + drain)
			}
			p.run(time.Duration(random.IntN(int(2 * drain))))
			for _, w := range struck {
				w.trouble, w.ends, w.known = none, 0, p.now
			}
			p.run(calmLeft)
		}
		if t.Failed() {
			t.Fatalf("seed %d", seed)
		}
	}
}

// While nothing is wrong, the holder alone works, and the duty stays with it.
func TestADutyStaysWhileItsResultsCome(t *testing.T) {
	p := newWorkplace(t, 4)
	p.run(2 * drain)
	at := p.holder()
	term, _ := p.workers[at].elector.Holds(p.now, "list")
	p.readers = 0
	p.run(40 * drain)
	if now, _ := p.workers[at].elector.Holds(p.now, "list"); p.holder() != at || now != term {
		t.Errorf("%s under term %d, then %s", at, term, p)
	}
	if p.readers > 1 {
		t.Errorf("%d worked at a time", p.readers)
	}
}

// Where nobody can do the duty, its holder keeps it, and terms don't rise.
func TestADutyStaysWhileNobodyCanDoIt(t *testing.T) {
	p := newWorkplace(t, 4)
	p.run(2 * drain)
	at := p.holder()
	term, _ := p.workers[at].elector.Holds(p.now, "list")
	for _, w := range p.workers {
		w.trouble = unable
	}
	p.run(20 * drain)
	if now, holds := p.workers[at].elector.Holds(p.now, "list"); !holds || now != term {
		t.Errorf("%s had it under term %d, then %s", at, term, p)
	}
}

// One node alone that gets no results changes nothing for the others: it asks before it stands.
func TestOneNodeWithoutResultsDoesNotTakeADuty(t *testing.T) {
	p := newWorkplace(t, 4)
	p.run(2 * drain)
	at := p.holder()
	term, _ := p.workers[at].elector.Holds(p.now, "list")
	alone := p.workers[p.ids[0]]
	if p.ids[0] == at {
		alone = p.workers[p.ids[1]]
	}
	for range 100 {
		alone.known, alone.own = p.now-3*drain, p.now
		p.now += tick
		alone.elector.Tick(p.now)
		p.deliver()
		for _, id := range p.ids {
			if w := p.workers[id]; w != alone {
				w.known = p.now
				w.elector.Tick(p.now)
			}
		}
		p.deliver()
	}
	if now, holds := p.workers[at].elector.Holds(p.now, "list"); !holds || now != term {
		t.Errorf("%s had it under term %d, then %s", at, term, p)
	}
}
