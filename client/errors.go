package client

import (
	"errors"
	"fmt"
	"strings"
)

// The errors that callers may test for with errors.Is.
var (
	// ErrHeld says that another owner holds the lock.
	ErrHeld = errors.New("the lock is held by another owner")
	// ErrLeaseLost says that the system no longer counts the owner as the lock's holder.
	ErrLeaseLost = errors.New("the lease was lost")
	// ErrLeaseExpired says that the lease was not renewed in time.
	ErrLeaseExpired = errors.New("the lease expired")
	// ErrReleased is the cause of a lease's context after Release.
	ErrReleased = errors.New("the lease was released")
	// ErrNotFound says that the key, or the election's leader, doesn't exist.
	ErrNotFound = errors.New("not found")
	// ErrConflict says that the key isn't at the revision that PutIf asked for. The error
	// is a *ConflictError.
	ErrConflict = errors.New("the key is at another revision")
	// ErrCompacted says that a watch asked for events that are no longer kept. Read the keys
	// again, and watch from the group's revision as it was before that.
	ErrCompacted = errors.New("the events after this revision are no longer kept")
	// ErrUnavailable says that no node carried the call out until it was given up.
	ErrUnavailable = errors.New("no control node carried the call out")
	// ErrUnclear says that the call may or may not have been carried out.
	ErrUnclear = errors.New("the call may or may not have been carried out")
)

// ConflictError says at which revision a key was when PutIf was refused.
type ConflictError struct {
	Key      string
	Revision uint64 // 0: the key doesn't exist
}

func (e *ConflictError) Error() string {
	return fmt.Sprintf("%v: %s is at %d", ErrConflict, e.Key, e.Revision)
}

// Is makes errors.Is(err, ErrConflict) true.
func (e *ConflictError) Is(target error) bool { return target == ErrConflict }

// StatusError is an answer that refuses a call for good, such as a name or a hold time that
// the system doesn't take.
type StatusError struct {
	Status  int
	Message string
}

func (e *StatusError) Error() string { return fmt.Sprintf("%d: %s", e.Status, e.Message) }

// newStatusError makes a StatusError of an answer.
func newStatusError(result *callResult) error {
	return &StatusError{Status: result.status, Message: strings.TrimSpace(string(result.body))}
}

// CallError says why a call was given up. It is ErrUnclear or ErrUnavailable.
type CallError struct {
	// Call is the method and path of the call.
	Call string
	// Unclear says that the call may have been carried out.
	Unclear bool
	// Last is what the last attempt met with; nil if there was none.
	Last error
	// Ended is the error of the context that ended the call; nil if the call was given up
	// because it may not be repeated for longer.
	Ended error
}

func (e *CallError) Error() string {
	text := ErrUnavailable.Error()
	if e.Unclear {
		text = ErrUnclear.Error()
	}
	if e.Last != nil {
		return fmt.Sprintf("%s: %s: %v", e.Call, text, e.Last)
	}
	return fmt.Sprintf("%s: %s: %v", e.Call, text, e.Ended)
}

// Is tells whether target is the one of ErrUnclear and ErrUnavailable that applies.
func (e *CallError) Is(target error) bool {
	if e.Unclear {
		return target == ErrUnclear
	}
	return target == ErrUnavailable
}

// Unwrap returns the context's error and the last attempt's.
func (e *CallError) Unwrap() []error {
	var causes []error
	for _, cause := range []error{e.Ended, e.Last} {
		if cause != nil {
			causes = append(causes, cause)
		}
	}
	return causes
}
