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

// withTenants gives a rig tenants, a public route and one that may be served in
// the region "far" only.
func withTenants(t *testing.T, r *rig) {
	t.Helper()
	body := `{"upsert":{"tenants":[{"name":"one","apiKeys":["k1"],"priority":0,"ratePerS":5,"generation":1},{"name":"two","apiKeys":["k2"],"generation":1}],
	 "services":[{"name":"a","generation":1,"maxConns":50}],
	 "domains":[{"authority":"h.example","hostRoutes":[
	 {"name":"g","pathPrefix":"/get/","routeKind":"idempotent","deadlineS":5,"targetLatencyS":4,"target":"a","maxTries":2,"generation":1},
	 {"name":"o","pathPrefix":"/open/","public":true,"routeKind":"idempotent","deadlineS":5,"targetLatencyS":4,"target":"a","maxTries":2,"generation":1},
	 {"name":"f","pathPrefix":"/far/","residency":["far"],"routeKind":"idempotent","deadlineS":5,"targetLatencyS":4,"target":"a","maxTries":2,"generation":1}]}]}}`
	r.handler.SetTable(tableOf(t, body))
}

func TestKeysAndTenants(t *testing.T) {
	up := newUpstream(t, "u", func(c net.Conn, r *http.Request, _ int) bool {
		_, _ = c.Write([]byte(ok(r, "x")))
		return true
	})
	r := newRig(t, up)
	withTenants(t, r)
	var lease atomic.Int64
	drawn := apierror.Internal
	asked, returned := "", 0
	r.handler.LeaseKeys(&lease)
	r.handler.DrawOn(func(_ context.Context, tenant string, _ time.Duration) (func(), apierror.Kind) {
		asked = tenant
		return func() { returned++ }, drawn
	})
	for _, c := range []struct {
		name, path, headers string
		leased              bool
		draw                apierror.Kind
		status              int
		tenant              string
	}{
		{"a good key", "/get/", "Authorization: Bearer k1\r\n", true, apierror.Internal, 200, "one"},
		{"a tenant that the client names", "/get/", "Authorization: Bearer k2\r\nTenant: one\r\n", true, apierror.Internal, 200, "two"},
		{"no key", "/get/", "", true, apierror.Internal, 401, ""},
		{"an unknown key", "/get/", "Authorization: Bearer k9\r\n", true, apierror.Internal, 401, ""},
		{"an unknown key and no route", "/none/", "Authorization: Bearer k9\r\n", true, apierror.Internal, 401, ""},
		{"a good key and no route", "/none/", "Authorization: Bearer k1\r\n", true, apierror.Internal, 404, ""},
		{"a public route", "/open/", "Tenant: one\r\n", true, apierror.Internal, 200, ""},
		{"a key on a public route", "/open/", "Authorization: Bearer k1\r\n", true, apierror.Internal, 200, "one"},
		{"over the limit", "/get/", "Authorization: Bearer k1\r\n", true, apierror.OverQuota, 429, ""},
		{"the limit is not known", "/get/", "Authorization: Bearer k1\r\n", true, apierror.QuotaUnknown, 503, ""},
		{"keys that cannot be confirmed", "/get/", "Authorization: Bearer k1\r\n", false, apierror.Internal, 503, ""},
		{"no upstream in its region", "/far/", "Authorization: Bearer k2\r\n", true, apierror.Internal, 503, ""},
	} {
		lease.Store(0)
		if c.leased {
			lease.Store(int64(time.Since(r.dispatcher.epoch) + time.Hour))
		}
		drawn, asked, returned = c.draw, "", 0
		before := len(up.requests())
		res, _, err := r.say(t, "GET", "GET "+c.path+"x HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: 1\r\nDeadline-Left: 1000\r\n"+c.headers+"Connection: close\r\n\r\n")
		if err != nil || res.StatusCode != c.status {
			t.Errorf("%s: %v %v", c.name, res, err)
			continue
		}
		if (c.status == 429 || c.status == 503) && res.Header.Get("Retry-After") == "" {
			t.Errorf("%s: no Retry-After", c.name)
		}
		if strings.HasPrefix(c.headers, "Authorization: Bearer k2") && asked != "" {
			t.Errorf("%s: a quota is asked for where there is none", c.name)
		}
		sent := up.requests()[before:]
		if returned != 0 {
			t.Errorf("%s: %d tokens go back", c.name, returned)
		}
		if (len(sent) > 0) != (c.status == 200) {
			t.Errorf("%s: %d requests arrived", c.name, len(sent))
		}
		for _, raw := range sent {
			if strings.Contains(raw, "Authorization") || strings.Contains(raw, "k1") || strings.Contains(raw, "k2") {
				t.Errorf("%s: the key is passed on: %s", c.name, raw)
			}
			if n := strings.Count(raw, "Tenant: "); n > 1 || (n == 1) != (c.tenant != "") || c.tenant != "" && !strings.Contains(raw, "Tenant: "+c.tenant+"\r\n") {
				t.Errorf("%s: the tenant is %q in %s", c.name, c.tenant, raw)
			}
		}
	}
}

// A token goes back if its request is not sent to any upstream, for whatever reason, and only then.
func TestTokensOfRequestsThatAreNotSentGoBack(t *testing.T) {
	u := newUpstream(t, "u", steady)
	breaks := newUpstream(t, "b", func(net.Conn, *http.Request, int) bool { return false })
	for name, c := range map[string]struct {
		ups      []*server
		status   int
		returned int64
	}{
		"served":      {[]*server{u}, 200, 0},
		"broken off":  {[]*server{breaks}, 502, 0},
		"no upstream": {nil, 503, 1},
	} {
		r := newRig(t, c.ups...)
		withTenants(t, r)
		var lease, returned atomic.Int64
		lease.Store(int64(time.Hour))
		r.handler.LeaseKeys(&lease)
		r.handler.DrawOn(func(context.Context, string, time.Duration) (func(), apierror.Kind) {
			return func() { returned.Add(1) }, apierror.Internal
		})
		res, _, err := r.say(t, "GET", "GET /get/x HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: one\r\nDeadline-Left: 1000\r\nAuthorization: Bearer k1\r\n\r\n")
		if err != nil || res.StatusCode != c.status || returned.Load() != c.returned {
			t.Errorf("%s: %v %v, %d tokens go back", name, err, res, returned.Load())
		}
	}
}

// The wait for a quota ends when the client leaves.
func TestLeavingWhileTheQuotaIsDrawn(t *testing.T) {
	u := newUpstream(t, "u", steady)
	r := newRig(t, u)
	withTenants(t, r)
	var lease atomic.Int64
	lease.Store(int64(time.Hour))
	r.handler.LeaseKeys(&lease)
	r.handler.DrawOn(func(ctx context.Context, _ string, _ time.Duration) (func(), apierror.Kind) {
		<-ctx.Done()
		return nil, apierror.ClientGone
	})
	client := dialRig(t, r)
	send(t, client, "GET /get/x HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: one\r\nAuthorization: Bearer k1\r\n\r\n")
	until(t, "the request", func() bool { return r.handler.Stats.Requests.Load() == 1 })
	client.Close()
	until(t, "it counted", func() bool { return r.handler.Counters()["goneQuota"] == 1 })
	if n := len(u.requests()); n != 0 {
		t.Errorf("%d requests sent on", n)
	}
}

func TestWithoutTenantsNothingIsAsked(t *testing.T) {
	up := newUpstream(t, "u", func(c net.Conn, r *http.Request, _ int) bool {
		_, _ = c.Write([]byte(ok(r, "x")))
		return true
	})
	r := newRig(t, up)
	res, _, err := r.say(t, "GET", "GET /get/x HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: 1\r\nDeadline-Left: 1000\r\nAuthorization: Bearer z\r\nTenant: q\r\nConnection: close\r\n\r\n")
	if err != nil || res.StatusCode != 200 {
		t.Fatal(res, err)
	}
	if raw := up.requests()[0]; !strings.Contains(raw, "Authorization: Bearer z\r\n") || !strings.Contains(raw, "Tenant: q\r\n") {
		t.Errorf("headers are not passed on: %s", raw)
	}
}
