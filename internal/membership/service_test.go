package membership

import (
	"log/slog"
	"testing"
	"time"

	"madderwing/internal/transport"
)

// A node whose one seed is in no register is told of a control node there, and so joins.
func TestJoiningThroughAStranger(t *testing.T) {
	mesh := func() *transport.Endpoint {
		m, err := transport.New("127.0.0.1:0", 5*time.Second, slog.New(slog.DiscardHandler))
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(m.Close)
		return m
	}
	node := func(plane Plane, seeds ...string) (*Service, *transport.Endpoint) {
		m := mesh()
		s := NewService(Config{Self: Node{Address: m.Self(), Plane: plane}, Seeds: seeds, Beat: 50 * time.Millisecond, Forget: time.Minute}, m, nil)
		m.Start()
		go s.Run()
		t.Cleanup(s.Stop)
		return s, m
	}
	controlNode, at := node(Control)
	stranger := mesh()
	Introduce(stranger, func(Node) []Node { return []Node{{Address: at.Self(), Plane: Control}} })
	stranger.Start()
	gateway, from := node(Data, stranger.Self())
	for i := 0; ; i++ {
		_, knows := gateway.List().Get(at.Self())
		_, known := controlNode.List().Get(from.Self())
		if knows && known {
			break
		}
		if i > 600 {
			t.Fatalf("the gateway knows %v, the control node %v", gateway.List().Nodes, controlNode.List().Nodes)
		}
		time.Sleep(50 * time.Millisecond)
	}
	for _, s := range []*Service{gateway, controlNode} {
		if _, ok := s.List().Get(stranger.Self()); ok {
			t.Error("the stranger is in the register")
		}
	}
}
