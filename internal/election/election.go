// Package election assigns each role (a background task that one control node does for all) to one
// control node. A vacant role is won by a majority of votes. Votes are leases: the holder keeps the role
// while a majority renews its votes, and until a majority finds another node's result of the role newer
// than what it has received from the holder (see prevote.go). Two holders at the same time cannot
// corrupt stored data, since the places that results are written to reject outdated ones; they only
// double the work.
package election

import (
	"sort"
	"time"

	"madderwing/internal/rendezvous"
)

// Message is a request for a vote or pre-vote, a reply to one, or a resignation.
type Message struct {
	Role     string `cbor:"1,keyasint"`
	Term     uint64 `cbor:"2,keyasint"`           // in a refusal: the sender's role.minTerm, if that is higher
	Reply    bool   `cbor:"3,keyasint,omitempty"` // this is a reply to a request
	Granted  bool   `cbor:"4,keyasint,omitempty"` // in a reply: the vote is granted
	Resign   bool   `cbor:"5,keyasint,omitempty"` // the sender releases the receiver's vote for it
	UsedTerm uint64 `cbor:"6,keyasint,omitempty"` // in a reply: the sender's role.usedTerm
	RunID    uint64 `cbor:"7,keyasint,omitempty"` // identifies the run of the candidate's process

	PreVote bool    `cbor:"8,keyasint,omitempty"` // a pre-vote request, or a reply to one
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
	Voters func() []string   // the control nodes that vote
	Alive  func(string) bool // whether a control node is not known to have failed
	// Progress tells how recent the results of a role are; if nil, holders are never challenged.
	Progress func(now time.Duration, role string) Progress
}

// role is the state of one role at this control node.
type role struct {
	name     string
	minTerm  uint64 // lower terms get no vote and are not campaigned under
	usedTerm uint64 // terms up to this one were held by others; a holder under one must take a higher one

	// The vote that this control node has granted.
	votedFor    string
	votedTerm   uint64
	votedRunID  uint64
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
	lastTransfer *Transfer // the last transfer that this control node voted for
}

// Elector takes part in the elections of all roles for one control node. It does no I/O: callers pass
// in the time and received messages, and send what Take returns. It is not safe for concurrent use.
type Elector struct {
	cfg          Config
	roles        []*role
	outbox       []Envelope
	changedRoles []string
	transfers    []Transfer
	leaving      bool
	startedAt    time.Duration
	started      bool
}

// New returns an Elector for which all roles are vacant.
func New(cfg Config) *Elector {
	e := &Elector{cfg: cfg}
	for _, r := range cfg.Roles {
		e.roles = append(e.roles, &role{name: r})
	}
	return e
}

func (e *Elector) role(name string) *role {
	for _, r := range e.roles {
		if r.name == name {
			return r
		}
	}
	return nil
}

// Take returns the messages to send, and the names of the roles won or lost since the last call.
func (e *Elector) Take() ([]Envelope, []string) {
	messages, changedRoles := e.outbox, e.changedRoles
	e.outbox, e.changedRoles = nil, nil
	return messages, changedRoles
}

// Holds reports whether this control node holds a role, and under which term.
func (e *Elector) Holds(now time.Duration, name string) (uint64, bool) {
	r := e.role(name)
	if r == nil {
		return 0, false
	}
	return r.term, r.holding && now < r.heldUntil
}

// Holder returns the control node that has this node's vote, the term of the vote, and the identifier
// of the holder's process run; zero values if there is no valid vote.
func (e *Elector) Holder(now time.Duration, name string) (id string, term, runID uint64) {
	r := e.role(name)
	if r == nil || now >= r.voteExpires {
		return "", 0, 0
	}
	return r.votedFor, r.votedTerm, r.votedRunID
}

// RaiseUsedTerm reports that terms up to usedTerm were held by another node before the control nodes lost
// their in-memory state. A node that holds the role under one of these terms has to take a higher one.
func (e *Elector) RaiseUsedTerm(name string, usedTerm uint64) {
	if r := e.role(name); r != nil {
		r.usedTerm = max(r.usedTerm, usedTerm)
	}
}

// Tick expires and renews leases, and starts, continues or abandons campaigns, as due at the given time.
func (e *Elector) Tick(now time.Duration) {
	if !e.started {
		e.started, e.startedAt = true, now
	}
	voters := e.cfg.Voters()
	if len(voters) == 0 || e.leaving {
		return
	}
	for _, r := range e.roles {
		if r.holding && now >= r.heldUntil {
			e.loseRole(r)
		}
		if r.holding && (r.term < r.minTerm || r.term <= r.usedTerm) {
			e.campaign(now, r, max(r.minTerm, r.usedTerm)+1, nil, voters)
			continue
		}
		switch {
		case r.holding:
			if now-r.requestedAt >= e.cfg.Lease/3 {
				e.campaign(now, r, r.term, nil, voters)
			}
		case r.campaigning && now-r.requestedAt < e.cfg.Lease/2:
			// Repeat the request: some voters may have started only now.
			request := Message{Role: r.name, Term: r.term, RunID: e.cfg.RunID}
			if r.challenging {
				request.Result = e.challengeResult(now, r)
			}
			for _, id := range voters {
				if !r.votes[id] {
					e.outbox = append(e.outbox, Envelope{id, request})
				}
			}
		case r.campaigning:
			e.abandonCampaign(now, r, voters)
		case now >= r.retryAt:
			e.preVoteIfDue(now, r, voters)
		}
	}
}

// abandonCampaign ends a campaign that was not won and releases its votes, so that two candidates do
// not block each other.
func (e *Elector) abandonCampaign(now time.Duration, r *role, voters []string) {
	if !r.campaigning {
		return
	}
	r.retryAt = now + e.cfg.Lease/8*time.Duration(1+e.rank(r, voters))
	e.releaseVotes(now, r, voters)
}

// releaseVotes releases the votes for this control node. Nodes that have not replied yet are notified too:
// their votes may be in transit and would otherwise bind them for a whole lease.
func (e *Elector) releaseVotes(now time.Duration, r *role, voters []string) {
	r.campaigning = false
	if r.votedFor == e.cfg.Self {
		r.voteExpires = now
	}
	for _, id := range voters {
		if id != e.cfg.Self {
			e.outbox = append(e.outbox, Envelope{id, Message{Role: r.name, Resign: true}})
		}
	}
}

// nextTerm returns a term above all that this control node knows of.
func (r *role) nextTerm() uint64 { return max(r.minTerm, r.usedTerm, r.votedTerm, r.term) + 1 }

// rank returns how many live voters come before this control node in the rendezvous order of a role; for a
// node that is not a voter it is one more than the number of live voters.
func (e *Elector) rank(r *role, voters []string) int {
	rank := 0
	for _, id := range rendezvous.Order(r.name, voters) {
		if id == e.cfg.Self {
			return rank
		}
		if e.cfg.Alive(id) {
			rank++
		}
	}
	return rank + 1
}

// campaign requests votes under a term, to win a role or to renew the lease on it. With a result, it
// challenges the current holder.
func (e *Elector) campaign(now time.Duration, r *role, term uint64, result *Result, voters []string) {
	r.requestedAt, r.campaigning = now, true
	r.challenging, r.refusedBy = result != nil, map[string]bool{}
	if term != r.term && r.holding {
		e.loseRole(r)
	}
	r.term = term
	r.votes = map[string]bool{}
	request := Message{Role: r.name, Term: term, RunID: e.cfg.RunID, Result: result}
	if !e.grantVote(now, r, e.cfg.Self, request) {
		r.campaigning = false
		return
	}
	r.votes[e.cfg.Self] = true
	for _, id := range voters {
		if id != e.cfg.Self {
			e.outbox = append(e.outbox, Envelope{id, request})
		}
	}
	e.countVotes(r, voters)
}

// mayGrantVote reports whether this control node may vote for a candidate: its vote is free or already
// the candidate's, or the candidate's challenge is accepted.
func (e *Elector) mayGrantVote(now time.Duration, r *role, candidate string, request Message) bool {
	if request.Term < r.minTerm || request.Term <= r.usedTerm {
		return false
	}
	if now >= r.voteExpires {
		return true
	}
	if r.votedFor != candidate {
		return e.acceptsChallenge(now, r, request)
	}
	return request.Term >= r.votedTerm
}

// grantVote votes for a candidate if mayGrantVote allows it, and reports whether it did.
func (e *Elector) grantVote(now time.Duration, r *role, candidate string, request Message) bool {
	if !e.mayGrantVote(now, r, candidate, request) {
		return false
	}
	if now < r.voteExpires && r.votedFor != candidate {
		e.recordTransfer(now, r, candidate)
	}
	if r.votedFor != candidate {
		r.votedSince = now
	}
	r.votedFor, r.votedTerm, r.votedRunID, r.voteExpires = candidate, request.Term, request.RunID, now+e.cfg.Lease
	r.minTerm = max(r.minTerm, request.Term)
	if r.holding && candidate != e.cfg.Self {
		e.loseRole(r)
	}
	return true
}

// Handle processes a message from another control node.
func (e *Elector) Handle(now time.Duration, from string, m Message) {
	r := e.role(m.Role)
	if r == nil {
		return
	}
	switch {
	case m.Resign:
		if r.votedFor == from {
			r.voteExpires = now
		}
	case m.Reply && (m.PreVote || !r.campaigning && !r.holding):
		e.handlePreVoteReply(now, r, from, m)
	case m.Reply:
		if m.Granted && (m.Term != r.term || !r.campaigning) {
			return
		}
		if m.Granted {
			r.votes[from] = true
			e.countVotes(r, e.cfg.Voters())
			return
		}
		r.minTerm, r.usedTerm = max(r.minTerm, m.Term), max(r.usedTerm, m.UsedTerm)
		voters := e.cfg.Voters()
		if !r.holding && !r.stillWinnable(from, m, voters) {
			e.abandonCampaign(now, r, voters)
		}
	default:
		ok := m.PreVote && e.mayGrantVote(now, r, from, m) || !m.PreVote && e.grantVote(now, r, from, m)
		term := m.Term
		if !ok && r.minTerm > m.Term {
			term = r.minTerm
		}
		e.outbox = append(e.outbox, Envelope{from, Message{Role: m.Role, Term: term, Reply: true, Granted: ok, PreVote: m.PreVote, UsedTerm: r.usedTerm}})
	}
}

// countVotes takes or renews the lease on a role once a majority has voted for this control node.
func (e *Elector) countVotes(r *role, voters []string) {
	if !majority(r.votes, voters) {
		return
	}
	// The lease counts from the request, so it ends before the votes expire.
	r.heldUntil = r.requestedAt + e.cfg.Lease
	if !r.holding {
		r.holding = true
		e.changedRoles = append(e.changedRoles, r.name)
	}
}

// majority reports whether more than half of the voters have voted.
func majority(votes map[string]bool, voters []string) bool {
	count := 0
	for _, id := range voters {
		if votes[id] {
			count++
		}
	}
	return count > len(voters)/2
}

func (e *Elector) loseRole(r *role) {
	r.holding = false
	e.changedRoles = append(e.changedRoles, r.name)
}

// Leave resigns from all roles and ends campaigning for good.
func (e *Elector) Leave(now time.Duration) {
	e.leaving = true
	for _, r := range e.roles {
		e.resign(now, r)
	}
}

// resign resigns from a role and releases the votes for this control node.
func (e *Elector) resign(now time.Duration, r *role) {
	if r.holding {
		e.loseRole(r)
	}
	e.releaseVotes(now, r, e.cfg.Voters())
}

// State is the state of one role in status output.
type State struct {
	Role   string `json:"duty"`
	Holder string `json:"holder"`
	Term   uint64 `json:"term"`
	// ResultAgeS is the age of the newest result that this control node knows of.
	ResultAgeS float64        `json:"resultAgeS"`
	Transfer   *TransferState `json:"handedOn,omitempty"`
}

// TransferState is the last transfer of a role in status output.
type TransferState struct {
	From       string  `json:"from"`
	ResultAgeS float64 `json:"resultAgeS"` // age of the old holder's result at the transfer
	AgoS       float64 `json:"agoS"`       // time since the transfer
}

// States returns the states of all roles, sorted by name.
func (e *Elector) States(now time.Duration) (states []State) {
	for _, r := range e.roles {
		holder, term, _ := e.Holder(now, r.name)
		state := State{Role: r.name, Holder: holder, Term: term, ResultAgeS: e.resultAge(now, r).Seconds()}
		if transfer := r.lastTransfer; transfer != nil {
			state.Transfer = &TransferState{transfer.From, transfer.ResultAge.Seconds(), (now - transfer.at).Round(time.Millisecond).Seconds()}
		}
		states = append(states, state)
	}
	sort.Slice(states, func(i, j int) bool { return states[i].Role < states[j].Role })
	return states
}
