package controlplane

import (
	"testing"

	"madderwing/internal/settings"
)

// A control node has the components that its settings need. In particular, answers to changes that
// revoke API keys are held where revokeS bounds the use of such keys, also without a registry.
func TestControlNodeComponents(t *testing.T) {
	bounded := settings.Bounds{ContactS: 3, AckS: 5, RevokeS: 5, RevocationGlobal: true}
	withQuotas := settings.Bounds{ContactS: 3, AckS: 5, QuotaWindowS: 5}
	for name, test := range map[string]struct {
		ingress                       string
		bounds                        settings.Bounds
		registry, revocations, quotas bool
	}{
		"keys, no registry":   {"vip", bounded, false, true, false},
		"a registry, no keys": {"registry", settings.Bounds{ContactS: 3, AckS: 5}, true, false, false},
		"quotas, no registry": {"vip", withQuotas, false, false, true},
	} {
		set := &settings.Settings{Node: "n", IP: "127.0.0.1", Zone: "z", InternalPorts: []int{-1, 0}, Ingress: test.ingress, Bounds: test.bounds}
		node, err := newNode(set, Options{Shards: 1}, nil)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(node.endpoint.Close)
		if (node.registry != nil) != test.registry || (node.orders.revocations != nil) != test.revocations || (node.quotas != nil) != test.quotas {
			t.Errorf("%s: registry %v, revocations %v, quotas %v", name, node.registry != nil, node.orders.revocations != nil, node.quotas != nil)
		}
	}
}
