package replication

import (
	"encoding/hex"
	"reflect"
	"testing"

	"github.com/fxamacker/cbor/v2"
)

// Each message type has a fixed number on the wire, by which older versions know it.
func TestMessagesOnTheWire(t *testing.T) {
	for body, number := range map[Body]uint64{
		&VoteRequest{Partition: "k"}: 1, &Vote{Partition: "k"}: 2, &Append{Partition: "k"}: 3, &AppendAck{Partition: "k"}: 4, &BootstrapRequest{}: 7, &BootstrapReply{}: 8,
		&Transfer{Partition: "k"}: 9, &Join{}: 10, &Probe{}: 12, &ProbeAck{OwnedPartitions: []string{"k"}}: 13, &SnapshotChunk{Partition: "k", Count: 1}: 15,
		&SnapshotAck{Partition: "k"}: 16, &StateQuery{Round: 1}: 17, &StateReport{Round: 1}: 18, &Heartbeat{Round: 1}: 19, &HeartbeatAck{RunID: 1}: 20,
	} {
		sent := Message{RunID: 5, Identity: 6, Protocol: 1, Body: body}
		b, err := cbor.Marshal(sent)
		if err != nil {
			t.Fatal(err)
		}
		var fields map[uint64]cbor.RawMessage
		if err := cbor.Unmarshal(b, &fields); err != nil || len(fields) != 4 || fields[number] == nil || fields[11] == nil || fields[14] == nil || fields[21] == nil {
			t.Errorf("%T is %x: %v", body, b, err)
		}
		var read Message
		if err := cbor.Unmarshal(b, &read); err != nil || !reflect.DeepEqual(read, sent) {
			t.Errorf("%T is read as %+v: %v", body, read, err)
		}
	}
}

// Messages as encoded by the version before typed messages, and a type that only a later version
// knows.
func TestMessagesOfOtherVersions(t *testing.T) {
	for text, want := range map[string]Message{
		"a309a101616b0b050e06":     {RunID: 5, Identity: 6, Body: &Transfer{Partition: "k"}},
		"a40aa00b050e061501":       {RunID: 5, Identity: 6, Protocol: 1, Body: &Join{}},
		"a40b050e061502181ea10101": {RunID: 5, Identity: 6, Protocol: 2},
	} {
		b, err := hex.DecodeString(text)
		if err != nil {
			t.Fatal(err)
		}
		var read Message
		if err := cbor.Unmarshal(b, &read); err != nil || !reflect.DeepEqual(read, want) {
			t.Errorf("%s is read as %+v: %v", text, read, err)
		}
		if again, err := cbor.Marshal(read); want.Body != nil && (err != nil || hex.EncodeToString(again) != text) {
			t.Errorf("%s is written as %x: %v", text, again, err)
		}
	}
}
