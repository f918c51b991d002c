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

func newMesh(t *testing.T) *transport.Endpoint {
	t.Helper()
	m, err := transport.New("127.0.0.1:0", 5*time.Second, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(m.Close)
	return m
}

// An answer lets in only the request whose draw it answers: not one of the same number of
// a former life, and not one drawn at another control node.
func TestADrawIsAnsweredByTheControlNodeAsked(t *testing.T) {
	var asked []uint64
	for life := range 3 {
		branch := newMesh(t)
		d := &Gateway{endpoint: newMesh(t), tokenRequests: newTokenRequests()}
		d.tokenRequests.controlNodes = [2]string{branch.Self()}
		branch.Handle(delivery.AcquireKind, func(from string, body []byte) (any, error) {
			var q quota.AcquireRequest
			if err := cbor.Unmarshal(body, &q); err != nil {
				t.Error(err)
			}
			for _, seq := range asked { // late, to a life before
				d.handleAcquireReply(branch.Self(), quota.AcquireReply{Seq: seq, OK: true})
			}
			asked = append(asked, q.Seq)
			d.handleAcquireReply("another:1", quota.AcquireReply{Seq: q.Seq, OK: true})
			d.handleAcquireReply(branch.Self(), quota.AcquireReply{Seq: q.Seq})
			d.handleAcquireReply(branch.Self(), quota.AcquireReply{Seq: q.Seq, OK: true}) // twice
			return nil, nil
		})
		d.endpoint.Start()
		branch.Start()
		for range 3 {
			if _, kind := d.acquireToken(t.Context(), "t", 10*time.Second); kind != apierror.OverQuota {
				t.Errorf("life %d: %v, not refused", life, apierror.AnswerFor(kind))
			}
		}
	}
}

// Where the use of keys that were taken away is bounded, a gateway uses keys only as long as that has
// been confirmed to it, whether or not there is a registry: one that is cut off, so that it does not
// hear of a removal, stops before revokeS after the answer to the removal, which is held for that long.
func TestAGatewayThatIsCutOffStopsUsingKeys(t *testing.T) {
	for _, ingress := range []string{"vip", "registry"} {
		synctest.Test(t, func(t *testing.T) {
			set := &settings.Settings{Ingress: ingress, Bounds: settings.Bounds{ContactS: 5, AckS: 6, RevokeS: 5, RevocationGlobal: true}}
			dispatcher := proxy.NewDispatcher(upstream.NewBalancer(upstream.Config{}), time.Second, time.Second)
			d := &Gateway{settings: set, startedAt: time.Now(), clockOffset: newClockOffset(), handler: proxy.NewHandler(dispatcher, nil)}
			d.setUpTenants()
			if d.handler.Confirmed() {
				t.Errorf("%s: keys are relied on that nobody has confirmed", ingress)
			}
			time.Sleep(time.Second)
			confirmed := time.Since(d.startedAt)
			d.extendKeyLease(confirmed, delivery.Issue{Sure: &delivery.Sure{Asked: d.clockOffset + confirmed}})
			if !d.handler.Confirmed() {
				t.Errorf("%s: keys are not relied on", ingress)
			}
			// A key that is taken away right after that; the answer to it is held.
			acknowledged := set.HoldRevocation()
			time.Sleep(acknowledged + settings.Seconds(set.Bounds.RevokeS))
			if d.handler.Confirmed() {
				t.Errorf("%s: keys are relied on for longer than they may be", ingress)
			}
		})
	}
}

// A token that nobody uses goes back to the control node that gave it, with the life that gave it.
// A draw whose client leaves is not waited for.
func TestTokensGoBackToTheirBranch(t *testing.T) {
	branch := newMesh(t)
	returns := make(chan quota.Return, 1)
	branch.Handle(delivery.ReturnKind, func(_ string, body []byte) (any, error) {
		var r quota.Return
		err := cbor.Unmarshal(body, &r)
		returns <- r
		return nil, err
	})
	d := &Gateway{endpoint: newMesh(t), tokenRequests: newTokenRequests()}
	d.tokenRequests.controlNodes = [2]string{branch.Self()}
	gone, leave := context.WithCancel(t.Context())
	answers := true
	branch.Handle(delivery.AcquireKind, func(_ string, body []byte) (any, error) {
		var q quota.AcquireRequest
		err := cbor.Unmarshal(body, &q)
		if answers {
			d.handleAcquireReply(branch.Self(), quota.AcquireReply{Seq: q.Seq, OK: true, Life: 7})
		} else {
			leave()
		}
		return nil, err
	})
	d.endpoint.Start()
	branch.Start()
	giveBack, kind := d.acquireToken(t.Context(), "t", 10*time.Second)
	if kind != apierror.Internal {
		t.Fatal(apierror.AnswerFor(kind))
	}
	giveBack()
	if r := <-returns; r != (quota.Return{Tenant: "t", Life: 7}) {
		t.Errorf("%+v", r)
	}
	answers = false
	if _, kind := d.acquireToken(gone, "t", time.Hour); kind != apierror.ClientGone || len(d.tokenRequests.pending) != 0 {
		t.Errorf("%v, %d draws are waited for", apierror.AnswerFor(kind), len(d.tokenRequests.pending))
	}
}

// A lease on keys comes only of a question of this life that has been asked.
func TestALeaseComesOfThisLifesQuestions(t *testing.T) {
	set := &settings.Settings{Bounds: settings.Bounds{RevokeS: 10}}
	const now = 2 * time.Second
	for _, c := range []struct {
		name  string
		asked func(d, former *Gateway) time.Duration
		takes bool
	}{
		{"a second ago", func(d, _ *Gateway) time.Duration { return d.clockOffset + now - time.Second }, true},
		{"late in a former life", func(_, f *Gateway) time.Duration { return f.clockOffset + time.Hour }, false},
		{"early in a former life", func(_, f *Gateway) time.Duration { return f.clockOffset + time.Second }, false},
		{"by the bare clock of a former life", func(*Gateway, *Gateway) time.Duration { return time.Second }, false},
		{"not yet", func(d, _ *Gateway) time.Duration { return d.clockOffset + now + time.Second }, false},
	} {
		d, former := &Gateway{settings: set, clockOffset: newClockOffset()}, &Gateway{settings: set, clockOffset: newClockOffset()}
		d.extendKeyLease(now, delivery.Issue{Sure: &delivery.Sure{Asked: c.asked(d, former)}})
		want := int64(0)
		if c.takes {
			want = int64(now - time.Second + set.KeyLease())
		}
		if got := d.keyLeaseUntil.Load(); got != want {
			t.Errorf("%s: the lease lasts until %v, not %v", c.name, time.Duration(got), time.Duration(want))
		}
	}
}
