// Package election assigns each duty (a background task that one control node does for all) to one
// control node. A vacant duty is won by a majority of votes. Votes are leases: the holder keeps the duty
// while a majority renews its votes, and until a majority finds another node's result of the duty newer
// than what it has received from the holder (see prevote.go). Two holders at the same time cannot
// corrupt stored data, since the places that results are written to reject outdated ones; they only
// double the work.
package election

import (
	"sort"
	"time"

	"madderwing/internal/rendezvous"
)

// Message is a request for a vote or pre-vote, an answer to one, or a resignation.
type Message struct {
	Role     string `cbor:"1,keyasint"`
	Term     uint64 `cbor:"2,keyasint"`           // in a refusal: the sender's duty.minTerm, if that is higher
	Answer   bool   `cbor:"3,keyasint,omitempty"` // this is an answer to a request
	Granted  bool   `cbor:"4,keyasint,omitempty"` // in an answer: the vote is granted
	Resign   bool   `cbor:"5,keyasint,omitempty"` // the sender releases the receiver's vote for it
	UsedTerm uint64 `cbor:"6,keyasint,omitempty"` // in an answer: the sender's duty.usedTerm
	RunID    uint64 `cbor:"7,keyasint,omitempty"` // identifies the run of the candidate's process

	PreVote bool    `cbor:"8,keyasint,omitempty"` // a pre-vote request, or an answer to one
	Result  *Result `cbor:"9,keyasint,omitempty"` // set if the candidate challenges a holder
}

// Envelope is a message with its recipient.
type Envelope struct {
	To  string
	Msg Message
}

// Config configures an Elector.
type Config struct {
	Self   string
	RunID  uint64 // identifies this run of the process
	Roles  []string
	Lease  time.Duration     // how long a vote is valid
	Roster func() []string   // the control nodes that vote
	Alive  func(string) bool // whether a control node is presumed to work
	// Progress tells how recent the results of a duty are; if nil, holders are never challenged.
	Progress func(now time.Duration, duty string) Progress
}

// duty is the state of one duty at this control node.
type duty struct {
	name     string
	minTerm  uint64 // lower terms get no vote and are not campaigned under
	usedTerm uint64 // terms up to this one were held by others; a holder under one must take a higher one

	// The vote that this control node has given.
	votedFor    string
	votedTerm   uint64
	votedLife   uint64
	voteExpires time.Duration
	votedSince  time.Duration // when the vote last moved to another node

	// This control node as holder or candidate.
	holding     bool
	term        uint64
	heldUntil   time.Duration
	requestedAt time.Duration // when votes were last requested
	campaigning bool          // votes are requested, for the first time or as a renewal
	votes       map[string]bool
	challenging bool            // the campaign is against a holder, so single refusals do not end it
	refusedBy   map[string]bool // in a challenge

	retryAt      time.Duration // earliest next campaign after a lost one
	preVote      preVote
	lastTakeover *Transfer // the last takeover that this control node voted for
}

// Elector takes part in the elections of all duties for one control node. It does no I/O: callers pass
// in the time and received messages, and send what Take returns. It is not safe for concurrent use.
type Elector struct {
	cfg           Config
	duties        []*duty
	outbox        []Envelope
	changedDuties []string
	takeovers     []Transfer
	leaving       bool
	startedAt     time.Duration
	started       bool
}

// New returns an Elector for which all duties are vacant.
func New(cfg Config) *Elector {
	e := &Elector{cfg: cfg}
	for _, d := range cfg.Roles {
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

// Take returns the messages to send, and the names of the duties won or lost since the last call.
func (e *Elector) Take() ([]Envelope, []string) {
	messages, changedDuties := e.outbox, e.changedDuties
	e.outbox, e.changedDuties = nil, nil
	return messages, changedDuties
}

// Holds reports whether this control node holds a duty, and under which term.
func (e *Elector) Holds(now time.Duration, name string) (uint64, bool) {
	d := e.duty(name)
	if d == nil {
		return 0, false
	}
	return d.term, d.holding && now < d.heldUntil
}

// Holder returns the control node that has this node's vote, the term of the vote, and the identifier
// of the holder's process run; zero values if there is no valid vote.
func (e *Elector) Holder(now time.Duration, name string) (id string, term, life uint64) {
	d := e.duty(name)
	if d == nil || now >= d.voteExpires {
		return "", 0, 0
	}
	return d.votedFor, d.votedTerm, d.votedLife
}

// RaiseUsedTerm reports that terms up to usedTerm were held by another node before the control nodes lost
// their in-memory state. A node that holds the duty under one of these terms has to take a higher one.
func (e *Elector) RaiseUsedTerm(name string, usedTerm uint64) {
	if d := e.duty(name); d != nil {
		d.usedTerm = max(d.usedTerm, usedTerm)
	}
}

// Tick does what is due at a time: expires and renews leases, and starts, continues or abandons campaigns.
func (e *Elector) Tick(now time.Duration) {
	if !e.started {
		e.started, e.startedAt = true, now
	}
	roster := e.cfg.Roster()
	if len(roster) == 0 || e.leaving {
		return
	}
	for _, d := range e.duties {
		if d.holding && now >= d.heldUntil {
			e.loseDuty(d)
		}
		if d.holding && (d.term < d.minTerm || d.term <= d.usedTerm) {
			e.campaign(now, d, max(d.minTerm, d.usedTerm)+1, nil, roster)
			continue
		}
		switch {
		case d.holding:
			if now-d.requestedAt >= e.cfg.Lease/3 {
				e.campaign(now, d, d.term, nil, roster)
			}
		case d.campaigning && now-d.requestedAt < e.cfg.Lease/2:
			// Repeat the request: some voters may have started only now.
			request := Message{Role: d.name, Term: d.term, RunID: e.cfg.RunID}
			if d.challenging {
				request.Result = e.challengeResult(now, d)
			}
			for _, id := range roster {
				if !d.votes[id] {
					e.outbox = append(e.outbox, Envelope{id, request})
				}
			}
		case d.campaigning:
			e.abandonCampaign(now, d, roster)
		case now >= d.retryAt:
			e.preVoteIfDue(now, d, roster)
		}
	}
}

// abandonCampaign ends a campaign that was not won and releases its votes, so that two candidates do
// not block each other.
func (e *Elector) abandonCampaign(now time.Duration, d *duty, roster []string) {
	if !d.campaigning {
		return
	}
	d.retryAt = now + e.cfg.Lease/8*time.Duration(1+e.rank(d, roster))
	e.releaseVotes(now, d, roster)
}

// releaseVotes gives back the votes for this control node. Nodes that have not answered yet are told
// too: their votes may be in transit and would otherwise bind them for a whole lease.
func (e *Elector) releaseVotes(now time.Duration, d *duty, roster []string) {
	d.campaigning = false
	if d.votedFor == e.cfg.Self {
		d.voteExpires = now
	}
	for _, id := range roster {
		if id != e.cfg.Self {
			e.outbox = append(e.outbox, Envelope{id, Message{Role: d.name, Resign: true}})
		}
	}
}

// nextTerm returns a term above all that this control node knows of.
func (d *duty) nextTerm() uint64 { return max(d.minTerm, d.usedTerm, d.votedTerm, d.term) + 1 }

// rank returns how many live nodes come before this one in the rendezvous order of a duty; outside the
// roster it is one more than the number of live nodes.
func (e *Elector) rank(d *duty, roster []string) int {
	rank := 0
	for _, id := range rendezvous.Order(d.name, roster) {
		if id == e.cfg.Self {
			return rank
		}
		if e.cfg.Alive(id) {
			rank++
		}
	}
	return rank + 1
}

// campaign requests votes under a term, to win a duty or to renew the lease on it. With a result, it
// challenges the current holder.
func (e *Elector) campaign(now time.Duration, d *duty, term uint64, result *Result, roster []string) {
	d.requestedAt, d.campaigning = now, true
	d.challenging, d.refusedBy = result != nil, map[string]bool{}
	if term != d.term && d.holding {
		e.loseDuty(d)
	}
	d.term = term
	d.votes = map[string]bool{}
	request := Message{Role: d.name, Term: term, RunID: e.cfg.RunID, Result: result}
	if !e.grantVote(now, d, e.cfg.Self, request) {
		d.campaigning = false
		return
	}
	d.votes[e.cfg.Self] = true
	for _, id := range roster {
		if id != e.cfg.Self {
			e.outbox = append(e.outbox, Envelope{id, request})
		}
	}
	e.countVotes(d, roster)
}

// mayGrantVote reports whether this control node may vote for a candidate: its vote is free or already
// the candidate's, or the candidate's challenge is accepted.
func (e *Elector) mayGrantVote(now time.Duration, d *duty, candidate string, request Message) bool {
	if request.Term < d.minTerm || request.Term <= d.usedTerm {
		return false
	}
	if now >= d.voteExpires {
		return true
	}
	if d.votedFor != candidate {
		return e.acceptsChallenge(now, d, request)
	}
	return request.Term >= d.votedTerm
}

// grantVote votes for a candidate if mayGrantVote allows it, and reports whether it did.
func (e *Elector) grantVote(now time.Duration, d *duty, candidate string, request Message) bool {
	if !e.mayGrantVote(now, d, candidate, request) {
		return false
	}
	if now < d.voteExpires && d.votedFor != candidate {
		e.recordTakeover(now, d, candidate)
	}
	if d.votedFor != candidate {
		d.votedSince = now
	}
	d.votedFor, d.votedTerm, d.votedLife, d.voteExpires = candidate, request.Term, request.RunID, now+e.cfg.Lease
	d.minTerm = max(d.minTerm, request.Term)
	if d.holding && candidate != e.cfg.Self {
		e.loseDuty(d)
	}
	return true
}

// Handle processes a message from another control node.
func (e *Elector) Handle(now time.Duration, from string, m Message) {
	d := e.duty(m.Role)
	if d == nil {
		return
	}
	switch {
	case m.Resign:
		if d.votedFor == from {
			d.voteExpires = now
		}
	case m.Answer && (m.PreVote || !d.campaigning && !d.holding):
		e.handlePreVoteAnswer(now, d, from, m)
	case m.Answer:
		if m.Granted && (m.Term != d.term || !d.campaigning) {
			return
		}
		if m.Granted {
			d.votes[from] = true
			e.countVotes(d, e.cfg.Roster())
			return
		}
		d.minTerm, d.usedTerm = max(d.minTerm, m.Term), max(d.usedTerm, m.UsedTerm)
		roster := e.cfg.Roster()
		if !d.holding && !d.stillWinnable(from, m, roster) {
			e.abandonCampaign(now, d, roster)
		}
	default:
		ok := m.PreVote && e.mayGrantVote(now, d, from, m) || !m.PreVote && e.grantVote(now, d, from, m)
		term := m.Term
		if !ok && d.minTerm > m.Term {
			term = d.minTerm
		}
		e.outbox = append(e.outbox, Envelope{from, Message{Role: m.Role, Term: term, Answer: true, Granted: ok, PreVote: m.PreVote, UsedTerm: d.usedTerm}})
	}
}

// countVotes takes or renews the lease on a duty once a majority has voted for this control node.
func (e *Elector) countVotes(d *duty, roster []string) {
	if !majority(d.votes, roster) {
		return
	}
	// The lease counts from the request, so it ends before the votes expire.
	d.heldUntil = d.requestedAt + e.cfg.Lease
	if !d.holding {
		d.holding = true
		e.changedDuties = append(e.changedDuties, d.name)
	}
}

// majority reports whether more than half of a roster has voted.
func majority(votes map[string]bool, roster []string) bool {
	count := 0
	for _, id := range roster {
		if votes[id] {
			count++
		}
	}
	return count > len(roster)/2
}

func (e *Elector) loseDuty(d *duty) {
	d.holding = false
	e.changedDuties = append(e.changedDuties, d.name)
}

// Leave resigns from all duties and ends campaigning for good.
func (e *Elector) Leave(now time.Duration) {
	e.leaving = true
	for _, d := range e.duties {
		e.resign(now, d)
	}
}

// resign gives up a duty and releases the votes for this control node.
func (e *Elector) resign(now time.Duration, d *duty) {
	if d.holding {
		e.loseDuty(d)
	}
	e.releaseVotes(now, d, e.cfg.Roster())
}

// State is the state of one duty in status output.
type State struct {
	Role   string `json:"duty"`
	Holder string `json:"holder"`
	Term   uint64 `json:"term"`
	// ResultAgeS is the age of the newest result that this control node knows of.
	ResultAgeS float64        `json:"resultAgeS"`
	Transfer   *TransferState `json:"handedOn,omitempty"`
}

// TransferState is the last takeover of a duty in status output.
type TransferState struct {
	From       string  `json:"from"`
	ResultAgeS float64 `json:"resultAgeS"` // age of the old holder's result at the takeover
	AgoS       float64 `json:"agoS"`       // time since the takeover
}

// States returns the states of all duties, sorted by name.
func (e *Elector) States(now time.Duration) (states []State) {
	for _, d := range e.duties {
		holder, term, _ := e.Holder(now, d.name)
		state := State{Role: d.name, Holder: holder, Term: term, ResultAgeS: e.resultAge(now, d).Seconds()}
		if takeover := d.lastTakeover; takeover != nil {
			state.Transfer = &TransferState{takeover.From, takeover.ResultAge.Seconds(), (now - takeover.at).Round(time.Millisecond).Seconds()}
		}
		states = append(states, state)
	}
	sort.Slice(states, func(i, j int) bool { return states[i].Role < states[j].Role })
	return states
}
