package client

import (
	"errors"
	"fmt"
	"strings"
)

// Errors that callers can test for with errors.Is.
var (
	// ErrHeld means that another owner holds the lock.
	ErrHeld = errors.New("the lock is held by another owner")
	// ErrLeaseLost means that the control nodes no longer regard the owner as the lock's holder.
	ErrLeaseLost = errors.New("the lease was lost")
	// ErrLeaseExpired means that the lease was not renewed in time.
	ErrLeaseExpired = errors.New("the lease expired")
	// ErrReleased is the cause of a lease's context after Release.
	ErrReleased = errors.New("the lease was released")
	// ErrNotFound means that the key, or the election's leader, does not exist.
	ErrNotFound = errors.New("not found")
	// ErrConflict means that the key is not at the revision that PutIf expected. The error
	// is usually a *ConflictError.
	ErrConflict = errors.New("the key is at another revision")
	// ErrCompacted means that a watch asked for events that are no longer kept. To recover,
	// read the group's revision, then the keys, and watch from that revision.
	ErrCompacted = errors.New("the events after this revision are no longer kept")
	// ErrUnavailable means that no control node completed the call. A call that changes
	// something was not executed.
	ErrUnavailable = errors.New("no control node completed the call")
	// ErrUnclear means that the call failed but may have been executed.
	ErrUnclear = errors.New("the call may or may not have been executed")
)

// ConflictError reports the current revision of a key for which PutIf was refused.
type ConflictError struct {
	Key      string
	Revision uint64 // 0: the key does not exist
}

func (e *ConflictError) Error() string {
	return fmt.Sprintf("%v: %s is at %d", ErrConflict, e.Key, e.Revision)
}

// Is makes errors.Is(err, ErrConflict) true.
func (e *ConflictError) Is(target error) bool { return target == ErrConflict }

// StatusError is an error response that a retry can't change, such as for an invalid name or
// hold time.
type StatusError struct {
	Status  int
	Message string
}

func (e *StatusError) Error() string { return fmt.Sprintf("%d: %s", e.Status, e.Message) }

func newStatusError(result *callResult) error {
	return &StatusError{Status: result.status, Message: strings.TrimSpace(string(result.body))}
}

// CallError reports why a call failed after all retries. errors.Is matches it with either
// ErrUnclear or ErrUnavailable.
type CallError struct {
	// Call is the method and path of the call.
	Call string
	// Unclear means that the call may have been executed.
	Unclear bool
	// Last is the error of the last attempt; nil if there was no attempt.
	Last error
	// Ended is the error of the context if that ended the call; nil if the call failed because
	// it could not be retried safely any longer.
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

// Is matches ErrUnclear if the call may have been executed, otherwise ErrUnavailable.
func (e *CallError) Is(target error) bool {
	if e.Unclear {
		return target == ErrUnclear
	}
	return target == ErrUnavailable
}

// Unwrap returns the errors of the context and of the last attempt.
func (e *CallError) Unwrap() []error {
	var causes []error
	for _, cause := range []error{e.Ended, e.Last} {
		if cause != nil {
			causes = append(causes, cause)
		}
	}
	return causes
}
