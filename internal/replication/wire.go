package replication

// This file holds the messages between members as such: what all of them carry, which
// handler takes each, and their form on the wire.

import "github.com/fxamacker/cbor/v2"

// Message is what one member says to another.
type Message struct {
	Life     uint64 // of the sender's process
	Identity uint64 // of the sender's disk
	Protocol uint64 // the newest that the sender understands
	Body     Body   // nil: a kind that only newer versions know
}

// Body is one kind of message.
type Body interface {
	handle(m *Member, from sender)
}

// sender is whom a message came from.
type sender struct {
	address string
	id      string // see idOf
	life    uint64
}

func (b *Ask) handle(m *Member, from sender)          { m.onAsk(from.address, b) }
func (b *Promise) handle(m *Member, from sender)      { m.onPromise(from.address, from.id, b) }
func (b *Copy) handle(m *Member, from sender)         { m.onCopy(from.address, b) }
func (b *Copied) handle(m *Member, from sender)       { m.onCopied(from.address, from.id, b) }
func (b *Found) handle(m *Member, from sender)        { m.onFound(from.address, b) }
func (b *Founded) handle(m *Member, from sender)      { m.onFounded(from.address, from.id, b) }
func (b *Yield) handle(m *Member, _ sender)           { m.takeOver(m.key(b.Key), true) }
func (*Enroll) handle(m *Member, from sender)         { m.onEnroll(from.address, from.id) }
func (*Hail) handle(m *Member, from sender)           { m.onHail(from.address) }
func (b *Hailed) handle(m *Member, from sender)       { m.onHailed(from.address, b) }
func (b *Chunk) handle(m *Member, from sender)        { m.onChunk(from.address, b) }
func (b *Chunked) handle(m *Member, from sender)      { m.onChunked(from.address, from.id, b) }
func (b *Survey) handle(m *Member, from sender)       { m.onSurvey(from.address, from.id, b) }
func (b *Surveyed) handle(m *Member, from sender)     { m.onSurveyed(from.id, b) }
func (b *Heartbeat) handle(m *Member, from sender)    { m.onHeartbeat(from.address, from.life, b) }
func (b *HeartbeatAck) handle(m *Member, from sender) { m.onHeartbeatAck(from.address, from.id, b) }

// wireMessage is a Message on the wire; one of the pointers is set. Numbers 5 and 6 were
// used by whole copies, which snapshots replace.
type wireMessage struct {
	Ask          *Ask          `cbor:"1,keyasint,omitempty"`
	Promise      *Promise      `cbor:"2,keyasint,omitempty"`
	Copy         *Copy         `cbor:"3,keyasint,omitempty"`
	Copied       *Copied       `cbor:"4,keyasint,omitempty"`
	Found        *Found        `cbor:"7,keyasint,omitempty"`
	Founded      *Founded      `cbor:"8,keyasint,omitempty"`
	Yield        *Yield        `cbor:"9,keyasint,omitempty"`
	Enroll       *Enroll       `cbor:"10,keyasint,omitempty"`
	Life         uint64        `cbor:"11,keyasint,omitempty"`
	Hail         *Hail         `cbor:"12,keyasint,omitempty"`
	Hailed       *Hailed       `cbor:"13,keyasint,omitempty"`
	Identity     uint64        `cbor:"14,keyasint,omitempty"`
	Chunk        *Chunk        `cbor:"15,keyasint,omitempty"`
	Chunked      *Chunked      `cbor:"16,keyasint,omitempty"`
	Survey       *Survey       `cbor:"17,keyasint,omitempty"`
	Surveyed     *Surveyed     `cbor:"18,keyasint,omitempty"`
	Heartbeat    *Heartbeat    `cbor:"19,keyasint,omitempty"`
	HeartbeatAck *HeartbeatAck `cbor:"20,keyasint,omitempty"`
	Protocol     uint64        `cbor:"21,keyasint,omitempty"`
}

// MarshalCBOR writes a message in its form on the wire.
func (m Message) MarshalCBOR() ([]byte, error) {
	w := wireMessage{Life: m.Life, Identity: m.Identity, Protocol: m.Protocol}
	switch b := m.Body.(type) {
	case *Ask:
		w.Ask = b
	case *Promise:
		w.Promise = b
	case *Copy:
		w.Copy = b
	case *Copied:
		w.Copied = b
	case *Found:
		w.Found = b
	case *Founded:
		w.Founded = b
	case *Yield:
		w.Yield = b
	case *Enroll:
		w.Enroll = b
	case *Hail:
		w.Hail = b
	case *Hailed:
		w.Hailed = b
	case *Chunk:
		w.Chunk = b
	case *Chunked:
		w.Chunked = b
	case *Survey:
		w.Survey = b
	case *Surveyed:
		w.Surveyed = b
	case *Heartbeat:
		w.Heartbeat = b
	case *HeartbeatAck:
		w.HeartbeatAck = b
	}
	return cbor.Marshal(w)
}

// UnmarshalCBOR reads a message in its form on the wire.
func (m *Message) UnmarshalCBOR(data []byte) error {
	var w wireMessage
	if err := cbor.Unmarshal(data, &w); err != nil {
		return err
	}
	*m = Message{Life: w.Life, Identity: w.Identity, Protocol: w.Protocol}
	switch {
	case w.Ask != nil:
		m.Body = w.Ask
	case w.Promise != nil:
		m.Body = w.Promise
	case w.Copy != nil:
		m.Body = w.Copy
	case w.Copied != nil:
		m.Body = w.Copied
	case w.Found != nil:
		m.Body = w.Found
	case w.Founded != nil:
		m.Body = w.Founded
	case w.Yield != nil:
		m.Body = w.Yield
	case w.Enroll != nil:
		m.Body = w.Enroll
	case w.Hail != nil:
		m.Body = w.Hail
	case w.Hailed != nil:
		m.Body = w.Hailed
	case w.Chunk != nil:
		m.Body = w.Chunk
	case w.Chunked != nil:
		m.Body = w.Chunked
	case w.Survey != nil:
		m.Body = w.Survey
	case w.Surveyed != nil:
		m.Body = w.Surveyed
	case w.Heartbeat != nil:
		m.Body = w.Heartbeat
	case w.HeartbeatAck != nil:
		m.Body = w.HeartbeatAck
	}
	return nil
}
