package transport

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"errors"
	"io"
	"runtime"
	"testing"

	"github.com/fxamacker/cbor/v2"
)

// A length that is told but does not come must not cost memory.
func TestAFrameTakesMemoryAsItComes(t *testing.T) {
	head := make([]byte, 4, 1<<10)
	binary.BigEndian.PutUint32(head, maxFrame)
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	if _, err := readFrame(bufio.NewReader(bytes.NewReader(append(head, "little"...)))); err == nil {
		t.Fatal("a frame cut short was taken for whole")
	}
	runtime.ReadMemStats(&after)
	if n := after.TotalAlloc - before.TotalAlloc; n > maxFrame/8 {
		t.Errorf("%d bytes for a frame of which ten came", n)
	}
}

// FuzzReadFrame: whatever comes, reading ends, takes no more memory than the bytes
// that came are worth, and takes for a frame only what is there whole.
func FuzzReadFrame(f *testing.F) {
	body, _ := cbor.Marshal("x")
	whole := encode(frame{From: "127.0.0.1:1", Kind: "echo", ID: 1 << 60, Reply: true, Fault: "no", Body: body})
	f.Add(whole)
	f.Add(whole[:len(whole)-1])
	f.Add(append(append([]byte(nil), whole...), whole...))
	f.Add([]byte{0xff, 0xff, 0xff, 0xff})
	f.Add([]byte{0x02, 0xff, 0xff, 0xff, 0xa1, 0x06, 0x9f})
	f.Add([]byte("\x00\x00\x00\x0a\xa1\x06\x5b\x7f\xff\xff\xff\xff\xff\xff\xff"))
	f.Add([]byte("\x00\x00\x00\x03\x82\x01\x02"))
	f.Add([]byte("GET / HTTP/1.1\r\n\r\n"))
	f.Fuzz(func(t *testing.T, in []byte) {
		r := bufio.NewReader(bytes.NewReader(in))
		left := in
		for {
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			got, err := readFrame(r)
			runtime.ReadMemStats(&after)
			if n := after.TotalAlloc - before.TotalAlloc; n > firstRead+uint64(16*len(in))+64<<10 {
				t.Fatalf("%d bytes taken for %d", n, len(in))
			}
			if err != nil {
				if !errors.Is(err, errGarbage) && !errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) {
					t.Fatal(err)
				}
				return
			}
			if len(left) < 4 || int(binary.BigEndian.Uint32(left)) > len(left)-4 {
				t.Fatalf("a frame cut short is taken for whole: %+v", got)
			}
			part := left[4 : 4+binary.BigEndian.Uint32(left)]
			left = left[4+len(part):]
			if len(got.Body) > len(part) || len(got.From)+len(got.Kind)+len(got.Fault) > 2*len(part) {
				t.Fatalf("more came out than went in: %+v", got)
			}
		}
	})
}
