// Package election gives each duty to one control node. A duty that falls vacant is won
// by an election; its holder keeps it while a majority goes on voting
// for it, and until another control node has a newer result of the duty than the holder has
// brought to a majority: see candidacy.go. Two holders at once do no harm to what is kept, only to
// cost: the results of a duty are guarded by what they are written to.
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

	Ask    bool    `cbor:"8,keyasint,omitempty"` // asks only whether the vote would be given, or answers that
	Result *Result `cbor:"9,keyasint,omitempty"` // the candidate stands against a holder
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
	// Progress tells how far the result of a duty has come; nil: no holder is ever stood against.
	Progress func(now time.Duration, duty string) Progress
}

type duty struct {
	name  string
	floor uint64 // no lower term is begun or voted for
	used  uint64 // terms up to this one were seen in use by others; none of them may go on

	grantTo    string
	grantTerm  uint64
	grantLife  uint64
	grantUntil time.Duration
	grantSince time.Duration // when the vote went on to grantTo from another

	holding bool
	term    uint64
	until   time.Duration
	asked   time.Duration
	asking  bool
	votes   map[string]bool
	opposed bool            // the election is one against a holder, whose refusal does not end it
	refused map[string]bool // by whom, then

	notUntil  time.Duration // a pause after an election that was lost
	candidacy candidacy     // this control node's
	handedOn  *HandOn       // the last that this control node voted for
}

// Elector is one control node's part in the elections of all duties.
type Elector struct {
	cfg     Config
	duties  []*duty
	out     []Envelope
	changed []string
	handOns []HandOn
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
			e.stand(now, d, max(d.floor, d.used)+1, nil, roster)
			continue
		}
		switch {
		case d.holding:
			if now-d.asked >= e.cfg.Lease/3 {
				e.stand(now, d, d.term, nil, roster)
			}
		case d.asking && now-d.asked < e.cfg.Lease/2:
			// Some may only now have come up.
			again := Message{Duty: d.name, Term: d.term, Life: e.cfg.Life}
			if d.opposed {
				again.Result = e.better(now, d)
			}
			for _, id := range roster {
				if !d.votes[id] {
					e.out = append(e.out, Envelope{id, again})
				}
			}
		case d.asking:
			e.giveUp(now, d, roster)
		case now >= d.notUntil:
			e.consider(now, d, roster)
		}
	}
}

// giveUp ends an election that was not won and frees the votes that it got, so
// that two candidates do not block each other.
func (e *Elector) giveUp(now time.Duration, d *duty, roster []string) {
	if !d.asking {
		return
	}
	d.notUntil = now + e.cfg.Lease/8*time.Duration(1+e.rank(d, roster))
	e.freeVotes(now, d, roster)
}

// freeVotes gives back the votes for this control node. Those who have not answered yet are told
// too: the votes of far ones may be on their way, and would bind them for a whole lease.
func (e *Elector) freeVotes(now time.Duration, d *duty, roster []string) {
	d.asking = false
	if d.grantTo == e.cfg.Self {
		d.grantUntil = now
	}
	for _, id := range roster {
		if id != e.cfg.Self {
			e.out = append(e.out, Envelope{id, Message{Duty: d.name, Resign: true}})
		}
	}
}

// nextTerm is a term above all that this control node knows of.
func (d *duty) nextTerm() uint64 { return max(d.floor, d.used, d.grantTerm, d.term) + 1 }

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

// stand asks for votes under a term, against another holder if it has the better result.
func (e *Elector) stand(now time.Duration, d *duty, term uint64, result *Result, roster []string) {
	d.asked, d.asking = now, true
	d.opposed, d.refused = result != nil, map[string]bool{}
	if term != d.term && d.holding {
		e.lose(d)
	}
	d.term = term
	d.votes = map[string]bool{}
	request := Message{Duty: d.name, Term: term, Life: e.cfg.Life, Result: result}
	if !e.grant(now, d, e.cfg.Self, request) {
		d.asking = false
		return
	}
	d.votes[e.cfg.Self] = true
	for _, id := range roster {
		if id != e.cfg.Self {
			e.out = append(e.out, Envelope{id, request})
		}
	}
	e.count(d, roster)
}

// mayGrant says whether this control node may vote for a candidate: no other has its vote, or the
// candidate has the better result.
func (e *Elector) mayGrant(now time.Duration, d *duty, to string, request Message) bool {
	if request.Term < d.floor || request.Term <= d.used {
		return false
	}
	if now >= d.grantUntil {
		return true
	}
	if d.grantTo != to {
		return e.yields(now, d, request)
	}
	return request.Term >= d.grantTerm
}

// grant votes for a candidate if it may.
func (e *Elector) grant(now time.Duration, d *duty, to string, request Message) bool {
	if !e.mayGrant(now, d, to, request) {
		return false
	}
	if now < d.grantUntil && d.grantTo != to {
		e.handOn(now, d, to)
	}
	if d.grantTo != to {
		d.grantSince = now
	}
	d.grantTo, d.grantTerm, d.grantLife, d.grantUntil = to, request.Term, request.Life, now+e.cfg.Lease
	d.floor = max(d.floor, request.Term)
	if d.holding && to != e.cfg.Self {
		e.lose(d)
	}
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
	case m.Vote && (m.Ask || !d.asking && !d.holding):
		e.answeredInAdvance(now, d, from, m)
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
		roster := e.cfg.Roster()
		if !d.holding && !d.stillOpen(from, m, roster) {
			e.giveUp(now, d, roster)
		}
	default:
		ok := m.Ask && e.mayGrant(now, d, from, m) || !m.Ask && e.grant(now, d, from, m)
		term := m.Term
		if !ok && d.floor > m.Term {
			term = d.floor
		}
		e.out = append(e.out, Envelope{from, Message{Duty: m.Duty, Term: term, Vote: true, OK: ok, Ask: m.Ask, Used: d.used}})
	}
}

func (e *Elector) count(d *duty, roster []string) {
	if !majority(d.votes, roster) {
		return
	}
	// Counted from when the votes were asked for, so it ends before the votes do.
	d.until = d.asked + e.cfg.Lease
	if !d.holding {
		d.holding = true
		e.changed = append(e.changed, d.name)
	}
}

// majority says whether more than half of a roster has voted.
func majority(votes map[string]bool, roster []string) bool {
	n := 0
	for _, id := range roster {
		if votes[id] {
			n++
		}
	}
	return n > len(roster)/2
}

func (e *Elector) lose(d *duty) {
	d.holding = false
	e.changed = append(e.changed, d.name)
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
	e.freeVotes(now, d, e.cfg.Roster())
}

// State is one duty as status shows it.
type State struct {
	Duty   string `json:"duty"`
	Holder string `json:"holder"`
	Term   uint64 `json:"term"`
	// ResultAgeS is how old the holder's result is, as this control node has it.
	ResultAgeS float64      `json:"resultAgeS"`
	HandedOn   *HandOnState `json:"handedOn,omitempty"`
}

// HandOnState tells of the last time that a duty went on from a holder whose result was too old.
type HandOnState struct {
	From       string  `json:"from"`
	ResultAgeS float64 `json:"resultAgeS"` // then
	AgoS       float64 `json:"agoS"`
}

// States shows all duties.
func (e *Elector) States(now time.Duration) (out []State) {
	for _, d := range e.duties {
		h, t, _ := e.Holder(now, d.name)
		state := State{Duty: d.name, Holder: h, Term: t, ResultAgeS: e.resultAge(now, d).Seconds()}
		if on := d.handedOn; on != nil {
			state.HandedOn = &HandOnState{on.From, on.ResultAge.Seconds(), (now - on.at).Round(time.Millisecond).Seconds()}
		}
		out = append(out, state)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Duty < out[j].Duty })
	return out
}
