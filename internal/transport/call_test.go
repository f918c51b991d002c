package transport

import (
	"bufio"
	"bytes"
	"context"
	"encoding/binary"
	"errors"
	"io"
	"net"
	"runtime"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// fakePeer accepts connections and delivers their frames to the test, which sends the replies.
type fakePeer struct {
	net.Listener
	frames chan receivedFrame
}

type receivedFrame struct {
	frame
	conn net.Conn
}

func newFakePeer(t *testing.T) *fakePeer {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := &fakePeer{l, make(chan receivedFrame, 1000)}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				r := bufio.NewReader(conn)
				for {
					f, err := readFrame(r)
					if err != nil {
						return
					}
					p.frames <- receivedFrame{f, conn}
				}
			}()
		}
	}()
	return p
}

func encodeReply(id uint64, text string) []byte {
	b, _ := cbor.Marshal(text)
	return encodeFrame(frame{Kind: "echo", ID: id, Reply: true, Body: b})
}

// A reply is accepted only over the connection on which the call was sent, and only once.
func TestReplyAcceptedOnlyFromTheCalledPeer(t *testing.T) {
	a, p, other := startEndpoint(t), newFakePeer(t), newFakePeer(t)
	a.Start()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	go func() { _ = a.Call(ctx, other.Addr().String(), "echo", "x", nil) }()
	fromOther := <-other.frames // its connection is one that a opened to another peer
	inbound, err := net.Dial("tcp4", a.Address())
	if err != nil {
		t.Fatal(err)
	}
	defer inbound.Close()
	for name, send := range map[string]func(id uint64){
		"from another called peer":   func(id uint64) { _, _ = fromOther.conn.Write(encodeReply(id, "foreign")) },
		"over an inbound connection": func(id uint64) { _, _ = inbound.Write(encodeReply(id, "foreign")) },
		"in a datagram": func(id uint64) {
			c, _ := net.Dial("udp4", a.Address())
			_, _ = c.Write(encodeReply(id, "foreign")[4:])
			c.Close()
		},
		"no foreign reply": func(uint64) {},
	} {
		received := make(chan string, 1)
		go func() {
			var reply string
			if err := a.Call(ctx, p.Addr().String(), "echo", "x", &reply); err != nil {
				reply = err.Error()
			}
			received <- reply
		}()
		call := <-p.frames
		send(call.ID)
		for name != "no foreign reply" && a.UnmatchedReplies.Load() == 0 && len(received) == 0 && ctx.Err() == nil {
			time.Sleep(time.Millisecond)
		}
		_, _ = call.conn.Write(append(encodeReply(call.ID+1, "foreign"), encodeReply(call.ID, "own")...))
		if answer := <-received; answer != "own" {
			t.Errorf("%s: Call returned %q, want own", name, answer)
		}
		a.UnmatchedReplies.Store(0)
	}
}

// A peer may reply late to a call that was made before the caller restarted at the same address. The
// calls after the restart must have other IDs.
func TestCallIDsDifferAcrossRestarts(t *testing.T) {
	p := newFakePeer(t)
	seen := map[uint64]bool{}
	for restart := range 8 {
		a := startEndpoint(t)
		a.Start()
		for range 4 {
			got := make(chan string, 1)
			go func() {
				var reply string
				if err := a.Call(context.Background(), p.Addr().String(), "echo", "x", &reply); err != nil {
					reply = err.Error()
				}
				got <- reply
			}()
			call := <-p.frames
			if seen[call.ID] {
				t.Fatalf("restart %d: a call has an ID that was used before the restart", restart)
			}
			for id := range seen {
				_, _ = call.conn.Write(encodeReply(id, "late"))
			}
			seen[call.ID] = true
			_, _ = call.conn.Write(encodeReply(call.ID, "own"))
			if answer := <-got; answer != "own" {
				t.Fatalf("restart %d: Call returned %q, want own", restart, answer)
			}
		}
		a.Close()
	}
}

// A complete reply is delivered even if the connection or the context ends at the same moment, so that the
// caller does not have to retry.
func TestReplyIsDeliveredWhenTheConnectionEndsAtTheSameTime(t *testing.T) {
	canceled, cancel := context.WithCancel(context.Background())
	cancel()
	ended := make(chan struct{})
	close(ended)
	for round := range 100 {
		got := make(chan frame, 1)
		got <- frame{ID: 1}
		if f, err := awaitReply(canceled, got, ended); err != nil || f.ID != 1 {
			t.Fatalf("round %d: %v", round, err)
		}
	}
	if _, err := awaitReply(context.Background(), make(chan frame), ended); !errors.Is(err, ErrUnreachable) {
		t.Errorf("link ended without a reply: got %v, want ErrUnreachable", err)
	}
}

// A reply replaces the previous value of its target completely: a retried call must not return parts of
// the reply before.
func TestReplyOverwritesTheWholeTarget(t *testing.T) {
	type verdict struct {
		Fault bool   `cbor:"1,keyasint,omitempty"`
		Body  []byte `cbor:"2,keyasint,omitempty"`
	}
	a, b := startEndpoint(t), startEndpoint(t)
	b.Handle("judge", func(string, []byte) (any, error) { return verdict{}, nil })
	a.Start()
	b.Start()
	reply := verdict{Fault: true, Body: []byte("before")}
	if err := a.Call(context.Background(), b.Address(), "judge", "x", &reply); err != nil || reply.Fault || reply.Body != nil {
		t.Errorf("got error %v, reply %+v, want a zero reply", err, reply)
	}
}

// An announced length must not make the reader allocate memory for bytes that have not arrived.
func TestReadFrameAllocatesAsBytesArrive(t *testing.T) {
	head := make([]byte, 4, 1<<10)
	binary.BigEndian.PutUint32(head, maxFrameSize)
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	if _, err := readFrame(bufio.NewReader(bytes.NewReader(append(head, "little"...)))); err == nil {
		t.Fatal("a truncated frame was accepted")
	}
	runtime.ReadMemStats(&after)
	if n := after.TotalAlloc - before.TotalAlloc; n > maxFrameSize/8 {
		t.Errorf("allocated %d bytes for a truncated frame of ten bytes", n)
	}
}

// FuzzReadFrame checks that for any input reading ends, allocates memory in proportion to the input only,
// and accepts complete frames only.
func FuzzReadFrame(f *testing.F) {
	body, _ := cbor.Marshal("x")
	encoded := encodeFrame(frame{From: "127.0.0.1:1", Kind: "echo", ID: 1 << 60, Reply: true, Error: "no", Body: body})
	f.Add(encoded)
	f.Add(encoded[:len(encoded)-1])
	f.Add(append(append([]byte(nil), encoded...), encoded...))
	f.Add([]byte{0xff, 0xff, 0xff, 0xff})
	f.Add([]byte{0x02, 0xff, 0xff, 0xff, 0xa1, 0x06, 0x9f})
	f.Add([]byte("\x00\x00\x00\x0a\xa1\x06\x5b\x7f\xff\xff\xff\xff\xff\xff\xff"))
	f.Add([]byte("\x00\x00\x00\x03\x82\x01\x02"))
	f.Add([]byte("GET / HTTP/1.1\r\n\r\n"))
	f.Fuzz(func(t *testing.T, in []byte) {
		r := bufio.NewReader(bytes.NewReader(in))
		remaining := in
		for {
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			got, err := readFrame(r)
			runtime.ReadMemStats(&after)
			if n := after.TotalAlloc - before.TotalAlloc; n > initialReadSize+uint64(16*len(in))+64<<10 {
				t.Fatalf("allocated %d bytes for an input of %d", n, len(in))
			}
			if err != nil {
				if !errors.Is(err, errUndecodable) && !errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) {
					t.Fatal(err)
				}
				return
			}
			if len(remaining) < 4 || int(binary.BigEndian.Uint32(remaining)) > len(remaining)-4 {
				t.Fatalf("a truncated frame was accepted: %+v", got)
			}
			payload := remaining[4 : 4+binary.BigEndian.Uint32(remaining)]
			remaining = remaining[4+len(payload):]
			if len(got.Body) > len(payload) || len(got.From)+len(got.Kind)+len(got.Error) > 2*len(payload) {
				t.Fatalf("the decoded frame is larger than its input: %+v", got)
			}
		}
	})
}
