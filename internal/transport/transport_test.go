package transport

import (
	"context"
	"encoding/binary"
	"errors"
	"io"
	"log/slog"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
)

func startEndpoint(t *testing.T) *Endpoint {
	t.Helper()
	e, err := New("127.0.0.1:0", 5*time.Second, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	e.HandleAsync("echo", func(_ string, body []byte) (any, error) {
		var s string
		if err := cbor.Unmarshal(body, &s); err != nil {
			return nil, err
		}
		if s == "fail" {
			return nil, errors.New("requested failure")
		}
		return s, nil
	})
	t.Cleanup(e.Close)
	return e
}

func TestCallAndDatagram(t *testing.T) {
	a, b := startEndpoint(t), startEndpoint(t)
	got := make(chan string, 4)
	for _, e := range []*Endpoint{a, b} {
		e.Handle("note", func(from string, body []byte) (any, error) {
			var s string
			_ = cbor.Unmarshal(body, &s)
			got <- from + " " + s[:1]
			return nil, nil
		})
		e.Start()
	}
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	var reply string
	if err := a.Call(ctx, b.Address(), "echo", "hello", &reply); err != nil || reply != "hello" {
		t.Fatalf("got error %v, reply %q, want hello", err, reply)
	}
	var fault RemoteError
	if err := a.Call(ctx, b.Address(), "echo", "fail", &reply); !errors.As(err, &fault) || fault != "requested failure" {
		t.Fatalf("got error %v, want the handler's as a RemoteError", err)
	}
	for _, body := range []string{"small", strings.Repeat("x", 5000)} { // the second does not fit into a datagram
		a.SendDatagram(b.Address(), "note", body)
		if s := <-got; s != a.Address()+" "+body[:1] {
			t.Fatalf("got message %q", s)
		}
	}
	b.Close()
	if err := a.Call(ctx, b.Address(), "echo", "hello", &reply); !errors.Is(err, ErrUnreachable) {
		t.Fatalf("call to a closed peer: got %v, want ErrUnreachable", err)
	}
}

func TestUndecodableFrameClosesTheConnectionAndIsCounted(t *testing.T) {
	e, other := startEndpoint(t), startEndpoint(t)
	var lines strings.Builder
	e.log = slog.New(slog.NewTextHandler(&lines, nil))
	e.Start()
	other.Start()
	withLength := func(b []byte) []byte {
		out := make([]byte, 4)
		binary.BigEndian.PutUint32(out, uint32(len(b)))
		return append(out, b...)
	}
	for name, input := range map[string][]byte{
		"not CBOR":    withLength([]byte("GET / HTTP/1.1")),
		"no CBOR map": withLength([]byte{0x82, 0x01, 0x02}),
		"too long":    {0xff, 0xff, 0xff, 0xff},
	} {
		before := e.Undecoded.Load()
		conn, err := net.Dial("tcp4", e.Address())
		if err != nil {
			t.Fatal(err)
		}
		_, _ = conn.Write(input)
		if n, err := io.Copy(io.Discard, conn); n != 0 || isTimeout(err) {
			t.Fatalf("%s: read %d bytes, %v, want a closed connection", name, n, err)
		}
		conn.Close()
		if e.Undecoded.Load() != before+1 {
			t.Errorf("%s: not counted as undecodable", name)
		}
	}
	var reply string
	if err := other.Call(context.Background(), e.Address(), "echo", "hello", &reply); err != nil || reply != "hello" {
		t.Errorf("another peer cannot call any more: %v", err)
	}
	e.undecodableMu.Lock()
	defer e.undecodableMu.Unlock()
	if n := strings.Count(lines.String(), "\n"); n != 1 || e.undecodableUnlogged != 2 {
		t.Errorf("%d log lines and %d unlogged frames after three undecodable ones, want 1 and 2: %s", n, e.undecodableUnlogged, lines.String())
	}
}

func isTimeout(err error) bool {
	var t net.Error
	return errors.As(err, &t) && t.Timeout()
}

func TestIdleConnectionsAreClosed(t *testing.T) {
	a, b := startEndpoint(t), startEndpoint(t)
	b.IdleTimeout = 20 * time.Millisecond
	a.Start()
	b.Start()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	open := func() int {
		a.mu.Lock()
		defer a.mu.Unlock()
		return len(a.links)
	}
	for _, calls := range []bool{true, false, true} { // each round opens a new connection
		l := a.link(b.Address())
		for err := errors.New("no call yet"); calls && err != nil; {
			if err = a.Call(ctx, b.Address(), "echo", "hello", nil); ctx.Err() != nil {
				t.Fatal(err)
			}
		}
		select {
		case <-l.done:
		case <-ctx.Done():
			t.Fatal("an idle connection stays open")
		}
		for open() > 0 {
			time.Sleep(time.Millisecond)
		}
	}
}

// deadlineRecorder signals when a read deadline is set.
type deadlineRecorder struct {
	net.Conn
	set chan struct{}
}

func (d deadlineRecorder) SetReadDeadline(time.Time) error {
	d.set <- struct{}{}
	return nil
}

// Sending counts as activity, so that a connection on which a reply is awaited is not closed as idle.
func TestSendingExtendsTheIdleDeadline(t *testing.T) {
	e := startEndpoint(t)
	e.IdleTimeout = time.Hour
	local, remote := net.Pipe()
	defer remote.Close()
	l := &link{endpoint: e, queue: make(chan []byte, 1), done: make(chan struct{})}
	conn := deadlineRecorder{local, make(chan struct{}, 1)}
	go l.write(conn)
	l.enqueue([]byte("x"))
	if _, err := io.ReadFull(remote, make([]byte, 1)); err != nil {
		t.Fatal(err)
	}
	select {
	case <-conn.set:
	case <-time.After(10 * time.Second):
		t.Error("sending did not extend the idle deadline")
	}
	l.stop()
}
