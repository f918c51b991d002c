package transport

// This file holds the form of messages on a connection and in a datagram.

import (
	"bufio"
	"encoding/binary"
	"errors"
	"io"

	"github.com/fxamacker/cbor/v2"
)

type frame struct {
	From  string          `cbor:"1,keyasint"`
	Kind  string          `cbor:"2,keyasint"`
	ID    uint64          `cbor:"3,keyasint,omitempty"`
	Reply bool            `cbor:"4,keyasint,omitempty"`
	Fault string          `cbor:"5,keyasint,omitempty"`
	Body  cbor.RawMessage `cbor:"6,keyasint,omitempty"`
}

// question is a call that waits for its answer, which comes over the link that the
// question went out on or not at all.
type pendingCall struct {
	link  *link
	reply chan frame
}

var errUndecodable = errors.New("not a frame")

// readFrame reads one frame; errGarbage: what came is none. Any other error is the
// reader's.
func readFrame(r *bufio.Reader) (f frame, err error) {
	var header [4]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return f, err
	}
	n := binary.BigEndian.Uint32(header[:])
	if n > maxFrameSize {
		return f, errUndecodable
	}
	var buf []byte
	for have := 0; have < int(n); have = len(buf) {
		// No more at a time than has come already: a length alone costs little.
		chunk := min(int(n)-have, max(have, initialReadSize))
		buf = append(make([]byte, 0, have+chunk), buf...)[:have+chunk]
		if _, err := io.ReadFull(r, buf[have:]); err != nil {
			return f, err
		}
	}
	if cbor.Unmarshal(buf, &f) != nil {
		return f, errUndecodable
	}
	return f, nil
}

func encodeFrame(f frame) []byte {
	b, err := cbor.Marshal(f)
	if err != nil {
		return nil
	}
	out := make([]byte, 4+len(b))
	binary.BigEndian.PutUint32(out, uint32(len(b)))
	copy(out[4:], b)
	return out
}
