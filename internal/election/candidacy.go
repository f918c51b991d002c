package election

// This file holds how a control node comes to stand for a duty: because it is vacant, or because the results
// of its holder are too old.

import (
	"time"

	"madderwing/internal/rendezvous"
)

// Progress is how far the result of a duty has come, at one control node and by its clock.
type Progress struct {
	// Known is the time as of which the newest result that the control node has got holds: at the
	// holder its own last whole one, at the others the last that the holder has brought them.
	Known time.Duration
	// Own is the time as of which the control node's own last whole result holds.
	Own time.Duration
	// Limit is by how much the one must be newer than the other for the duty to go on.
	Limit time.Duration
}

// better says that the control node itself could do the duty better than its holder does.
func (p Progress) better() bool { return p.Own-p.Known > p.Limit }

// Result is what a candidate that stands against a holder says of its own result.
type Result struct {
	Age time.Duration `cbor:"1,keyasint"`
}

// candidacy is a control node's question whether the others would vote for it. It binds nobody, so that
// one that alone hears nothing, or has no results, of the holder disturbs nothing.
type candidacy struct {
	better bool          // its result is better than what the holder has brought, since
	since  time.Duration // then
	open   bool
	asked  time.Duration
	term   uint64
	votes  map[string]bool
}

// consider asks the others for their votes in advance if the duty is vacant, or if this control node has
// a better result than the holder has brought it.
func (e *Elector) consider(now time.Duration, d *duty, roster []string) {
	if !e.mayStand(now, d, roster) {
		d.candidacy.open = false
		return
	}
	c := &d.candidacy
	if c.open && now-c.asked < e.cfg.Lease/8 {
		return
	}
	c.open, c.asked, c.term, c.votes = true, now, d.nextTerm(), map[string]bool{e.cfg.Self: true}
	question := Message{Duty: d.name, Term: c.term, Life: e.cfg.Life, Ask: true, Result: e.better(now, d)}
	for _, id := range roster {
		if id != e.cfg.Self {
			e.out = append(e.out, Envelope{id, question})
		}
	}
	e.countAdvance(now, d, roster)
}

// mayStand says whether this control node may ask for votes. Those of a lower rank wait longer, so that
// few stand at once.
func (e *Elector) mayStand(now time.Duration, d *duty, roster []string) bool {
	if now >= max(d.grantUntil, e.began)+time.Duration(e.rank(d, roster))*e.cfg.Lease/8 {
		return true
	}
	place, ok := e.Deputy(now, d.name)
	better := ok && e.better(now, d) != nil
	if better && !d.candidacy.better {
		d.candidacy.since = now
	}
	d.candidacy.better = better
	settled := d.grantSince + e.cfg.Lease/4
	return better && now >= max(d.candidacy.since, settled)+time.Duration(place)*e.cfg.Lease/16
}

// Progressed tells that this control node has a newer result of a duty, with which it may stand for it.
func (e *Elector) Progressed(now time.Duration, name string) {
	if d := e.duty(name); d != nil && !d.holding && !d.asking && !e.leaving && now >= d.notUntil {
		e.consider(now, d, e.cfg.Roster())
	}
}

// better is what this control node can say of its result if that is better than what it has from the holder.
func (e *Elector) better(now time.Duration, d *duty) *Result {
	if e.cfg.Progress == nil || d.holding {
		return nil
	}
	p := e.cfg.Progress(now, d.name)
	if !p.better() {
		return nil
	}
	return &Result{Age: now - p.Own}
}

// yields says whether this control node's vote goes on from the one that has it to a candidate: its
// result is newer, by the limit, than what this control node has got.
func (e *Elector) yields(now time.Duration, d *duty, request Message) bool {
	if request.Result == nil || e.cfg.Progress == nil || now < d.grantSince+e.cfg.Lease/4 {
		return false
	}
	p := e.cfg.Progress(now, d.name)
	return Progress{Known: p.Known, Own: now - request.Result.Age, Limit: p.Limit}.better()
}

// HandOn says that this control node's vote for a duty has gone on from a holder whose result was too old.
type HandOn struct {
	Duty, From, To string
	ResultAge      time.Duration
	at             time.Duration
}

// handOn notes that the vote goes on to a candidate.
func (e *Elector) handOn(now time.Duration, d *duty, to string) {
	d.handedOn = &HandOn{Duty: d.name, From: d.grantTo, To: to, ResultAge: e.resultAge(now, d), at: now}
	e.handOns = append(e.handOns, *d.handedOn)
}

// TakeHandOns returns the duties that have gone on since it was asked last.
func (e *Elector) TakeHandOns() []HandOn {
	out := e.handOns
	e.handOns = nil
	return out
}

// resultAge is how old the result of a duty is, as this control node has it.
func (e *Elector) resultAge(now time.Duration, d *duty) time.Duration {
	if e.cfg.Progress == nil {
		return 0
	}
	return (now - e.cfg.Progress(now, d.name).Known).Round(time.Millisecond)
}

// countAdvance has this control node stand once a majority would vote for it.
func (e *Elector) countAdvance(now time.Duration, d *duty, roster []string) {
	if majority(d.candidacy.votes, roster) {
		d.candidacy.open = false
		e.stand(now, d, d.candidacy.term, e.better(now, d), roster)
	}
}

// answeredInAdvance takes an answer to the question of a candidate.
func (e *Elector) answeredInAdvance(now time.Duration, d *duty, from string, m Message) {
	if !d.candidacy.open || m.Term < d.candidacy.term || d.asking || d.holding {
		return
	}
	if !m.OK {
		d.used = max(d.used, m.Used)
		if m.Term > d.candidacy.term {
			d.floor = max(d.floor, m.Term)
		}
		return
	}
	d.candidacy.votes[from] = true
	e.countAdvance(now, d, e.cfg.Roster())
}

// stillOpen notes a refusal, and says whether the election against a holder can be won yet.
func (d *duty) stillOpen(from string, refusal Message, roster []string) bool {
	if !d.opposed || max(refusal.Term, refusal.Used) > d.term {
		return false
	}
	d.refused[from] = true
	return len(roster)-len(d.refused) > len(roster)/2
}

// Deputy says how many of the roster come before this control node, the holder of a duty apart, where
// the duty is to go on from the holder; ok is false outside of the roster.
func (e *Elector) Deputy(now time.Duration, name string) (place int, ok bool) {
	roster := e.cfg.Roster()
	holder, _, _ := e.Holder(now, name)
	for _, id := range rendezvous.Order(name, roster) {
		if id == e.cfg.Self {
			return place, true
		}
		if id != holder && e.cfg.Alive(id) {
			place++
		}
	}
	return place, false
}
