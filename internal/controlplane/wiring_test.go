package controlplane

import (
	"testing"

	"madderwing/internal/settings"
)

// A control node has what its deployment asks for. In particular, answers that take keys away are
// held where the use of such keys is bounded, also where there is no registry.
func TestControlNodeComponents(t *testing.T) {
	bounded := settings.Bounds{ContactS: 3, AckS: 5, RevokeS: 5, RevocationGlobal: true}
	withQuotas := settings.Bounds{ContactS: 3, AckS: 5, QuotaWindowS: 5}
	for name, c := range map[string]struct {
		ingress                       string
		bounds                        settings.Bounds
		registry, revocations, quotas bool
	}{
		"keys, no registry":   {"vip", bounded, false, true, false},
		"a registry, no keys": {"registry", settings.Bounds{ContactS: 3, AckS: 5}, true, false, false},
		"quotas, no registry": {"vip", withQuotas, false, false, true},
	} {
		set := &settings.Settings{Node: "n", IP: "127.0.0.1", Zone: "z", InternalPorts: []int{-1, 0}, Ingress: c.ingress, Bounds: c.bounds}
		n, err := newNode(set, Options{Shards: 1}, nil)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(n.endpoint.Close)
		if (n.registry != nil) != c.registry || (n.orders.revocations != nil) != c.revocations || (n.quotas != nil) != c.quotas {
			t.Errorf("%s: registry %v, revocations %v, quotas %v", name, n.registry != nil, n.orders.revocations != nil, n.quotas != nil)
		}
	}
}
