package replication

import (
	"sort"
	"strconv"
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"

	"madderwing/internal/antientropy"
)

// Config is what a member is told. The times are ratios to the settings'
// bounds, worked out by the driver.
type Config struct {
	Self      string
	Life      uint64   // differs between any two lives of any processes
	Identity  uint64   // for a disk that has none; differs between any two disks
	Seeds     []string // sorted
	Bootstrap bool
	Empty     bool // the disk held nothing, or nothing that could be read
	Keys      []string
	Beat      time.Duration // between heartbeats of an owner
	Vacant    time.Duration // silence after which a key is taken over
	Patience  time.Duration // how long a proposal may wait
	HandBack  time.Duration // calm after which a key goes back to its first heir; 0: never
	Alive     func(id string) bool
	Sure      []string // keys of which members must know how old their copy is
	// SurePrefix begins the names of further such keys, which are made as they are needed;
	// empty: there are none.
	SurePrefix string

	Faults int                    // how many members may be lost at once with all rules kept
	Left   func(id string) bool   // the process at an address has said that it goes; nil: never known
	Peers  func() []string        // control nodes known to be there, for a member without a seat; nil: none
	Zone   func(id string) string // the zone of an address; nil or empty: not known
}

// Effects is what a member asks its driver to do.
type Effects struct {
	Send      []Envelope
	Writes    []Write
	Rewrite   bool     // the last write failed: write the whole state
	Committed []string // keys with a newer committed copy
	// Changed has, for each of them, the records that were committed since the last
	// time; nil for a key of which that isn't known: any may have been.
	Changed map[string][]Record
	Notes   []string // what is worth a line in the log
}

type role int

const (
	follows role = iota
	asks
	owns
)

type key struct {
	name     string
	promised Epoch
	at       Position
	*antientropy.Set
	commit   Position
	heard    time.Duration // when the wait for a new owner began anew
	heardAny bool
	copied   time.Duration // when the owner was last heard
	owned    bool          // an owner has been heard since the last promise to another

	// undo holds what the records that were changed since commit held then; a nil
	// record was not there. It is nil where that isn't known.
	undo map[string]*Record
	log  stepLog // the newest steps, for members that have missed some

	role     role
	preVote  bool // asks, but only whether it would be promised
	mine     Epoch
	floor    uint64 // epochs up to this number have been asked for by others
	since    time.Duration
	askedAt  time.Duration // when those who had not answered were last asked
	promises map[string]*Vote
	acks     map[string]Position // durable copies in my epoch
	seen     map[string]time.Duration
	rounds   map[string]uint64 // the newest round in which each confirmed my epoch
	agreed   time.Duration     // when a quorum last answered in my epoch
	waiters  []waiter
	queue    []proposal
	notUntil time.Duration
	calmFrom time.Duration
	sending  map[string]*sending // snapshots under way, by member
	mended   map[string]mended   // what was last sent to members that lag
	taking   *taking             // the snapshot that this member is taking in

	wanted     bool          // members must know how old their copy is
	sure       time.Duration // at that time no other could have committed anything
	current    time.Duration // the same, as a member that follows knows it; 0: not
	took       time.Duration // when this member became owner
	firstRound uint64        // the first round that was begun since
	spoke      time.Duration // when this member last confirmed an epoch, as a follower or as owner
	free       time.Duration // until when at the latest another owner was sure of itself
	frees      map[string]time.Duration
	heirsOf    *seats // the roster that heirList is for
	heirList   []string
	heir       bool          // there were records when it did
	born       time.Duration // when this member first heard of the key
}

// Replica is one node's part in keeping the control state.
type Replica struct {
	cfg      Config
	self     string // its identity: see idOf
	identity uint64
	keys     map[string]*key
	names    []string
	founded  bool
	now      time.Duration
	fx       Effects
	cached   *seats // the roster as it stands; nil: to be read anew

	nextWrite uint64
	after     map[uint64][]func()
	firstOpen uint64
	openSince time.Duration

	enrolAt   time.Duration
	foundAt   time.Duration
	foundIDs  map[string]string // by address: who is there at the founding
	foundAcks map[string]bool
	relays    map[string]string // seeds without a disk, and whom they appoint
	passive   map[string]bool   // seeds that may not propose the founding roster
	// firstSeeds are the seeds of the system's first start, if this member was there; see founding.go.
	firstSeeds []string
	leaving    bool
	began      bool
	beganAt    time.Duration
	lives      map[string]uint64        // the newest life of each member
	proven     map[string]time.Duration // when the newest beat of the roster that each identity has answered was sent
	newest     map[string]string        // by address: the identity that spoke last
	learners   map[string]time.Duration // identities without a seat that want one, and when they said so
	leavers    map[string]time.Duration // identities that leave, and when they said so last
	hailed     map[string]map[string]bool
	survey     *survey
	round      uint64 // of surveys

	beats heartbeats
	peers map[string]*peer      // by address
	marks map[string]mark       // by identity: what members want echoed
	lists map[string]*ownerList // by address: what owners' heartbeats told
}

// NewReplica makes a member from what its disk held.
func NewReplica(cfg Config, disk map[string][]byte) (*Replica, error) {
	m := &Replica{cfg: cfg, keys: map[string]*key{}, after: map[uint64][]func(){}, firstOpen: 1,
		foundIDs: map[string]string{}, foundAcks: map[string]bool{}, relays: map[string]string{}, passive: map[string]bool{},
		lives: map[string]uint64{}, proven: map[string]time.Duration{}, newest: map[string]string{},
		learners: map[string]time.Duration{}, leavers: map[string]time.Duration{}, hailed: map[string]map[string]bool{},
		beats: newHeartbeats(), peers: map[string]*peer{}, marks: map[string]mark{}, lists: map[string]*ownerList{}}
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
			m.founded, m.identity, m.firstSeeds = n.Founded, n.Identity, n.FirstSeeds
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
	if m.identity == 0 {
		// The first use of this disk. Batches become durable in order, so no word
		// that counts is given before the identity is.
		m.identity = cfg.Identity
		if cfg.Bootstrap && cfg.Empty {
			m.firstSeeds = cfg.Seeds
		}
		m.write([]ledgerEntry{m.nodeEntry()}, nil)
	}
	m.self = idOf(cfg.Self, m.identity)
	return m, nil
}

func (m *Replica) key(name string) *key {
	k := m.keys[name]
	if k == nil {
		k = &key{name: name, Set: antientropy.NewSet(), born: m.now}
		k.wanted = m.cfg.SurePrefix != "" && strings.HasPrefix(name, m.cfg.SurePrefix)
		m.keys[name] = k
		m.names = append(m.names, name)
		sort.Strings(m.names)
	}
	return k
}

// Take returns what is to be done since the last call.
func (m *Replica) Take() Effects {
	m.flushHeartbeats()
	fx := m.fx
	m.fx = Effects{}
	return fx
}

func (m *Replica) send(to string, msg Message) {
	msg.Life, msg.Identity, msg.Protocol = m.cfg.Life, m.identity, protocolHeartbeat
	m.fx.Send = append(m.fx.Send, Envelope{to, msg})
}

func (m *Replica) note(text string) { m.fx.Notes = append(m.fx.Notes, text) }

// idOf names a member: its address and the identity of its disk. A machine that has
// lost its disk is another member at the same address.
func idOf(address string, identity uint64) string {
	if identity == 0 {
		return address // of a version that had no identities
	}
	return address + "/" + strconv.FormatUint(identity, 16)
}

// Handle takes a message.
func (m *Replica) Handle(now time.Duration, from string, msg Message) {
	m.now = now
	id := idOf(from, msg.Identity)
	m.lives[id], m.newest[from] = msg.Life, id
	m.meet(from, id, msg)
	if msg.Body != nil {
		msg.Body.handle(m, sender{from, id, msg.Life})
	}
}

// Tick lets time pass.
func (m *Replica) Tick(now time.Duration) {
	m.now = now
	if !m.began {
		m.began, m.beganAt = true, now
	}
	m.tickFounding()
	if !m.mayOwn() {
		m.enrol()
	}
	if m.leaving {
		m.tickLeaving()
	}
	if !m.mayOwn() {
		m.resign()
	}
	if !m.inRoster() {
		return
	}
	if now-m.beganAt < 2*m.cfg.Beat {
		for _, to := range m.others() {
			m.send(to, Message{Body: &Probe{}})
		}
	}
	stuck := m.firstOpen <= m.nextWrite && now-m.openSince > m.cfg.Vacant/2
	beats, alone := now-m.beats.beatAt >= m.cfg.Beat, m.decidesAlone()
	m.forgetLists()
	for _, name := range m.names {
		k := m.keys[name]
		m.expire(k)
		switch k.role {
		case owns:
			if now-k.agreed > m.cfg.Vacant || stuck {
				// Cut off, frozen for a while, or without a disk that answers.
				if stuck {
					m.yield(k)
				}
				m.release(k, ErrNoQuorum)
				k.notUntil = now + m.cfg.Vacant
			} else if beats {
				m.beats.dueAll = true
				if alone {
					m.advance(k) // no answer will come that confirms the epoch
				}
				m.handBack(k)
			}
		case asks:
			if k.preVote && now-k.since > m.cfg.Beat || now-k.since > m.cfg.Vacant {
				m.release(k, ErrNoQuorum)
				k.notUntil = now + m.cfg.Beat*time.Duration(1+m.rank(k))/2
			} else if k.promises[m.self] != nil && now-k.askedAt >= m.cfg.Beat/4 {
				m.canvass(k) // a question or an answer may have been lost
			}
		case follows:
			if k.heardAny && now-k.heard <= m.cfg.Vacant {
				continue
			}
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
			if !stuck && now-since > wait {
				m.takeOver(k, false)
			}
		}
	}
	m.reform()
}
