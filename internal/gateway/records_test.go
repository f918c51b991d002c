package gateway

import (
	"log/slog"
	"testing"
	"time"

	"madderwing/internal/antientropy"
	"madderwing/internal/delivery"
	"madderwing/internal/proxy"
	"madderwing/internal/rollout"
	"madderwing/internal/settings"
	"madderwing/internal/upstream"
)

// newTestGateway returns a gateway that applies records and serves nobody.
func newTestGateway(t *testing.T) *Gateway {
	dispatcher := proxy.NewDispatcher(upstream.NewBalancer(upstream.Config{}), time.Second, time.Second)
	go dispatcher.Run()
	arms := rollout.NewSplitter("self", time.Second, func() time.Duration { return 0 })
	g := &Gateway{settings: &settings.Settings{Bounds: settings.Bounds{ContactS: 0.6}}, log: slog.New(slog.DiscardHandler), commands: make(chan func(time.Duration), 8),
		startedAt: time.Now(), endpoint: newEndpoint(t), dispatcher: dispatcher, arms: arms, handler: proxy.NewHandler(dispatcher, arms),
		initialSync: delivery.NewInitialSync(time.Second)}
	g.readiness = newReadiness(g.handler.KeysConfirmed)
	listener, err := proxy.NewListener("127.0.0.1:0", 8, g.handler, g.log)
	if err != nil {
		t.Fatal(err)
	}
	g.listener = listener
	return g
}

// evacuation returns an update with the evacuation of a zone, which shows when the records are in force.
func evacuation(zone string, more bool) delivery.Update {
	horizon := uint64(0)
	return delivery.Update{Horizon: &horizon, More: more, Records: []antientropy.Record{{Name: "evacuation/" + zone, Gen: 1, Data: []byte{1}}}}
}

// Guards against a gateway that serves with a part of the records of a control node: the first ones are in force
// once the copy is whole, later ones once all have arrived or a heartbeat interval has passed.
func TestPartsComeIntoForceTogether(t *testing.T) {
	g := newTestGateway(t)
	expect := func(when string, zones int) {
		t.Helper()
		if len(g.evacuations) != zones {
			t.Fatalf("%s: %d evacuations are in force, want %d", when, len(g.evacuations), zones)
		}
	}
	first, whole := evacuation("a", true), antientropy.NewSet()
	whole.Put(first.Records[0])
	last := evacuation("b", false)
	whole.Put(last.Records[0])
	first.Sums, last.Sums = &whole.Sums, &whole.Sums
	g.applyRecords(0, "node:1", first)
	expect("after the first part", 0)
	g.applyRecords(0, "node:1", last)
	expect("with a whole copy", 2)

	g.applyRecords(0, "node:1", evacuation("c", true))
	g.applyRecords(0, "node:2", evacuation("d", false))
	expect("after a part of later records", 2)
	g.applyRecords(0, "node:1", evacuation("e", false))
	expect("with all later records", 5)

	g.applyRecords(0, "node:1", evacuation("f", true))
	begun := time.Now()
	(<-g.commands)(0)
	expect("after a heartbeat interval", 6)
	if waited := time.Since(begun); waited < g.settings.HeartbeatInterval()/2 {
		t.Errorf("a part came into force after %v", waited)
	}
	g.applyRecords(0, "node:2", evacuation("g", false))
	expect("with the records of another control node", 7)
}
