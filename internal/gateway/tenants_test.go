package gateway

import (
	"context"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fxamacker/cbor/v2"

	"madderwing/internal/apierror"
	"madderwing/internal/delivery"
	"madderwing/internal/proxy"
	"madderwing/internal/quota"
	"madderwing/internal/settings"
	"madderwing/internal/transport"
	"madderwing/internal/upstream"
)

func newEndpoint(t *testing.T) *transport.Endpoint {
	t.Helper()
	endpoint, err := transport.New("127.0.0.1:0", 5*time.Second, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(endpoint.Close)
	return endpoint
}

// A token request is granted only by a reply to that request from the control node that it was sent to,
// not by a late reply to a request of an earlier process.
func TestOnlyTheAskedControlNodeGrantsTokens(t *testing.T) {
	var askedSeqs []uint64
	for restart := range 3 {
		controlNode := newEndpoint(t)
		g := &Gateway{endpoint: newEndpoint(t), tokenRequests: newTokenRequests()}
		g.tokenRequests.controlNodes = [2]string{controlNode.Address()}
		controlNode.Handle(delivery.AcquireKind, func(from string, body []byte) (any, error) {
			var request quota.AcquireRequest
			if err := cbor.Unmarshal(body, &request); err != nil {
				t.Error(err)
			}
			for _, seq := range askedSeqs { // late replies to earlier processes
				g.handleAcquireReply(controlNode.Address(), quota.AcquireReply{Seq: seq, Granted: true})
			}
			askedSeqs = append(askedSeqs, request.Seq)
			g.handleAcquireReply("another:1", quota.AcquireReply{Seq: request.Seq, Granted: true})
			g.handleAcquireReply(controlNode.Address(), quota.AcquireReply{Seq: request.Seq})
			g.handleAcquireReply(controlNode.Address(), quota.AcquireReply{Seq: request.Seq, Granted: true}) // twice
			return nil, nil
		})
		g.endpoint.Start()
		controlNode.Start()
		for range 3 {
			if _, kind := g.acquireToken(t.Context(), "t", 10*time.Second); kind != apierror.OverQuota {
				t.Errorf("restart %d: %v, want over quota", restart, apierror.ResponseFor(kind))
			}
		}
	}
}

// If the use of removed keys is bounded, a gateway uses keys only while they are confirmed, with or
// without a registry. A partitioned gateway, which does not learn of a removal, stops using keys within
// revokeS after the removal was acknowledged. The acknowledgement is delayed for that purpose.
func TestPartitionedGatewayStopsUsingKeys(t *testing.T) {
	for _, ingress := range []string{"vip", "registry"} {
		synctest.Test(t, func(t *testing.T) {
			cfg := &settings.Settings{Ingress: ingress, Bounds: settings.Bounds{ContactS: 5, AckS: 6, RevokeS: 5, RevocationGlobal: true}}
			dispatcher := proxy.NewDispatcher(upstream.NewBalancer(upstream.Config{}), time.Second, time.Second)
			g := &Gateway{settings: cfg, startedAt: time.Now(), clockOffset: newClockOffset(), handler: proxy.NewHandler(dispatcher, nil)}
			g.setUpTenants()
			if g.handler.KeysConfirmed() {
				t.Errorf("%s: unconfirmed keys are used", ingress)
			}
			time.Sleep(time.Second)
			confirmed := time.Since(g.startedAt)
			g.extendKeyLease(confirmed, delivery.Update{Freshness: &delivery.Freshness{AskedAt: g.clockOffset + confirmed}})
			if !g.handler.KeysConfirmed() {
				t.Errorf("%s: confirmed keys are not used", ingress)
			}
			// A key is removed right after that. The acknowledgement is delayed.
			acknowledged := cfg.RevocationAckDelay()
			time.Sleep(acknowledged + settings.Seconds(cfg.Bounds.RevokeS))
			if g.handler.KeysConfirmed() {
				t.Errorf("%s: keys are used for too long after a removal", ingress)
			}
		})
	}
}

// An unused token goes back to the control node that granted it, with that node's run ID. A request whose
// client disconnects is no longer waited for.
func TestUnusedTokensAreReturned(t *testing.T) {
	controlNode := newEndpoint(t)
	returns := make(chan quota.Return, 1)
	controlNode.Handle(delivery.ReturnKind, func(_ string, body []byte) (any, error) {
		var r quota.Return
		err := cbor.Unmarshal(body, &r)
		returns <- r
		return nil, err
	})
	g := &Gateway{endpoint: newEndpoint(t), tokenRequests: newTokenRequests()}
	g.tokenRequests.controlNodes = [2]string{controlNode.Address()}
	ctx, cancel := context.WithCancel(t.Context())
	respond := true
	controlNode.Handle(delivery.AcquireKind, func(_ string, body []byte) (any, error) {
		var request quota.AcquireRequest
		err := cbor.Unmarshal(body, &request)
		if respond {
			g.handleAcquireReply(controlNode.Address(), quota.AcquireReply{Seq: request.Seq, Granted: true, RunID: 7})
		} else {
			cancel()
		}
		return nil, err
	})
	g.endpoint.Start()
	controlNode.Start()
	returnUnused, kind := g.acquireToken(t.Context(), "t", 10*time.Second)
	if kind != apierror.Internal {
		t.Fatal(apierror.ResponseFor(kind))
	}
	returnUnused()
	if r := <-returns; r != (quota.Return{Tenant: "t", RunID: 7}) {
		t.Errorf("returned %+v", r)
	}
	respond = false
	if _, kind := g.acquireToken(ctx, "t", time.Hour); kind != apierror.ClientLeftBeforeSend || len(g.tokenRequests.pending) != 0 {
		t.Errorf("%v, %d requests pending", apierror.ResponseFor(kind), len(g.tokenRequests.pending))
	}
}

// Only a reply to a request that this process has sent extends the lease of the API keys.
func TestKeyLeaseComesOnlyFromOwnRequests(t *testing.T) {
	cfg := &settings.Settings{Bounds: settings.Bounds{RevokeS: 10}}
	const now = 2 * time.Second
	for _, c := range []struct {
		name    string
		asked   func(g, earlier *Gateway) time.Duration
		extends bool
	}{
		{"sent a second ago", func(g, _ *Gateway) time.Duration { return g.clockOffset + now - time.Second }, true},
		{"sent late by an earlier process", func(_, earlier *Gateway) time.Duration { return earlier.clockOffset + time.Hour }, false},
		{"sent early by an earlier process", func(_, earlier *Gateway) time.Duration { return earlier.clockOffset + time.Second }, false},
		{"sent by an earlier process without clock offset", func(*Gateway, *Gateway) time.Duration { return time.Second }, false},
		{"time in the future", func(g, _ *Gateway) time.Duration { return g.clockOffset + now + time.Second }, false},
	} {
		g, earlier := &Gateway{settings: cfg, clockOffset: newClockOffset()}, &Gateway{settings: cfg, clockOffset: newClockOffset()}
		g.extendKeyLease(now, delivery.Update{Freshness: &delivery.Freshness{AskedAt: c.asked(g, earlier)}})
		want := int64(0)
		if c.extends {
			want = int64(now - time.Second + cfg.KeyLeaseDuration())
		}
		if got := g.keyLeaseUntil.Load(); got != want {
			t.Errorf("%s: lease lasts until %v, want %v", c.name, time.Duration(got), time.Duration(want))
		}
	}
}
