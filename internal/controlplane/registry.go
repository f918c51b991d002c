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

// registryController answers clients that ask where to go. It exists only where they
// ask a registry.
type registryController struct {
	*environment
	directory *registry.Directory
	table     atomic.Pointer[config.Table] // the directory reads it from its own goroutines
	tables    config.Builder               // owned by the pump's goroutine
}

func newRegistryController(env *environment) *registryController {
	c := &registryController{environment: env}
	c.directory = registry.NewDirectory(answerTTL(env.settings.Bounds), func(host string) []string {
		if t := c.table.Load(); t != nil {
			return t.Residency(host)
		}
		return nil
	})
	// While an owner is replaced, which takes less than contactS, its answers go on: they
	// rest on what nodes say of themselves. So do those of a control node that has just started.
	// The control nodes of a side that was cut off end.
	c.directory.InContact = func() bool { return c.recentlyInContact(c.now()) }
	return c
}

// answerTTL is for how long a client may rely on an answer. A gateway that leaves is missing from
// the answers for longer than that before it stops taking connections.
func answerTTL(b settings.Bounds) (life time.Duration) {
	life = settings.Seconds(b.GraceS * 0.4)
	if b.TTLMaxS > 0 {
		life = min(life, settings.Seconds(b.TTLMaxS))
	}
	return life
}

// setNodes takes over the list of nodes. Any goroutine may call it.
func (c *registryController) setNodes(l *membership.List) {
	c.directory.SetGateways(listedGateways(c.settings, l))
}

// setConfiguration takes over what of the configuration concerns clients.
func (c *registryController) setConfiguration(records map[string]config.Record) {
	c.table.Store(c.tables.Build(records))
}

// listedGateways lists the gateways that clients may be sent to.
func listedGateways(cfg *settings.Settings, l *membership.List) (out []registry.Gateway) {
	for _, n := range l.Nodes {
		if n.Plane != membership.Data || n.State > membership.Suspect || n.Front == 0 {
			continue
		}
		host, _, err := net.SplitHostPort(n.Address)
		if err != nil {
			continue
		}
		out = append(out, registry.Gateway{Address: net.JoinHostPort(host, strconv.Itoa(int(n.Front))), Zone: n.Zone,
			Region: cfg.RegionOf(n.Zone), Open: n.State == membership.Alive && !n.Draining})
	}
	return out
}
