package proxy

// This file holds the filters for tenants' keys and quotas.

import (
	"strings"
	"sync/atomic"
	"time"

	"madderwing/internal/apierror"
	"madderwing/internal/quota"
)

// Tenants makes the handler rely on keys only until the time, in nanoseconds on the
// dispatcher's clock, that lease holds, and draw requests on their tenants' quotas.
// What draw returns is the error to answer with, apierror.Internal for none.
func (f *Handler) Tenants(lease *atomic.Int64, draw func(tenant string, limit time.Duration) apierror.Kind) {
	f.lease, f.draw = lease, draw
}

// Confirmed says whether keys may be relied on now.
func (f *Handler) Confirmed() bool {
	return f.lease == nil || int64(time.Since(f.dispatcher.start)) < f.lease.Load()
}

// reader finds out who asks. Where there are tenants every request needs a key,
// but on public routes; it is answered for only while the keys are confirmed.
func (f *Handler) reader(next HandlerFunc) HandlerFunc {
	return func(x *Exchange) error {
		if !x.table.Known {
			return apierror.Later(apierror.NoConfiguration, f.soon(), "this node knows no items yet")
		}
		path, _, _ := strings.Cut(x.target(), "?")
		x.route = x.table.Lookup(x.r.Host, path)
		if x.table.Tenants || f.lease != nil {
			if !f.Confirmed() {
				return apierror.Later(apierror.KeysUnconfirmed, f.dispatcher.patience, "out of touch")
			}
			x.tenant = x.table.Readers[quota.Key(x.r.Header)]
			if x.tenant == nil && x.table.Tenants && (x.route == nil || !x.route.Public) {
				return apierror.New(apierror.UnknownKey, "a tenant's key is needed")
			}
		}
		return next(x)
	}
}

// quota draws the request on its tenant's quota.
func (f *Handler) quota(next HandlerFunc) HandlerFunc {
	return func(x *Exchange) error {
		if x.tenant != nil && x.tenant.RatePerS > 0 && f.draw != nil {
			if kind := f.draw(x.tenant.Name, x.aim/4); kind != apierror.Internal {
				return f.later(x, kind)
			}
		}
		return next(x)
	}
}
