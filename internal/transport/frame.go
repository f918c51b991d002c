package transport

// This file encodes and decodes messages. On a connection each frame is preceded by its length as a
// 32-bit big-endian number; a datagram holds one frame without a length.

import (
	"bufio"
	"encoding/binary"
	"errors"
	"io"

	"github.com/fxamacker/cbor/v2"
)

// frame is a message or a reply. ID is zero if no reply is wanted; Error is the error of the handler in
// a reply.
type frame struct {
	From  string          `cbor:"1,keyasint"`
	Kind  string          `cbor:"2,keyasint"`
	ID    uint64          `cbor:"3,keyasint,omitempty"`
	Reply bool            `cbor:"4,keyasint,omitempty"`
	Error string          `cbor:"5,keyasint,omitempty"`
	Body  cbor.RawMessage `cbor:"6,keyasint,omitempty"`
}

// pendingCall is a call that waits for its reply. A reply is accepted only from the link over which the
// call was sent.
type pendingCall struct {
	link  *link
	reply chan frame
}

var errUndecodable = errors.New("undecodable frame")

// readFrame reads one frame. errUndecodable means that the input is not a valid frame; any other error is
// the reader's.
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
		// The buffer at most doubles with the bytes received, so that an announced length alone does not
		// make this node allocate much memory.
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

// encodeFrame returns the frame with its length in front, nil if it cannot be encoded.
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
