package proxy

import (
	"context"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"madderwing/internal/apierror"
)

// setTenantTable configures tenants, a public route, and a route that may be served only in the
// region "far".
func setTenantTable(t *testing.T, h *harness) {
	t.Helper()
	body := `{"upsert":{"tenants":[{"name":"one","apiKeys":["k1"],"priority":0,"ratePerS":5,"generation":1},{"name":"two","apiKeys":["k2"],"generation":1}],
	 "services":[{"name":"a","generation":1,"maxConns":50}],
	 "domains":[{"authority":"h.example","hostRoutes":[
	 {"name":"g","pathPrefix":"/get/","routeKind":"idempotent","deadlineS":5,"targetLatencyS":4,"target":"a","maxTries":2,"generation":1},
	 {"name":"o","pathPrefix":"/open/","public":true,"routeKind":"idempotent","deadlineS":5,"targetLatencyS":4,"target":"a","maxTries":2,"generation":1},
	 {"name":"f","pathPrefix":"/far/","residency":["far"],"routeKind":"idempotent","deadlineS":5,"targetLatencyS":4,"target":"a","maxTries":2,"generation":1}]}]}}`
	h.handler.SetTable(buildTable(t, body))
}

func TestAuthenticationAndQuotas(t *testing.T) {
	u := newFakeUpstream(t, "u", func(c net.Conn, r *http.Request, _ int) bool {
		_, _ = c.Write([]byte(okResponse(r, "x")))
		return true
	})
	h := newHarness(t, u)
	setTenantTable(t, h)
	var keysValidUntil atomic.Int64
	chargeResult := apierror.Internal
	chargedTenant, returned := "", 0
	h.handler.SetKeyLease(&keysValidUntil)
	h.handler.SetQuota(func(_ context.Context, tenant string, _ time.Duration) (func(), apierror.Kind) {
		chargedTenant = tenant
		return func() { returned++ }, chargeResult
	})
	for _, c := range []struct {
		name, path, headers string
		leased              bool
		chargeResult        apierror.Kind
		status              int
		tenant              string
	}{
		{"valid key", "/get/", "Authorization: Bearer k1\r\n", true, apierror.Internal, 200, "one"},
		{"tenant header set by the client", "/get/", "Authorization: Bearer k2\r\nTenant: one\r\n", true, apierror.Internal, 200, "two"},
		{"no key", "/get/", "", true, apierror.Internal, 401, ""},
		{"unknown key", "/get/", "Authorization: Bearer k9\r\n", true, apierror.Internal, 401, ""},
		{"unknown key, no route", "/none/", "Authorization: Bearer k9\r\n", true, apierror.Internal, 401, ""},
		{"valid key, no route", "/none/", "Authorization: Bearer k1\r\n", true, apierror.Internal, 404, ""},
		{"public route", "/open/", "Tenant: one\r\n", true, apierror.Internal, 200, ""},
		{"key on a public route", "/open/", "Authorization: Bearer k1\r\n", true, apierror.Internal, 200, "one"},
		{"over the quota", "/get/", "Authorization: Bearer k1\r\n", true, apierror.OverQuota, 429, ""},
		{"quota unknown", "/get/", "Authorization: Bearer k1\r\n", true, apierror.QuotaUnknown, 503, ""},
		{"unconfirmed keys", "/get/", "Authorization: Bearer k1\r\n", false, apierror.Internal, 503, ""},
		{"no upstream in its region", "/far/", "Authorization: Bearer k2\r\n", true, apierror.Internal, 503, ""},
	} {
		keysValidUntil.Store(0)
		if c.leased {
			keysValidUntil.Store(int64(time.Since(h.dispatcher.epoch) + time.Hour))
		}
		chargeResult, chargedTenant, returned = c.chargeResult, "", 0
		before := len(u.requests())
		res, _, err := h.roundTrip(t, "GET", "GET "+c.path+"x HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: 1\r\nDeadline-Left: 1000\r\n"+c.headers+"Connection: close\r\n\r\n")
		if err != nil || res.StatusCode != c.status {
			t.Errorf("%s: %v %v", c.name, res, err)
			continue
		}
		if (c.status == 429 || c.status == 503) && res.Header.Get("Retry-After") == "" {
			t.Errorf("%s: no Retry-After", c.name)
		}
		if strings.HasPrefix(c.headers, "Authorization: Bearer k2") && chargedTenant != "" {
			t.Errorf("%s: quota charged for a tenant without one", c.name)
		}
		sent := u.requests()[before:]
		if returned != 0 {
			t.Errorf("%s: %d tokens returned", c.name, returned)
		}
		if (len(sent) > 0) != (c.status == 200) {
			t.Errorf("%s: %d requests reached the upstream", c.name, len(sent))
		}
		for _, raw := range sent {
			if strings.Contains(raw, "Authorization") || strings.Contains(raw, "k1") || strings.Contains(raw, "k2") {
				t.Errorf("%s: the key was forwarded: %s", c.name, raw)
			}
			if n := strings.Count(raw, "Tenant: "); n > 1 || (n == 1) != (c.tenant != "") || c.tenant != "" && !strings.Contains(raw, "Tenant: "+c.tenant+"\r\n") {
				t.Errorf("%s: the tenant is %q in %s", c.name, c.tenant, raw)
			}
		}
	}
}

// The token of a quota is returned if and only if its request was not sent to any upstream.
func TestQuotaIsReturnedForUnsentRequests(t *testing.T) {
	u := newFakeUpstream(t, "u", respondOK)
	broken := newFakeUpstream(t, "b", func(net.Conn, *http.Request, int) bool { return false })
	for name, c := range map[string]struct {
		upstreams []*fakeUpstream
		status    int
		returned  int64
	}{
		"served":      {[]*fakeUpstream{u}, 200, 0},
		"closed":      {[]*fakeUpstream{broken}, 502, 0},
		"no upstream": {nil, 503, 1},
	} {
		h := newHarness(t, c.upstreams...)
		setTenantTable(t, h)
		var keysValidUntil, returned atomic.Int64
		keysValidUntil.Store(int64(time.Hour))
		h.handler.SetKeyLease(&keysValidUntil)
		h.handler.SetQuota(func(context.Context, string, time.Duration) (func(), apierror.Kind) {
			return func() { returned.Add(1) }, apierror.Internal
		})
		res, _, err := h.roundTrip(t, "GET", "GET /get/x HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: one\r\nDeadline-Left: 1000\r\nAuthorization: Bearer k1\r\n\r\n")
		if err != nil || res.StatusCode != c.status || returned.Load() != c.returned {
			t.Errorf("%s: %v %v, %d tokens returned", name, err, res, returned.Load())
		}
	}
}

// The wait for the decision on a quota ends when the client disconnects.
func TestDisconnectDuringQuotaRequest(t *testing.T) {
	u := newFakeUpstream(t, "u", respondOK)
	h := newHarness(t, u)
	setTenantTable(t, h)
	var keysValidUntil atomic.Int64
	keysValidUntil.Store(int64(time.Hour))
	h.handler.SetKeyLease(&keysValidUntil)
	h.handler.SetQuota(func(ctx context.Context, _ string, _ time.Duration) (func(), apierror.Kind) {
		<-ctx.Done()
		return nil, apierror.ClientLeftBeforeSend
	})
	client := dialGateway(t, h)
	writeText(t, client, "GET /get/x HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: one\r\nAuthorization: Bearer k1\r\n\r\n")
	waitFor(t, "the request has arrived", func() bool { return h.handler.Stats.Requests.Load() == 1 })
	client.Close()
	waitFor(t, "the disconnect is counted", func() bool { return h.handler.Counters()["goneQuota"] == 1 })
	if n := len(u.requests()); n != 0 {
		t.Errorf("%d requests reached the upstream", n)
	}
}

func TestWithoutTenantsHeadersAreForwarded(t *testing.T) {
	u := newFakeUpstream(t, "u", func(c net.Conn, r *http.Request, _ int) bool {
		_, _ = c.Write([]byte(okResponse(r, "x")))
		return true
	})
	h := newHarness(t, u)
	res, _, err := h.roundTrip(t, "GET", "GET /get/x HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: 1\r\nDeadline-Left: 1000\r\nAuthorization: Bearer z\r\nTenant: q\r\nConnection: close\r\n\r\n")
	if err != nil || res.StatusCode != 200 {
		t.Fatal(res, err)
	}
	if raw := u.requests()[0]; !strings.Contains(raw, "Authorization: Bearer z\r\n") || !strings.Contains(raw, "Tenant: q\r\n") {
		t.Errorf("headers were not forwarded: %s", raw)
	}
}
