// Package coordination implements coordination primitives for applications: locks with
// leases and fencing tokens, counters, and key-value cells with compare-and-set by revision,
// whose history can be watched.
//
// The state is divided into a fixed number of partitions of the replicated control state, each
// with an owner of its own. Partition is the state machine that the owner runs; Feed is what
// every replica derives from committed records to answer watches. Neither does any I/O or
// reads a clock: callers pass the time in.
package coordination

import (
	"fmt"
	"hash/fnv"
	"strings"
	"time"
	"unicode"
	"unicode/utf8"
)

// Partitions is the number of partitions. The first change of a partition records this number
// in it; an owner that was built with a different number cannot load the partition.
const Partitions = 16

// PartitionPrefix is the prefix of the names of coordination's partitions in the control state.
const PartitionPrefix = "coordination/"

// Operation is what a call asks for.
type Operation uint8

// The operations. Their numbers are part of the messages between nodes.
const (
	Acquire   Operation = iota + 1 // takes a lock, or extends the lease of its holder
	Renew                          // extends the lease of the holder with the fencing token
	Release                        // frees a lock
	Increment                      // increments a counter
	Put                            // writes a value to a cell
	Get                            // reads a cell
	Revision                       // reads the newest revision of a group of cells
)

var operationNames = map[Operation]string{Acquire: "acquire", Renew: "renew", Release: "release", Increment: "draw",
	Put: "put", Get: "get", Revision: "revision"}

func (o Operation) String() string { return operationNames[o] }

// Known reports whether this release implements the operation.
func (o Operation) Known() bool { return operationNames[o] != "" }

// ReadOnly reports whether the operation is read-only, so that it may be executed twice.
func (o Operation) ReadOnly() bool { return o == Get || o == Revision }

// Call is an application's call.
type Call struct {
	Operation    Operation     `cbor:"1,keyasint"`
	Name         string        `cbor:"2,keyasint"`           // of the lock, counter or cell; for Revision, of the group
	Owner        string        `cbor:"3,keyasint,omitempty"` // of the lock: who acquires or holds it
	FencingToken uint64        `cbor:"4,keyasint,omitempty"` // of the lease that is renewed or released
	Lease        time.Duration `cbor:"5,keyasint,omitempty"` // requested length of the lease
	Value        string        `cbor:"6,keyasint,omitempty"`
	// Expected is the revision that the cell must have for a put; 0: the cell must not exist,
	// nil: any revision.
	Expected *uint64 `cbor:"7,keyasint,omitempty"`
}

// Status is the outcome of a call.
type Status uint8

// The outcomes. Their numbers are part of the messages between nodes.
const (
	OK           Status = iota + 1
	Held                // the lock is held by another owner, or under another token
	Mismatch            // the cell has another revision than expected
	NotFound            // the cell does not exist
	Full                // a limit of the partition is reached, or the disk is full
	Incompatible        // the partition was created with another number of partitions
)

// Answer is the outcome of a call with what the operation returns.
type Answer struct {
	Status       Status `cbor:"1,keyasint"`
	FencingToken uint64 `cbor:"2,keyasint,omitempty"`
	Number       uint64 `cbor:"3,keyasint,omitempty"`
	Revision     uint64 `cbor:"4,keyasint,omitempty"`
	Value        string `cbor:"5,keyasint,omitempty"`
}

// Partition returns the name, in the control state, of the partition that the call concerns.
func (c Call) Partition() string {
	switch c.Operation {
	case Put, Get:
		return groupPartition(GroupOf(c.Name))
	case Revision:
		return groupPartition(c.Name)
	case Increment:
		return partitionName(counterPrefix + c.Name)
	}
	return partitionName(lockPrefix + c.Name)
}

// GroupPartition returns the name, in the control state, of the partition that holds a group of
// cells.
func GroupPartition(group string) string { return groupPartition(group) }

func groupPartition(group string) string { return partitionName(cellPrefix + group) }

func partitionName(name string) string {
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(name))
	sum := hash.Sum32()
	return fmt.Sprintf("%s%02d", PartitionPrefix, (sum^sum>>16)%Partitions)
}

// GroupOf returns the group of a cell: the cell's name up to and including the first dot. A cell
// without a dot in its name is a group by itself, which cannot be watched.
func GroupOf(name string) string {
	if i := strings.IndexByte(name, '.'); i >= 0 {
		return name[:i+1]
	}
	return name
}

// IsGroup reports whether a name is that of a group that can be watched.
func IsGroup(name string) bool {
	return len(name) > 1 && strings.IndexByte(name, '.') == len(name)-1
}

// MaxName is the maximum length of the names of locks, counters, cells and owners, in bytes.
const MaxName = 128

// CheckName returns an error if a name is invalid. The error's text begins with what.
func CheckName(what, name string) error {
	switch {
	case name == "":
		return fmt.Errorf("%s: empty", what)
	case len(name) > MaxName:
		return fmt.Errorf("%s: more than %d bytes", what, MaxName)
	case !utf8.ValidString(name):
		return fmt.Errorf("%s: not UTF-8", what)
	case strings.ContainsRune(name, '/'):
		return fmt.Errorf("%s: contains a slash", what)
	case strings.ContainsFunc(name, func(r rune) bool { return !unicode.IsPrint(r) }):
		return fmt.Errorf("%s: contains a character that cannot be printed", what)
	}
	return nil
}
