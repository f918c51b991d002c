// Package election gives each duty to one control node. A duty that falls vacant is won
// by a round of ballots; its holder keeps it while a majority goes on voting
// for it. Two holders at once do no harm to what is kept, only to cost: the
// results of a duty are guarded by what they are written to.
package election

import (
	"sort"
	"time"

	"madderwing/internal/rendezvous"
)

// Message is a ballot or the answer to one.
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

// Config is what a rota is told. Lease is how long a vote counts.
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

	notUntil time.Duration // a pause after a ballot that was refused
}

// Rota is one control node's part in the ballots.
type Rota struct {
	cfg     Config
	duties  []*duty
	out     []Envelope
	changed []string
	leaving bool
	began   time.Duration
	ran     bool
}

// New makes a rota with every duty vacant.
func New(cfg Config) *Rota {
	r := &Rota{cfg: cfg}
	for _, d := range cfg.Duties {
		r.duties = append(r.duties, &duty{name: d})
	}
	return r
}

func (r *Rota) duty(name string) *duty {
	for _, d := range r.duties {
		if d.name == name {
			return d
		}
	}
	return nil
}

// Take returns what is to be sent and the duties that were won or lost.
func (r *Rota) Take() ([]Envelope, []string) {
	out, changed := r.out, r.changed
	r.out, r.changed = nil, nil
	return out, changed
}

// Holds says whether this control node has a duty, and under which term.
func (r *Rota) Holds(now time.Duration, name string) (uint64, bool) {
	d := r.duty(name)
	return d.term, d != nil && d.holding && now < d.until
}

// Holder is the control node that this one voted for, the term and its life.
func (r *Rota) Holder(now time.Duration, name string) (id string, term, life uint64) {
	d := r.duty(name)
	if d == nil || now >= d.grantUntil {
		return "", 0, 0
	}
	return d.grantTo, d.grantTerm, d.grantLife
}

// Raise tells that terms up to used were held by somebody else, before the
// control nodes lost their memory: whoever holds one of them now has to begin a
// later one.
func (r *Rota) Raise(name string, used uint64) {
	if d := r.duty(name); d != nil {
		d.used = max(d.used, used)
	}
}

// Tick lets time pass.
func (r *Rota) Tick(now time.Duration) {
	if !r.ran {
		r.ran, r.began = true, now
	}
	roster := r.cfg.Roster()
	if len(roster) == 0 || r.leaving {
		return
	}
	for _, d := range r.duties {
		if d.holding && now >= d.until {
			r.lose(d)
		}
		if d.holding && (d.term < d.floor || d.term <= d.used) {
			r.ballot(now, d, max(d.floor, d.used)+1, roster)
			continue
		}
		switch {
		case d.holding:
			if now-d.asked >= r.cfg.Lease/3 {
				r.ballot(now, d, d.term, roster)
			}
		case d.asking && now-d.asked < r.cfg.Lease/2:
			// Some may only now have come up.
			for _, id := range roster {
				if !d.votes[id] {
					r.out = append(r.out, Envelope{id, Message{Duty: d.name, Term: d.term, Life: r.cfg.Life}})
				}
			}
		case d.asking:
			r.giveUp(now, d, roster)
		case now >= d.notUntil && now >= d.grantUntil && now >= max(d.grantUntil, r.began)+time.Duration(r.rank(d, roster))*r.cfg.Lease/8:
			r.ballot(now, d, max(d.floor, d.used, d.grantTerm, d.term)+1, roster)
		}
	}
}

// giveUp ends a ballot that did not win and frees the votes that it got, so
// that two candidates do not block each other.
func (r *Rota) giveUp(now time.Duration, d *duty, roster []string) {
	if !d.asking {
		return
	}
	d.asking = false
	d.notUntil = now + r.cfg.Lease/8*time.Duration(1+r.rank(d, roster))
	if d.grantTo == r.cfg.Self {
		d.grantUntil = now
	}
	// Also to those who have not answered yet: the votes of far ones may be on their
	// way, and would bind them for a whole lease.
	for _, id := range roster {
		if id != r.cfg.Self {
			r.out = append(r.out, Envelope{id, Message{Duty: d.name, Resign: true}})
		}
	}
}

func (r *Rota) rank(d *duty, roster []string) int {
	n := 0
	for _, id := range rendezvous.Order(d.name, roster) {
		if id == r.cfg.Self {
			return n
		}
		if r.cfg.Alive(id) {
			n++
		}
	}
	return n + 1
}

func (r *Rota) ballot(now time.Duration, d *duty, term uint64, roster []string) {
	d.asked, d.asking = now, true
	if term != d.term && d.holding {
		r.lose(d)
	}
	d.term = term
	d.votes = map[string]bool{}
	if !r.grant(now, d, r.cfg.Self, term, r.cfg.Life) {
		d.asking = false
		return
	}
	d.votes[r.cfg.Self] = true
	for _, id := range roster {
		if id != r.cfg.Self {
			r.out = append(r.out, Envelope{id, Message{Duty: d.name, Term: term, Life: r.cfg.Life}})
		}
	}
	r.count(d, roster)
}

// grant votes for a candidate if no other holds the vote.
func (r *Rota) grant(now time.Duration, d *duty, to string, term, life uint64) bool {
	if term < d.floor || term <= d.used || now < d.grantUntil && d.grantTo != to || now < d.grantUntil && term < d.grantTerm {
		return false
	}
	d.grantTo, d.grantTerm, d.grantLife, d.grantUntil = to, term, life, now+r.cfg.Lease
	d.floor = max(d.floor, term)
	return true
}

// Handle takes a message.
func (r *Rota) Handle(now time.Duration, from string, m Message) {
	d := r.duty(m.Duty)
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
			r.count(d, r.cfg.Roster())
			return
		}
		d.floor, d.used = max(d.floor, m.Term), max(d.used, m.Used)
		if !d.holding {
			r.giveUp(now, d, r.cfg.Roster())
		}
	default:
		ok := r.grant(now, d, from, m.Term, m.Life)
		term := m.Term
		if !ok && d.floor > m.Term {
			term = d.floor
		}
		r.out = append(r.out, Envelope{from, Message{Duty: m.Duty, Term: term, Vote: true, OK: ok, Used: d.used}})
	}
}

func (r *Rota) count(d *duty, roster []string) {
	n := 0
	for _, id := range roster {
		if d.votes[id] {
			n++
		}
	}
	if n < len(roster)/2+1 {
		return
	}
	// Counted from when the ballots went out, so it ends before the votes do.
	d.until = d.asked + r.cfg.Lease
	if !d.holding {
		d.holding = true
		r.changed = append(r.changed, d.name)
	}
}

func (r *Rota) lose(d *duty) {
	d.holding = false
	r.changed = append(r.changed, d.name)
}

// Leave resigns from all duties and stands for none.
func (r *Rota) Leave(now time.Duration) {
	r.leaving = true
	for _, d := range r.duties {
		if d.holding {
			r.lose(d)
		}
		if d.grantTo == r.cfg.Self {
			d.grantUntil = now
		}
		for _, id := range r.cfg.Roster() {
			if id != r.cfg.Self {
				r.out = append(r.out, Envelope{id, Message{Duty: d.name, Resign: true}})
			}
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
func (r *Rota) States(now time.Duration) (out []State) {
	for _, d := range r.duties {
		h, t, _ := r.Holder(now, d.name)
		out = append(out, State{d.name, h, t})
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Duty < out[j].Duty })
	return out
}
