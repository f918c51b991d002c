package controlplane

import (
	"net"
	"strconv"
	"sync/atomic"
	"time"

	"madderwing/internal/config"
	"madderwing/internal/membership"
	"madderwing/internal/registry"
	"madderwing/internal/settings"
)

// registryController answers clients that ask which gateways to connect to. It exists only where
// the settings configure a registry.
type registryController struct {
	*environment
	directory *registry.Directory
	table     atomic.Pointer[config.Table] // read by the directory on the goroutines of requests
	tables    config.Builder               // owned by the event loop
}

func newRegistryController(env *environment) *registryController {
	c := &registryController{environment: env}
	c.directory = registry.NewDirectory(answerTTL(env.settings.Bounds), func(host string) []string {
		if t := c.table.Load(); t != nil {
			return t.Residency(host)
		}
		return nil
	})
	// The answers depend on what gateways report about themselves, so a control node keeps answering
	// while an owner is being replaced, which takes less than contactS, and for contactS after its
	// start. A control node that is cut off from the majority for longer stops answering.
	c.directory.InContact = func() bool { return c.recentlyInContact(c.now()) }
	return c
}

// answerTTL is how long a client may use an answer. A gateway that shuts down is absent from the
// answers for longer than that before it stops accepting connections.
func answerTTL(bounds settings.Bounds) (ttl time.Duration) {
	ttl = settings.Seconds(bounds.GraceS * 0.4)
	if bounds.TTLMaxS > 0 {
		ttl = min(ttl, settings.Seconds(bounds.TTLMaxS))
	}
	return ttl
}

// setNodes updates the gateways from the list of nodes. It is safe for concurrent use.
func (c *registryController) setNodes(nodes *membership.List) {
	c.directory.SetGateways(listedGateways(c.settings, nodes))
}

// setConfiguration rebuilds the configuration table from the published records.
func (c *registryController) setConfiguration(records map[string]config.Record) {
	c.table.Store(c.tables.Build(records))
}

// listedGateways lists the gateways that clients may be sent to.
func listedGateways(cfg *settings.Settings, nodes *membership.List) (out []registry.Gateway) {
	for _, n := range nodes.Nodes {
		if n.Plane != membership.Data || n.State > membership.Suspect || n.ClientPort == 0 {
			continue
		}
		host, _, err := net.SplitHostPort(n.Address)
		if err != nil {
			continue
		}
		out = append(out, registry.Gateway{Address: net.JoinHostPort(host, strconv.Itoa(int(n.ClientPort))), Zone: n.Zone,
			Region: cfg.RegionOf(n.Zone), Available: n.State == membership.Alive && !n.Draining})
	}
	return out
}
