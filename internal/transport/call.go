package transport

// This file makes calls to peers and matches replies to them.

import (
	"context"
	"reflect"

	"github.com/fxamacker/cbor/v2"
)

// RemoteError is an error that the handler at the peer returned.
type RemoteError string

func (f RemoteError) Error() string { return string(f) }

// Call sends a request to a peer, waits for its reply and decodes it into result, replacing all that
// result points to; a nil result discards the reply. After ErrUnreachable the peer may have executed the
// request nevertheless.
func (e *Endpoint) Call(ctx context.Context, to, kind string, body, result any) error {
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
	case reply.Error != "":
		return RemoteError(reply.Error)
	case result == nil:
		return nil
	}
	reflect.ValueOf(result).Elem().SetZero() // a field that the reply omits must be zero
	return cbor.Unmarshal(reply.Body, result)
}

// awaitReply waits for a reply until the link or ctx ends.
func awaitReply(ctx context.Context, replies <-chan frame, ended <-chan struct{}) (frame, error) {
	select {
	case reply := <-replies:
		return reply, nil
	case <-ended:
	case <-ctx.Done():
	}
	select {
	case reply := <-replies: // it arrived at the same moment
		return reply, nil
	default:
		return frame{}, ErrUnreachable
	}
}
