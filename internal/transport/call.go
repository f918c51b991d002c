package transport

// This file matches answers to the calls that asked for them.

import (
	"context"
	"reflect"

	"github.com/fxamacker/cbor/v2"
)

// Fault is an error that the peer's handler returned.
type Fault string

func (f Fault) Error() string { return string(f) }

// Call asks a peer and waits for its answer, which takes the place of what answer points
// to. ErrUnreachable: there was none, and the peer may have acted all the same.
func (e *Endpoint) Call(ctx context.Context, to, kind string, body, answer any) error {
	encoded, err := cbor.Marshal(body)
	if err != nil {
		return err
	}
	id := e.nextID.Add(1)
	replies := make(chan frame, 1)
	link := e.link(to)
	e.mu.Lock()
	e.calls[id] = pendingCall{link, replies}
	e.mu.Unlock()
	defer func() {
		e.mu.Lock()
		delete(e.calls, id)
		e.mu.Unlock()
	}()
	if !link.enqueue(encodeFrame(frame{From: e.self, Kind: kind, ID: id, Body: encoded})) {
		return ErrUnreachable
	}
	reply, err := awaitReply(ctx, replies, link.done)
	switch {
	case err != nil:
		return err
	case reply.Fault != "":
		return Fault(reply.Fault)
	case answer == nil:
		return nil
	}
	reflect.ValueOf(answer).Elem().SetZero() // fields that the answer leaves out are zero
	return cbor.Unmarshal(reply.Body, answer)
}

// await waits for an answer until the link or the time for it ends.
func awaitReply(ctx context.Context, reply <-chan frame, ended <-chan struct{}) (frame, error) {
	select {
	case f := <-reply:
		return f, nil
	case <-ended:
	case <-ctx.Done():
	}
	select {
	case f := <-reply: // it came at the same moment
		return f, nil
	default:
		return frame{}, ErrUnreachable
	}
}
