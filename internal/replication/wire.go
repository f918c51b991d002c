package replication

// This file holds the message envelope, the handler for each message type, and the encoding.

import "github.com/fxamacker/cbor/v2"

// Message is a message between members.
type Message struct {
	RunID    uint64 // the sender's process run
	Identity uint64 // the sender's disk
	Protocol uint64 // the newest protocol version that the sender understands
	Body     Body   // nil: a type that only newer versions know
}

// Body is the content of a message.
type Body interface {
	handle(m *Replica, from sender)
}

// sender is the member that a message came from.
type sender struct {
	address string
	id      string // see idOf
	runID   uint64
}

func (b *VoteRequest) handle(m *Replica, from sender)      { m.onVoteRequest(from.address, b) }
func (b *Vote) handle(m *Replica, from sender)             { m.onVote(from.address, from.id, b) }
func (b *Append) handle(m *Replica, from sender)           { m.onAppend(from.address, b) }
func (b *AppendAck) handle(m *Replica, from sender)        { m.onAppendAck(from.address, from.id, b) }
func (b *BootstrapRequest) handle(m *Replica, from sender) { m.onBootstrapRequest(from.address, b) }
func (b *BootstrapReply) handle(m *Replica, from sender) {
	m.onBootstrapReply(from.address, from.id, b)
}
func (b *Transfer) handle(m *Replica, _ sender)         { m.startElection(m.partition(b.Partition), true) }
func (*Join) handle(m *Replica, from sender)            { m.onJoin(from.address, from.id) }
func (*Probe) handle(m *Replica, from sender)           { m.onProbe(from.address) }
func (b *ProbeAck) handle(m *Replica, from sender)      { m.onProbeAck(from.address, b) }
func (b *SnapshotChunk) handle(m *Replica, from sender) { m.onSnapshotChunk(from.address, b) }
func (b *SnapshotAck) handle(m *Replica, from sender)   { m.onSnapshotAck(from.address, from.id, b) }
func (b *StateQuery) handle(m *Replica, from sender)    { m.onStateQuery(from.address, from.id, b) }
func (b *StateReport) handle(m *Replica, from sender)   { m.onStateReport(from.id, b) }
func (b *Heartbeat) handle(m *Replica, from sender)     { m.onHeartbeat(from.address, from.runID, b) }
func (b *HeartbeatAck) handle(m *Replica, from sender)  { m.onHeartbeatAck(from.address, from.id, b) }

// wireMessage is the encoded form of Message; exactly one of the pointers is set. The numbers 5
// and 6 were used for full copies, which snapshots replace; they must not be used again.
type wireMessage struct {
	VoteRequest      *VoteRequest      `cbor:"1,keyasint,omitempty"`
	Vote             *Vote             `cbor:"2,keyasint,omitempty"`
	Append           *Append           `cbor:"3,keyasint,omitempty"`
	AppendAck        *AppendAck        `cbor:"4,keyasint,omitempty"`
	BootstrapRequest *BootstrapRequest `cbor:"7,keyasint,omitempty"`
	BootstrapReply   *BootstrapReply   `cbor:"8,keyasint,omitempty"`
	Transfer         *Transfer         `cbor:"9,keyasint,omitempty"`
	Join             *Join             `cbor:"10,keyasint,omitempty"`
	RunID            uint64            `cbor:"11,keyasint,omitempty"`
	Probe            *Probe            `cbor:"12,keyasint,omitempty"`
	ProbeAck         *ProbeAck         `cbor:"13,keyasint,omitempty"`
	Identity         uint64            `cbor:"14,keyasint,omitempty"`
	SnapshotChunk    *SnapshotChunk    `cbor:"15,keyasint,omitempty"`
	SnapshotAck      *SnapshotAck      `cbor:"16,keyasint,omitempty"`
	StateQuery       *StateQuery       `cbor:"17,keyasint,omitempty"`
	StateReport      *StateReport      `cbor:"18,keyasint,omitempty"`
	Heartbeat        *Heartbeat        `cbor:"19,keyasint,omitempty"`
	HeartbeatAck     *HeartbeatAck     `cbor:"20,keyasint,omitempty"`
	Protocol         uint64            `cbor:"21,keyasint,omitempty"`
}

// MarshalCBOR encodes a message.
func (m Message) MarshalCBOR() ([]byte, error) {
	w := wireMessage{RunID: m.RunID, Identity: m.Identity, Protocol: m.Protocol}
	switch b := m.Body.(type) {
	case *VoteRequest:
		w.VoteRequest = b
	case *Vote:
		w.Vote = b
	case *Append:
		w.Append = b
	case *AppendAck:
		w.AppendAck = b
	case *BootstrapRequest:
		w.BootstrapRequest = b
	case *BootstrapReply:
		w.BootstrapReply = b
	case *Transfer:
		w.Transfer = b
	case *Join:
		w.Join = b
	case *Probe:
		w.Probe = b
	case *ProbeAck:
		w.ProbeAck = b
	case *SnapshotChunk:
		w.SnapshotChunk = b
	case *SnapshotAck:
		w.SnapshotAck = b
	case *StateQuery:
		w.StateQuery = b
	case *StateReport:
		w.StateReport = b
	case *Heartbeat:
		w.Heartbeat = b
	case *HeartbeatAck:
		w.HeartbeatAck = b
	}
	return cbor.Marshal(w)
}

// UnmarshalCBOR decodes a message.
func (m *Message) UnmarshalCBOR(data []byte) error {
	var w wireMessage
	if err := cbor.Unmarshal(data, &w); err != nil {
		return err
	}
	*m = Message{RunID: w.RunID, Identity: w.Identity, Protocol: w.Protocol}
	switch {
	case w.VoteRequest != nil:
		m.Body = w.VoteRequest
	case w.Vote != nil:
		m.Body = w.Vote
	case w.Append != nil:
		m.Body = w.Append
	case w.AppendAck != nil:
		m.Body = w.AppendAck
	case w.BootstrapRequest != nil:
		m.Body = w.BootstrapRequest
	case w.BootstrapReply != nil:
		m.Body = w.BootstrapReply
	case w.Transfer != nil:
		m.Body = w.Transfer
	case w.Join != nil:
		m.Body = w.Join
	case w.Probe != nil:
		m.Body = w.Probe
	case w.ProbeAck != nil:
		m.Body = w.ProbeAck
	case w.SnapshotChunk != nil:
		m.Body = w.SnapshotChunk
	case w.SnapshotAck != nil:
		m.Body = w.SnapshotAck
	case w.StateQuery != nil:
		m.Body = w.StateQuery
	case w.StateReport != nil:
		m.Body = w.StateReport
	case w.Heartbeat != nil:
		m.Body = w.Heartbeat
	case w.HeartbeatAck != nil:
		m.Body = w.HeartbeatAck
	}
	return nil
}
