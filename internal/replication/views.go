package replication

// This file holds what a member reports about its partitions.

import "time"

// PartitionView is the status of a partition as one member sees it.
type PartitionView struct {
	Partition    string
	Owner        string
	Epoch        uint64
	Seq          uint64
	Commit       uint64
	Owning       bool // this member is the owner
	Records      int
	SinceContact time.Duration // since the last contact with an owner or candidate
}

// Owner returns the address of the member believed to own a partition; empty if none is known.
func (m *Replica) Owner(now time.Duration, name string) string {
	part := m.partition(name)
	if part.role == roleOwner {
		return m.cfg.Self
	}
	if part.role == roleCandidate || !part.hadContact || now-part.lastContact > m.cfg.ElectionTimeout || part.promised.Owner == m.cfg.Self {
		return ""
	}
	return part.promised.Owner
}

// InitialOwner returns the member to contact for a partition that, as far as this member knows, has
// never had an owner; empty if it has had one or no member is available.
func (m *Replica) InitialOwner(now time.Duration, name string) string {
	m.now = now
	return m.initialOwner(m.partition(name))
}

func (m *Replica) initialOwner(part *partition) string {
	if part.hadContact || part.role != roleFollower || part.promised != (Epoch{}) {
		return ""
	}
	for _, address := range m.Successors(part.name) {
		if address == m.cfg.Self || m.cfg.Alive(address) {
			return address
		}
	}
	return ""
}

// Partitions returns the names of all partitions that this member has heard of.
func (m *Replica) Partitions() []string { return append([]string(nil), m.names...) }

// IsVoter reports whether the member is a voter.
func (m *Replica) IsVoter() bool { return m.isVoter() }

// PartitionViews returns the status of all partitions.
func (m *Replica) PartitionViews(now time.Duration) []PartitionView {
	var out []PartitionView
	for _, name := range m.names {
		part := m.partitions[name]
		out = append(out, PartitionView{name, m.Owner(now, name), part.promised.Number, part.position.Seq, part.commit.Seq, part.role == roleOwner, len(part.Records), now - part.lastContact})
	}
	return out
}
