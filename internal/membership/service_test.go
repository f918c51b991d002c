package membership

import (
	"log/slog"
	"testing"
	"time"

	"madderwing/internal/transport"
)

// A node whose only seed is not a member learns of a control node from that seed, and joins through it.
func TestJoinThroughNonMember(t *testing.T) {
	newEndpoint := func() *transport.Endpoint {
		endpoint, err := transport.New("127.0.0.1:0", 5*time.Second, slog.New(slog.DiscardHandler))
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(endpoint.Close)
		return endpoint
	}
	startNode := func(plane Plane, seeds ...string) (*Service, *transport.Endpoint) {
		endpoint := newEndpoint()
		service := NewService(Config{Self: Node{Address: endpoint.Address(), Plane: plane}, Seeds: seeds, ProbeInterval: 50 * time.Millisecond, DeadRetention: time.Minute}, endpoint, nil)
		endpoint.Start()
		go service.Run()
		t.Cleanup(service.Stop)
		return service, endpoint
	}
	controlNode, controlEndpoint := startNode(Control)
	introducer := newEndpoint()
	Introduce(introducer, func(Node) []Node { return []Node{{Address: controlEndpoint.Address(), Plane: Control}} })
	introducer.Start()
	gateway, gatewayEndpoint := startNode(Data, introducer.Address())
	for i := 0; ; i++ {
		_, gatewayKnowsControl := gateway.List().Get(controlEndpoint.Address())
		_, controlKnowsGateway := controlNode.List().Get(gatewayEndpoint.Address())
		if gatewayKnowsControl && controlKnowsGateway {
			break
		}
		if i > 600 {
			t.Fatalf("the gateway knows %v, the control node %v", gateway.List().Nodes, controlNode.List().Nodes)
		}
		time.Sleep(50 * time.Millisecond)
	}
	for _, service := range []*Service{gateway, controlNode} {
		if _, ok := service.List().Get(introducer.Address()); ok {
			t.Error("the introducer is in the list of nodes")
		}
	}
}
