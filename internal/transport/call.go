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
func (c *Endpoint) Call(ctx context.Context, to, kind string, body, answer any) error {
	b, err := cbor.Marshal(body)
	if err != nil {
		return err
	}
	id := c.next.Add(1)
	ch := make(chan frame, 1)
	l := c.link(to)
	c.mu.Lock()
	c.waiting[id] = question{l, ch}
	c.mu.Unlock()
	defer func() {
		c.mu.Lock()
		delete(c.waiting, id)
		c.mu.Unlock()
	}()
	if !l.offer(encode(frame{From: c.self, Kind: kind, ID: id, Body: b})) {
		return ErrUnreachable
	}
	f, err := await(ctx, ch, l.done)
	switch {
	case err != nil:
		return err
	case f.Fault != "":
		return Fault(f.Fault)
	case answer == nil:
		return nil
	}
	reflect.ValueOf(answer).Elem().SetZero() // fields that the answer leaves out are zero
	return cbor.Unmarshal(f.Body, answer)
}

// await waits for an answer until the link or the time for it ends.
func await(ctx context.Context, answer <-chan frame, ended <-chan struct{}) (frame, error) {
	select {
	case f := <-answer:
		return f, nil
	case <-ended:
	case <-ctx.Done():
	}
	select {
	case f := <-answer: // it came at the same moment
		return f, nil
	default:
		return frame{}, ErrUnreachable
	}
}
