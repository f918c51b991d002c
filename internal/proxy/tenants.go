package proxy

// This file holds the filters for tenants' keys and quotas.

import (
	"context"
	"strings"
	"sync/atomic"
	"time"

	"madderwing/internal/apierror"
	"madderwing/internal/quota"
)

// unknown refuses a request for what the table lacks, for good once the table has been complete.
func (f *Handler) unknown(forGood error) error {
	if f.complete.Load() {
		return forGood
	}
	return apierror.Later(apierror.NoConfiguration, f.soon(), "this node does not know all items yet")
}

// DrawQuota draws one request on its tenant's quota, in the time given or until ctx ends. refused
// is the error to answer with, apierror.Internal for none; giveBack returns what was drawn.
type DrawQuota func(ctx context.Context, tenant string, limit time.Duration) (giveBack func(), refused apierror.Kind)

// LeaseKeys makes the handler rely on keys only until the time, in nanoseconds on the
// dispatcher's clock, that lease holds.
func (f *Handler) LeaseKeys(lease *atomic.Int64) { f.lease = lease }

// DrawOn makes the handler draw requests on their tenants' quotas.
func (f *Handler) DrawOn(draw DrawQuota) { f.draw = draw }

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
				return f.unknown(apierror.New(apierror.UnknownKey, "a tenant's key is needed"))
			}
		}
		if x.route == nil {
			return f.unknown(apierror.New(apierror.UnknownRoute, "%s%s", x.r.Host, x.r.URL.Path))
		}
		return next(x)
	}
}

// quota draws the request on its tenant's quota. What was drawn goes back if the request is not
// sent to any upstream.
func (f *Handler) quota(next HandlerFunc) HandlerFunc {
	return func(x *Exchange) error {
		if x.tenant == nil || x.tenant.RatePerS <= 0 || f.draw == nil {
			return next(x)
		}
		x.stage = stageQuota
		giveBack, refused := f.draw(x.r.Context(), x.tenant.Name, x.aim/4)
		if refused != apierror.Internal {
			return f.later(x, refused)
		}
		defer func() {
			if !x.sent {
				giveBack()
			}
		}()
		return next(x)
	}
}
