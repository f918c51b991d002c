package replication

import (
	"github.com/fxamacker/cbor/v2"
	"madderwing/internal/antientropy"
	"sort"
	"time"
)

// Config is what a member is told. The times are ratios to the settings'
// bounds, worked out by the driver.
type Config struct {
	Self      string
	Life      uint64   // differs between any two lives of any processes
	Seeds     []string // sorted
	Bootstrap bool
	Empty     bool // the disk held nothing, or nothing that could be read
	Keys      []string
	Beat      time.Duration // between signs of life of an owner
	Vacant    time.Duration // silence after which a key is taken over
	Patience  time.Duration // how long a proposal may wait
	HandBack  time.Duration // calm after which a key goes back to its first heir; 0: never
	Alive     func(id string) bool
	Sure      []string // keys of which members must know how old their copy is
}

// Effects is what a member asks its driver to do.
type Effects struct {
	Send      []Envelope
	Writes    []Write
	Rewrite   bool     // the last write failed: write the whole state
	Committed []string // keys with a newer committed copy
}

type role int

type key struct {
	name     string
	promised Epoch
	at       Position
	*antientropy.Set
	commit   Position
	heard    time.Duration
	heardAny bool

	role     role
	mine     Epoch
	since    time.Duration
	promises map[string]*Promise
	acks     map[string]Position // durable copies in my epoch
	seen     map[string]time.Duration
	rounds   map[string]uint64
	round    uint64
	sentAt   map[uint64]time.Duration
	agreed   time.Duration // when a quorum last answered in my epoch
	beatAt   time.Duration
	waiters  []waiter
	queue    []proposal
	notUntil time.Duration
	calmFrom time.Duration
	oldNeed  map[string]bool // the roster before a change that is not committed

	wanted  bool            // members must know how old their copy is
	marks   map[string]mark // what members want echoed
	sure    time.Duration   // at that time no other could have committed anything
	current time.Duration   // the same, as a member that follows knows it; 0: not
	took    time.Duration   // when this member became owner
	spoke   time.Duration   // when this member last confirmed an epoch, as a follower or as owner
	free    time.Duration   // until when at the latest another owner was sure of itself
	frees   map[string]time.Duration
	heir    bool          // there were records when it did
	born    time.Duration // when this member first heard of the key
}

// Member is one node's part in keeping the control state.
type Member struct {
	cfg     Config
	keys    map[string]*key
	names   []string
	voting  bool
	founded bool
	now     time.Duration
	fx      Effects

	nextWrite uint64
	after     map[uint64][]func()
	firstOpen uint64
	openSince time.Duration

	fetchRound uint64
	fetched    map[string]*Fetched
	fetchAt    time.Duration
	foundAt    time.Duration
	foundAcks  map[string]bool
	leaving    bool
	began      bool
	beganAt    time.Duration
	lives      map[string]uint64 // the newest life of each member
	dead       map[string]uint64 // a life whose word no longer counts
	hailed     map[string]map[string]bool
}

// NewMember makes a member from what its disk held.
func NewMember(cfg Config, disk map[string][]byte) (*Member, error) {
	m := &Member{cfg: cfg, keys: map[string]*key{}, after: map[uint64][]func(){}, firstOpen: 1, foundAcks: map[string]bool{},
		lives: map[string]uint64{}, dead: map[string]uint64{}, hailed: map[string]map[string]bool{}}
	for _, name := range append([]string{RosterKey}, cfg.Keys...) {
		m.key(name)
	}
	for _, name := range cfg.Sure {
		m.key(name).wanted = true
	}
	for k, v := range disk {
		var err error
		switch {
		case k == nodeEntry:
			var n nodeValue
			err = cbor.Unmarshal(v, &n)
			m.voting, m.founded = n.Voting, n.Founded
		case len(k) > len(metaPrefix) && k[:len(metaPrefix)] == metaPrefix:
			var mv metaValue
			err = cbor.Unmarshal(v, &mv)
			kk := m.key(k[len(metaPrefix):])
			kk.promised, kk.at, kk.commit = mv.Promised, mv.At, mv.Commit
		case len(k) > len(recPrefix) && k[:len(recPrefix)] == recPrefix:
			var r storedRecord
			if err = cbor.Unmarshal(v, &r); err == nil {
				m.key(r.Key).Put(r.Record)
			}
		}
		if err != nil {
			return nil, err
		}
	}
	return m, nil
}

func (m *Member) key(name string) *key {
	k := m.keys[name]
	if k == nil {
		k = &key{name: name, Set: antientropy.NewSet(), born: m.now}
		m.keys[name] = k
		m.names = append(m.names, name)
		sort.Strings(m.names)
	}
	return k
}

// Take returns what is to be done since the last call.
func (m *Member) Take() Effects {
	fx := m.fx
	m.fx = Effects{}
	return fx
}

func (m *Member) send(to string, msg Message) {
	msg.Life = m.cfg.Life
	m.fx.Send = append(m.fx.Send, Envelope{to, msg})
}

// Handle takes a message.
func (m *Member) Handle(now time.Duration, from string, msg Message) {
	m.now = now
	if msg.Life == m.dead[from] && msg.Life != 0 {
		return
	}
	if msg.Fetch != nil && m.lives[from] != msg.Life {
		m.forget(from)
	}
	m.lives[from] = msg.Life
	switch {
	case msg.Found != nil:
		m.onFound(from, msg.Found)
	case msg.Founded != nil:
		m.onFounded(from, msg.Founded)
	case msg.Fetched != nil:
		m.onFetched(from, msg.Fetched)
	case !m.voting:
		// A member without its memory says nothing until it has caught up.
	case msg.Fetch != nil:
		m.onFetch(from, msg.Fetch)
	case msg.Ask != nil:
		m.onAsk(from, msg.Ask)
	case msg.Promise != nil:
		m.onPromise(from, msg.Promise)
	case msg.Copy != nil:
		m.onCopy(from, msg.Copy)
	case msg.Copied != nil:
		m.onCopied(from, msg.Copied)
	case msg.Hail != nil:
		m.onHail(from)
	case msg.Hailed != nil:
		m.hailed[from] = map[string]bool{}
		for _, name := range msg.Hailed.Owned {
			m.hailed[from][name] = true
		}
	case msg.Yield != nil:
		m.takeOver(m.key(msg.Yield.Key))
	case msg.Enroll != nil:
		m.onEnroll(from)
	}
}

// Tick lets time pass.
func (m *Member) Tick(now time.Duration) {
	m.now = now
	if !m.began {
		m.began, m.beganAt = true, now
	}
	if m.mayFound() && (m.foundAt == 0 || now >= m.foundAt) {
		m.foundAt = now + m.cfg.Beat
		m.found()
	}
	if !m.voting {
		if now >= m.fetchAt {
			m.fetchAt = now + m.cfg.Beat
			m.fetchRound++
			m.fetched = map[string]*Fetched{}
			for _, id := range m.cfg.Seeds {
				if id != m.cfg.Self {
					m.send(id, Message{Fetch: &Fetch{m.fetchRound}})
				}
			}
		}
		return
	}
	if !m.inRoster() {
		if now >= m.fetchAt {
			m.fetchAt = now + m.cfg.Beat
			for _, id := range m.Roster() {
				m.send(id, Message{Enroll: &Enroll{}})
			}
		}
		return
	}
	if now-m.beganAt < 2*m.cfg.Beat {
		for _, id := range m.others() {
			m.send(id, Message{Hail: &Hail{}})
		}
	}
	stuck := m.firstOpen <= m.nextWrite && now-m.openSince > m.cfg.Vacant/2
	for _, name := range m.names {
		k := m.keys[name]
		m.expire(k)
		switch k.role {
		case owns:
			if now-k.agreed > m.cfg.Vacant || stuck {
				// Cut off, frozen for a while, or without a disk that answers.
				m.release(k, ErrNoQuorum)
				k.notUntil = now + m.cfg.Vacant
				if stuck {
					m.yield(k)
				}
			} else if now-k.beatAt >= m.cfg.Beat {
				m.beat(k)
				m.handBack(k)
			}
		case asks:
			if now-k.since > m.cfg.Vacant {
				m.release(k, ErrNoQuorum)
				k.notUntil = now + m.cfg.Beat*time.Duration(1+m.rank(k))
			}
		case follows:
			wait := m.cfg.Vacant + time.Duration(m.rank(k))*m.cfg.Vacant/2
			since := k.heard
			if !k.heardAny {
				// Just started: give an owner that is there time to say so.
				wait = m.cfg.Beat + m.cfg.Beat/2 + time.Duration(m.place(k.name))*m.cfg.Vacant/4
				since = m.beganAt
				if k.born > m.beganAt {
					// A key that nobody had before: nobody can have owned it, unless
					// this member missed that; then the owner will say so.
					wait = time.Duration(m.place(k.name)) * m.cfg.Vacant / 4
					since = k.born
				}
				if m.ownerless(name) {
					wait = 0
				}
			}
			if !stuck && now-since > wait && (m.founded || name != RosterKey) {
				m.takeOver(k)
			}
		}
	}
}
