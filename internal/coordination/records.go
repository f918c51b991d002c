package coordination

// This file holds the encoding of a partition in its records.

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"

	"madderwing/internal/antientropy"
)

// Record is one entry in a partition of the control state.
type Record = antientropy.Record

// Names and prefixes of records. Names of locks, counters and cells contain no slash.
const (
	headName      = "head"
	lockPrefix    = "lock/"
	counterPrefix = "counter/"
	cellPrefix    = "cell/"
	groupPrefix   = "group/"
	eventPrefix   = "event/"
)

// headRecord is the state of the partition as a whole.
type headRecord struct {
	Partitions int `cbor:"1,keyasint"`
	// FencingToken is the highest fencing token issued in this partition. All locks of the
	// partition share the sequence, so the record of a free lock can be erased.
	FencingToken uint64 `cbor:"2,keyasint,omitempty"`
}

// lockRecord is a lock that is held. Lease is at least as long as each lease that was confirmed to
// the holder.
type lockRecord struct {
	Owner        string        `cbor:"1,keyasint"`
	FencingToken uint64        `cbor:"2,keyasint"`
	Lease        time.Duration `cbor:"3,keyasint"`
}

type counterRecord struct {
	Value uint64 `cbor:"1,keyasint"`
}

type cellRecord struct {
	Value    string `cbor:"1,keyasint"`
	Revision uint64 `cbor:"2,keyasint"`
}

// groupRecord says which part of a group's history was erased: all revisions below Oldest.
type groupRecord struct {
	Oldest uint64 `cbor:"1,keyasint"`
}

// eventRecord is a put in the history of a group. The record's name has its revision.
type eventRecord struct {
	Name  string `cbor:"1,keyasint"`
	Value string `cbor:"2,keyasint"`
}

func encode(name string, value any) Record {
	data, err := cbor.Marshal(value)
	if err != nil {
		panic(err) // impossible: only the types of this file are encoded
	}
	return Record{Name: name, Gen: 1, Data: data}
}

func erasure(name string) Record { return Record{Name: name, Erased: true} }

// eventName is the name of the record of a put. The revision has a fixed width, so that the
// records sort by revision.
func eventName(group string, revision uint64) string {
	return fmt.Sprintf("%s%s/%016x", eventPrefix, group, revision)
}

// parseEventName is the inverse of eventName.
func parseEventName(name string) (group string, revision uint64, err error) {
	text := strings.TrimPrefix(name, eventPrefix)
	group, digits, ok := strings.Cut(text, "/")
	if !ok {
		return "", 0, fmt.Errorf("record %q: no revision in the name", name)
	}
	revision, err = strconv.ParseUint(digits, 16, 64)
	return group, revision, err
}

// recordSize is the approximate size of a record in memory and on disk, in bytes.
func recordSize(r Record) int { return len(r.Name) + len(r.Data) + recordOverhead }

// recordOverhead is the size of a record in addition to its name and data, in bytes.
const recordOverhead = 64
