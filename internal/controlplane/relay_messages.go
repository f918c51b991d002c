package controlplane

import (
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"

	"madderwing/internal/config"
	"madderwing/internal/membership"
)

// relayKind is the kind of a relay's question, which control nodes and other relays answer.
const relayKind = "relay"

// relayQuestion asks which control node can serve a call that concerns the named partition.
type relayQuestion struct {
	Partition string `cbor:"1,keyasint"`
}

// relayAnswer is the answer of a control node, or of another relay.
type relayAnswer struct {
	Relay bool `cbor:"1,keyasint,omitempty"` // the sender is a relay; only Nodes is set as well
	// Working reports that the control node hears the owner of the partition or of the
	// configuration, and is not about to shut down.
	Working bool              `cbor:"2,keyasint,omitempty"`
	Owner   string            `cbor:"3,keyasint,omitempty"` // of the partition, if known
	Nodes   []membership.Node `cbor:"4,keyasint,omitempty"` // control nodes that appear to be working
}

// registerRelayHandler registers the handler for the questions of relays.
func (n *Node) registerRelayHandler() {
	n.endpoint.HandleAsync(relayKind, func(_ string, body []byte) (any, error) {
		var q relayQuestion
		if err := cbor.Unmarshal(body, &q); err != nil {
			n.endpoint.Undecoded.Add(1)
			return nil, err
		}
		ch := make(chan relayAnswer, 1)
		n.enqueue(func(now time.Duration) {
			ch <- relayAnswerFor(q.Partition, n.endpoint.Address(), n.replica.Partitions(), func(partition string) string { return n.replica.Owner(now, partition) }, n.membership.List())
		})
		return <-ch, nil
	})
}

// relayAnswerFor returns the answer about a partition, given the partitions of this control node, a
// lookup of their owners, and the known nodes.
func relayAnswerFor(partition, self string, partitions []string, owner func(partition string) string, nodes *membership.List) (answer relayAnswer) {
	// Looking up the owner creates the partition, so only existing partitions are looked up.
	if slices.Contains(partitions, partition) {
		answer.Owner = owner(partition)
	}
	answer.Working = answer.Owner != "" || owner(config.Partition) != ""
	for _, n := range nodes.Live(membership.Control) {
		if !n.Draining {
			answer.Nodes = append(answer.Nodes, n)
		} else if n.Address == self {
			answer.Working = false
		}
	}
	return answer
}
