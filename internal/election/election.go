// Package election gives each duty to one control node. A duty that falls vacant is won
// by an election; its holder keeps it while a majority goes on voting
// for it. Two holders at once do no harm to what is kept, only to cost: the
// results of a duty are guarded by what they are written to.
package election

import (
	"sort"
	"time"

	"madderwing/internal/rendezvous"
)

// Message asks for a vote, or is the answer.
type Message struct {
	Duty   string `cbor:"1,keyasint"`
	Term   uint64 `cbor:"2,keyasint"`
	Vote   bool   `cbor:"3,keyasint,omitempty"` // an answer
	OK     bool   `cbor:"4,keyasint,omitempty"`
	Resign bool   `cbor:"5,keyasint,omitempty"`
	Used   uint64 `cbor:"6,keyasint,omitempty"` // see duty.used
	Life   uint64 `cbor:"7,keyasint,omitempty"` // of the candidate
}

// Envelope is a message to one control node.
type Envelope struct {
	To  string
	Msg Message
}

// Config is what an elector is told. Lease is how long a vote counts.
type Config struct {
	Self   string
	Life   uint64
	Duties []string
	Lease  time.Duration
	Roster func() []string
	Alive  func(string) bool
}

type duty struct {
	name  string
	floor uint64 // no lower term is begun or voted for
	used  uint64 // terms up to this one were seen in use by others; none of them may go on

	grantTo    string
	grantTerm  uint64
	grantLife  uint64
	grantUntil time.Duration

	holding bool
	term    uint64
	until   time.Duration
	asked   time.Duration
	asking  bool
	votes   map[string]bool

	notUntil  time.Duration // a pause after an election that was lost
	backUntil time.Duration // until then others come first, since this control node could not do it
}

// Elector is one control node's part in the elections of all duties.
type Elector struct {
	cfg     Config
	duties  []*duty
	out     []Envelope
	changed []string
	leaving bool
	began   time.Duration
	ran     bool
}

// New makes an elector with every duty vacant.
func New(cfg Config) *Elector {
	e := &Elector{cfg: cfg}
	for _, d := range cfg.Duties {
		e.duties = append(e.duties, &duty{name: d})
	}
	return e
}

func (e *Elector) duty(name string) *duty {
	for _, d := range e.duties {
		if d.name == name {
			return d
		}
	}
	return nil
}

// Take returns what is to be sent and the duties that were won or lost.
func (e *Elector) Take() ([]Envelope, []string) {
	out, changed := e.out, e.changed
	e.out, e.changed = nil, nil
	return out, changed
}

// Holds says whether this control node has a duty, and under which term.
func (e *Elector) Holds(now time.Duration, name string) (uint64, bool) {
	d := e.duty(name)
	if d == nil {
		return 0, false
	}
	return d.term, d.holding && now < d.until
}

// Holder is the control node that this one voted for, the term and its life.
func (e *Elector) Holder(now time.Duration, name string) (id string, term, life uint64) {
	d := e.duty(name)
	if d == nil || now >= d.grantUntil {
		return "", 0, 0
	}
	return d.grantTo, d.grantTerm, d.grantLife
}

// Raise tells that terms up to used were held by somebody else, before the
// control nodes lost their memory: whoever holds one of them now has to begin a
// later one.
func (e *Elector) Raise(name string, used uint64) {
	if d := e.duty(name); d != nil {
		d.used = max(d.used, used)
	}
}

// Tick lets time pass.
func (e *Elector) Tick(now time.Duration) {
	if !e.ran {
		e.ran, e.began = true, now
	}
	roster := e.cfg.Roster()
	if len(roster) == 0 || e.leaving {
		return
	}
	for _, d := range e.duties {
		if d.holding && now >= d.until {
			e.lose(d)
		}
		if d.holding && (d.term < d.floor || d.term <= d.used) {
			e.campaign(now, d, max(d.floor, d.used)+1, roster)
			continue
		}
		switch {
		case d.holding:
			if now-d.asked >= e.cfg.Lease/3 {
				e.campaign(now, d, d.term, roster)
			}
		case d.asking && now-d.asked < e.cfg.Lease/2:
			// Some may only now have come up.
			for _, id := range roster {
				if !d.votes[id] {
					e.out = append(e.out, Envelope{id, Message{Duty: d.name, Term: d.term, Life: e.cfg.Life}})
				}
			}
		case d.asking:
			e.giveUp(now, d, roster)
		case now >= d.notUntil && now >= max(d.grantUntil, e.began)+e.delay(now, d, roster):
			e.campaign(now, d, max(d.floor, d.used, d.grantTerm, d.term)+1, roster)
		}
	}
}

// giveUp ends an election that was not won and frees the votes that it got, so
// that two candidates do not block each other.
func (e *Elector) giveUp(now time.Duration, d *duty, roster []string) {
	if !d.asking {
		return
	}
	d.asking = false
	d.notUntil = now + e.cfg.Lease/8*time.Duration(1+e.rank(d, roster))
	if d.grantTo == e.cfg.Self {
		d.grantUntil = now
	}
	// Also to those who have not answered yet: the votes of far ones may be on their
	// way, and would bind them for a whole lease.
	for _, id := range roster {
		if id != e.cfg.Self {
			e.out = append(e.out, Envelope{id, Message{Duty: d.name, Resign: true}})
		}
	}
}

// delay is for how long a duty has been vacant before this control node stands for it.
func (e *Elector) delay(now time.Duration, d *duty, roster []string) time.Duration {
	delay := time.Duration(e.rank(d, roster)) * e.cfg.Lease / 8
	if now < d.backUntil {
		delay += e.cfg.Lease / 2
	}
	return delay
}

func (e *Elector) rank(d *duty, roster []string) int {
	n := 0
	for _, id := range rendezvous.Order(d.name, roster) {
		if id == e.cfg.Self {
			return n
		}
		if e.cfg.Alive(id) {
			n++
		}
	}
	return n + 1
}

func (e *Elector) campaign(now time.Duration, d *duty, term uint64, roster []string) {
	d.asked, d.asking = now, true
	if term != d.term && d.holding {
		e.lose(d)
	}
	d.term = term
	d.votes = map[string]bool{}
	if !e.grant(now, d, e.cfg.Self, term, e.cfg.Life) {
		d.asking = false
		return
	}
	d.votes[e.cfg.Self] = true
	for _, id := range roster {
		if id != e.cfg.Self {
			e.out = append(e.out, Envelope{id, Message{Duty: d.name, Term: term, Life: e.cfg.Life}})
		}
	}
	e.count(d, roster)
}

// grant votes for a candidate if no other holds the vote.
func (e *Elector) grant(now time.Duration, d *duty, to string, term, life uint64) bool {
	if term < d.floor || term <= d.used || now < d.grantUntil && d.grantTo != to || now < d.grantUntil && term < d.grantTerm {
		return false
	}
	d.grantTo, d.grantTerm, d.grantLife, d.grantUntil = to, term, life, now+e.cfg.Lease
	d.floor = max(d.floor, term)
	return true
}

// Handle takes a message.
func (e *Elector) Handle(now time.Duration, from string, m Message) {
	d := e.duty(m.Duty)
	if d == nil {
		return
	}
	switch {
	case m.Resign:
		if d.grantTo == from {
			d.grantUntil = now
		}
	case m.Vote:
		if m.OK && (m.Term != d.term || !d.asking) {
			return
		}
		if m.OK {
			d.votes[from] = true
			e.count(d, e.cfg.Roster())
			return
		}
		d.floor, d.used = max(d.floor, m.Term), max(d.used, m.Used)
		if !d.holding {
			e.giveUp(now, d, e.cfg.Roster())
		}
	default:
		ok := e.grant(now, d, from, m.Term, m.Life)
		term := m.Term
		if !ok && d.floor > m.Term {
			term = d.floor
		}
		e.out = append(e.out, Envelope{from, Message{Duty: m.Duty, Term: term, Vote: true, OK: ok, Used: d.used}})
	}
}

func (e *Elector) count(d *duty, roster []string) {
	n := 0
	for _, id := range roster {
		if d.votes[id] {
			n++
		}
	}
	if n < len(roster)/2+1 {
		return
	}
	// Counted from when the votes were asked for, so it ends before the votes do.
	d.until = d.asked + e.cfg.Lease
	if !d.holding {
		d.holding = true
		e.changed = append(e.changed, d.name)
	}
}

func (e *Elector) lose(d *duty) {
	d.holding = false
	e.changed = append(e.changed, d.name)
}

// HandOn resigns from a duty that this control node has and can't do, and lets the others come first
// for a while.
func (e *Elector) HandOn(now time.Duration, name string, back time.Duration) {
	if d := e.duty(name); d != nil && d.holding {
		d.backUntil = now + back
		e.resign(now, d)
	}
}

// Done tells that this control node has just done a duty, so that it need not let others come first.
func (e *Elector) Done(name string) {
	if d := e.duty(name); d != nil {
		d.backUntil = 0
	}
}

// Leave resigns from all duties and stands for none.
func (e *Elector) Leave(now time.Duration) {
	e.leaving = true
	for _, d := range e.duties {
		e.resign(now, d)
	}
}

// resign gives a duty up, and the votes for this control node.
func (e *Elector) resign(now time.Duration, d *duty) {
	if d.holding {
		e.lose(d)
	}
	d.asking = false
	if d.grantTo == e.cfg.Self {
		d.grantUntil = now
	}
	for _, id := range e.cfg.Roster() {
		if id != e.cfg.Self {
			e.out = append(e.out, Envelope{id, Message{Duty: d.name, Resign: true}})
		}
	}
}

// State is one duty as status shows it.
type State struct {
	Duty   string `json:"duty"`
	Holder string `json:"holder"`
	Term   uint64 `json:"term"`
}

// States shows all duties.
func (e *Elector) States(now time.Duration) (out []State) {
	for _, d := range e.duties {
		h, t, _ := e.Holder(now, d.name)
		out = append(out, State{d.name, h, t})
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Duty < out[j].Duty })
	return out
}
