package proxy

// This file holds the filters for the API keys and quotas of tenants.

import (
	"context"
	"strings"
	"sync/atomic"
	"time"

	"madderwing/internal/apierror"
	"madderwing/internal/quota"
)

// missingFromTable returns the error for a request whose route or key is not in the table: permanent once
// the table has been complete, until then a temporary one.
func (h *Handler) missingFromTable(permanent error) error {
	if h.tableComplete.Load() {
		return permanent
	}
	return apierror.NewRetryAfter(apierror.NoConfiguration, h.startupRetryAfter(), "this node does not know all items yet")
}

// ChargeQuota charges one request to its tenant's quota, within timeout or until ctx ends. refusal is
// the kind of error to respond with, apierror.Internal for none. refund takes the charge back.
type ChargeQuota func(ctx context.Context, tenant string, timeout time.Duration) (refund func(), refusal apierror.Kind)

// SetKeyLease makes the handler trust API keys only until the time in lease, which is in nanoseconds on
// the dispatcher's clock and extended by the caller.
func (h *Handler) SetKeyLease(lease *atomic.Int64) { h.keysValidUntil = lease }

// SetQuota makes the handler charge requests to the quotas of their tenants with charge.
func (h *Handler) SetQuota(charge ChargeQuota) { h.chargeTenant = charge }

// KeysConfirmed reports whether API keys may be trusted now: they need no lease, or theirs has not expired.
func (h *Handler) KeysConfirmed() bool {
	return h.keysValidUntil == nil || int64(time.Since(h.dispatcher.epoch)) < h.keysValidUntil.Load()
}

// authenticate finds the request's route and tenant. If tenants are configured, every request needs a key,
// except on public routes. While the keys are not confirmed, all requests are refused.
func (h *Handler) authenticate(next HandlerFunc) HandlerFunc {
	return func(x *Exchange) error {
		if !x.table.HasItems {
			return apierror.NewRetryAfter(apierror.NoConfiguration, h.startupRetryAfter(), "this node knows no items yet")
		}
		path, _, _ := strings.Cut(x.requestTarget(), "?")
		x.route = x.table.Lookup(x.r.Host, path)
		if x.table.RequiresAPIKey || h.keysValidUntil != nil {
			if !h.KeysConfirmed() {
				return apierror.NewRetryAfter(apierror.KeysUnconfirmed, h.dispatcher.peerTimeout, "out of touch")
			}
			x.tenant = x.table.TenantByKey[quota.APIKey(x.r.Header)]
			if x.tenant == nil && x.table.RequiresAPIKey && (x.route == nil || !x.route.Public) {
				return h.missingFromTable(apierror.New(apierror.UnknownKey, "a tenant's key is needed"))
			}
		}
		if x.route == nil {
			return h.missingFromTable(apierror.New(apierror.UnknownRoute, "%s%s", x.r.Host, x.r.URL.Path))
		}
		return next(x)
	}
}

// chargeQuota charges the request to its tenant's quota, and refunds it if the request was not sent to
// any upstream.
func (h *Handler) chargeQuota(next HandlerFunc) HandlerFunc {
	return func(x *Exchange) error {
		if x.tenant == nil || x.tenant.RatePerS <= 0 || h.chargeTenant == nil {
			return next(x)
		}
		x.stage = stageQuota
		refund, refusal := h.chargeTenant(x.r.Context(), x.tenant.Name, x.latencyTarget/4)
		if refusal != apierror.Internal {
			return h.retryLater(x, refusal)
		}
		defer func() {
			if !x.sent {
				refund()
			}
		}()
		return next(x)
	}
}
