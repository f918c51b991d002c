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

// peer is a stand-in that takes connections and answers their frames as it likes.
type peer struct {
	net.Listener
	frames chan arrived
}

type arrived struct {
	frame
	conn net.Conn
}

func newPeer(t *testing.T) *peer {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := &peer{l, make(chan arrived, 1000)}
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
					p.frames <- arrived{f, conn}
				}
			}()
		}
	}()
	return p
}

func reply(id uint64, text string) []byte {
	b, _ := cbor.Marshal(text)
	return encode(frame{Kind: "echo", ID: id, Reply: true, Body: b})
}

// An answer is taken only from the connection that the question went out on, and once.
func TestAnAnswerIsTakenOnlyFromThePeerAsked(t *testing.T) {
	a, p, other := start(t), newPeer(t), newPeer(t)
	a.Start()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	go func() { _ = a.Call(ctx, other.Addr().String(), "echo", "x", nil) }()
	fromOther := <-other.frames // a connection of ours to another peer
	inbound, err := net.Dial("tcp4", a.Self())
	if err != nil {
		t.Fatal(err)
	}
	defer inbound.Close()
	for name, send := range map[string]func(id uint64){
		"another peer":      func(id uint64) { _, _ = fromOther.conn.Write(reply(id, "foreign")) },
		"one that calls us": func(id uint64) { _, _ = inbound.Write(reply(id, "foreign")) },
		"a datagram": func(id uint64) {
			c, _ := net.Dial("udp4", a.Self())
			_, _ = c.Write(reply(id, "foreign")[4:])
			c.Close()
		},
		"nobody else": func(uint64) {},
	} {
		got := make(chan string, 1)
		go func() {
			var answer string
			if err := a.Call(ctx, p.Addr().String(), "echo", "x", &answer); err != nil {
				answer = err.Error()
			}
			got <- answer
		}()
		q := <-p.frames
		send(q.ID)
		for name != "nobody else" && a.Strays.Load() == 0 && len(got) == 0 && ctx.Err() == nil {
			time.Sleep(time.Millisecond)
		}
		_, _ = q.conn.Write(append(reply(q.ID+1, "foreign"), reply(q.ID, "own")...))
		if answer := <-got; answer != "own" {
			t.Errorf("%s: the caller got %q", name, answer)
		}
		a.Strays.Store(0)
	}
}

// A peer that answers by the caller's address may answer a question of its former
// life; the new life's calls must have other ids.
func TestIDsDoNotRepeatOverLives(t *testing.T) {
	p := newPeer(t)
	seen := map[uint64]bool{}
	for life := range 8 {
		a := start(t)
		a.Start()
		for range 4 {
			got := make(chan string, 1)
			go func() {
				var answer string
				if err := a.Call(context.Background(), p.Addr().String(), "echo", "x", &answer); err != nil {
					answer = err.Error()
				}
				got <- answer
			}()
			q := <-p.frames
			if seen[q.ID] {
				t.Fatalf("life %d asks with an id of a former life", life)
			}
			for id := range seen {
				_, _ = q.conn.Write(reply(id, "late"))
			}
			seen[q.ID] = true
			_, _ = q.conn.Write(reply(q.ID, "own"))
			if answer := <-got; answer != "own" {
				t.Fatalf("life %d: the caller got %q", life, answer)
			}
		}
		a.Close()
	}
}

// An answer that came whole counts, also if the connection ends or the time is up at
// the same moment: its caller must not have to ask again.
func TestAnAnswerCountsThoughTheConnectionEnds(t *testing.T) {
	over, cancel := context.WithCancel(context.Background())
	cancel()
	ended := make(chan struct{})
	close(ended)
	for round := range 100 {
		got := make(chan frame, 1)
		got <- frame{ID: 1}
		if f, err := await(over, got, ended); err != nil || f.ID != 1 {
			t.Fatalf("round %d: %v", round, err)
		}
	}
	if _, err := await(context.Background(), make(chan frame), ended); !errors.Is(err, ErrUnreachable) {
		t.Errorf("no answer, and none can come: %v", err)
	}
}

// An answer takes the place of what its variable held, of which nothing may be left: a
// call that is made again must not answer with parts of the call before.
func TestAnAnswerLeavesNothingOfTheOneBefore(t *testing.T) {
	type verdict struct {
		Fault bool   `cbor:"1,keyasint,omitempty"`
		Body  []byte `cbor:"2,keyasint,omitempty"`
	}
	a, b := start(t), start(t)
	b.Handle("judge", func(string, []byte) (any, error) { return verdict{}, nil })
	a.Start()
	b.Start()
	v := verdict{Fault: true, Body: []byte("before")}
	if err := a.Call(context.Background(), b.Self(), "judge", "x", &v); err != nil || v.Fault || v.Body != nil {
		t.Errorf("%v, %+v", err, v)
	}
}

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
