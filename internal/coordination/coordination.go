// Package coordination holds what applications coordinate with: locks with leases and
// fencing tokens, counters, key-value cells with compare revisions, and the history of
// the cells for watches.
//
// The state is divided over a fixed number of partitions. Each partition is a key of
// the replicated control state with an owner of its own. Partition is the state machine
// that the owner runs; Feed is what every replica derives from committed records to
// answer watches. Both are plain structures without input, output or a clock: the
// driver passes the time in.
package coordination

import (
	"fmt"
	"hash/fnv"
	"strings"
	"time"
	"unicode"
	"unicode/utf8"
)

// Partitions is the number of partitions. It is stored in every partition with its first
// change; an owner that was built with another number refuses the partition.
const Partitions = 16

// KeyPrefix begins the names of all partitions among the keys of the control state.
const KeyPrefix = "coordination/"

// Operation is what a call asks for.
type Operation uint8

// The operations. Their numbers are part of the messages between nodes.
const (
	Acquire  Operation = iota + 1 // a lock, or more time for its holder
	Renew                         // more time for the holder with the fencing token
	Release                       // a lock given back
	Draw                          // the next number of a counter
	Put                           // a value into a cell
	Get                           // a cell
	Revision                      // the present revision of a group of cells
)

var operationNames = map[Operation]string{Acquire: "acquire", Renew: "renew", Release: "release", Draw: "draw",
	Put: "put", Get: "get", Revision: "revision"}

func (o Operation) String() string { return operationNames[o] }

// Known says whether this version knows the operation.
func (o Operation) Known() bool { return operationNames[o] != "" }

// Reads says that the operation changes nothing, so that it may be carried out twice.
func (o Operation) Reads() bool { return o == Get || o == Revision }

// Call is one call of an application.
type Call struct {
	Operation Operation     `cbor:"1,keyasint"`
	Name      string        `cbor:"2,keyasint"` // of the lock, counter or cell; for Revision, of the group
	Owner     string        `cbor:"3,keyasint,omitempty"`
	Fence     uint64        `cbor:"4,keyasint,omitempty"`
	Hold      time.Duration `cbor:"5,keyasint,omitempty"`
	Value     string        `cbor:"6,keyasint,omitempty"`
	// Expected is the revision that the cell must have for a put, 0 for a cell that does not
	// exist; nil: any.
	Expected *uint64 `cbor:"7,keyasint,omitempty"`
}

// Status is the outcome of a call.
type Status uint8

// The outcomes. Their numbers are part of the messages between nodes.
const (
	OK           Status = iota + 1
	Held                // the lock is held by another owner, or under another token
	Mismatch            // the cell has another revision than expected
	Missing             // there is no such cell
	Full                // a bound of the partition is reached
	Incompatible        // the partition was made for another number of partitions
)

// Answer is the outcome of a call with what the operation returns.
type Answer struct {
	Status   Status `cbor:"1,keyasint"`
	Fence    uint64 `cbor:"2,keyasint,omitempty"`
	Number   uint64 `cbor:"3,keyasint,omitempty"`
	Revision uint64 `cbor:"4,keyasint,omitempty"`
	Value    string `cbor:"5,keyasint,omitempty"`
}

// Key is the key of the control state that the call concerns.
func (c Call) Key() string {
	switch c.Operation {
	case Put, Get:
		return groupKey(GroupOf(c.Name))
	case Revision:
		return groupKey(c.Name)
	case Draw:
		return partitionKey(counterPrefix + c.Name)
	}
	return partitionKey(lockPrefix + c.Name)
}

// GroupKey is the key of the control state that holds a group of cells.
func GroupKey(group string) string { return groupKey(group) }

func groupKey(group string) string { return partitionKey(cellPrefix + group) }

func partitionKey(name string) string {
	h := fnv.New32a()
	_, _ = h.Write([]byte(name))
	v := h.Sum32()
	return fmt.Sprintf("%s%02d", KeyPrefix, (v^v>>16)%Partitions)
}

// GroupOf is the group of a cell: its name up to the first dot, including the dot. A name
// without a dot is a group of its own, which cannot be watched.
func GroupOf(name string) string {
	if i := strings.IndexByte(name, '.'); i >= 0 {
		return name[:i+1]
	}
	return name
}

// IsGroup says whether a name is that of a group that can be watched.
func IsGroup(name string) bool {
	return len(name) > 1 && strings.IndexByte(name, '.') == len(name)-1
}

// MaxName bounds the names of locks, counters, cells and owners, in bytes.
const MaxName = 128

// CheckName says what is wrong with a name; nil: nothing.
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
