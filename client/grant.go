package client

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"time"
)

// Grant is a lock granted for a limited time by one acquire or renewal. It is not renewed
// automatically: it is for programs that manage renewals themselves. All others use Acquire.
type Grant struct {
	// Name is the lock's name.
	Name string
	// Owner is the name of the lock's holder.
	Owner string
	// Token is the fencing token: higher than that of every earlier holder.
	Token uint64
	// Hold is how long the grant lasts (the hold time).
	Hold time.Duration
	// Until is when the grant expires by the monotonic clock of this process: Hold after the
	// successful request was sent. Zero means unknown.
	Until time.Time
}

func (g *Grant) expired() bool { return !g.Until.IsZero() && !time.Now().Before(g.Until) }

type acquireRequest struct {
	Owner string  `json:"owner"`
	HoldS float64 `json:"holdS"`
}

type acquireResponse struct {
	Token uint64 `json:"fence"`
}

type renewRequest struct {
	Owner string  `json:"owner"`
	Token uint64  `json:"fence"`
	HoldS float64 `json:"holdS"`
}

type releaseRequest struct {
	Owner string `json:"owner"`
	Token uint64 `json:"fence"`
}

// RequestGrant tries once to acquire a lock; it returns ErrHeld if another owner holds it. An
// owner that already holds the lock gets the same token and the full hold time again. If owner
// is empty, the client generates a name.
//
// If the call fails with ErrUnclear, the lock may be held under the owner's name for the hold
// time. With a generated owner name, the lock is released if a successful response arrives
// after the context has ended.
func (c *Client) RequestGrant(ctx context.Context, name, owner string, hold time.Duration) (Grant, error) {
	return c.requestUnexpired(ctx, c.newGrantRequest(name, owner, hold))
}

// grantRequest describes the grant to acquire: the lock's name, owner and hold time.
type grantRequest struct {
	Grant
	ownerGenerated bool
}

func (c *Client) newGrantRequest(name, owner string, hold time.Duration) grantRequest {
	if owner == "" {
		return grantRequest{Grant{Name: name, Owner: c.newOwner(), Hold: hold}, true}
	}
	return grantRequest{Grant{Name: name, Owner: owner, Hold: hold}, false}
}

// requestUnexpired requests a grant and repeats the request, with the same owner, if the
// response arrives after the grant has already expired.
func (c *Client) requestUnexpired(ctx context.Context, requested grantRequest) (Grant, error) {
	if requested.Hold <= 0 {
		return Grant{}, fmt.Errorf("lock %s: the hold time must be greater than 0", requested.Name)
	}
	for {
		grant, err := c.requestGrant(ctx, requested)
		if err != nil || !grant.expired() {
			return grant, err
		}
	}
}

// requestGrant requests a grant, with retries. A grant that arrives after the context has
// ended is released if the owner name was generated; a name that the caller chose may already
// be in use again.
func (c *Client) requestGrant(ctx context.Context, requested grantRequest) (Grant, error) {
	request := apiRequest{
		method:      http.MethodPost,
		path:        lockPath(requested.Name),
		body:        acquireRequest{Owner: requested.Owner, HoldS: requested.Hold.Seconds()},
		timeout:     responseTimeout,
		retryWindow: unlimitedRetryWindow,
		decodeBody:  decodeInto(new(acquireResponse)),
	}
	if requested.ownerGenerated {
		request.onLateResult = func(result *callResult) { c.returnLateGrant(requested.Grant, result) }
	}
	result, err := c.do(ctx, request)
	if err != nil {
		return Grant{}, err
	}
	return grantFromResult(requested.Grant, result)
}

// grantFromResult completes the requested grant with the result of an acquire request.
func grantFromResult(requested Grant, result *callResult) (Grant, error) {
	switch {
	case result.status == http.StatusConflict:
		return Grant{}, ErrHeld
	case !result.succeeded():
		return Grant{}, newStatusError(result)
	}
	var response acquireResponse
	if err := json.Unmarshal(result.body, &response); err != nil {
		return Grant{}, err
	}
	requested.Token = response.Token
	requested.Until = result.sentAt.Add(requested.Hold)
	return requested, nil
}

// returnLateGrant releases a grant that arrived after the context had ended.
func (c *Client) returnLateGrant(requested Grant, result *callResult) {
	grant, err := grantFromResult(requested, result)
	if err != nil {
		return
	}
	ctx, cancel := context.WithDeadline(context.Background(), grant.Until)
	defer cancel()
	_ = c.ReturnGrant(ctx, grant) // on failure it expires by itself
}

// RenewGrant renews a grant for its full hold time. ErrLeaseLost means that the control nodes
// no longer regard the owner as the holder, ErrLeaseExpired that the grant expired before the
// response arrived.
func (c *Client) RenewGrant(ctx context.Context, grant Grant) (Grant, error) {
	return c.renewGrant(ctx, grant, responseTimeout)
}

func (c *Client) renewGrant(ctx context.Context, grant Grant, timeout time.Duration) (Grant, error) {
	result, err := c.do(ctx, apiRequest{
		method:      http.MethodPut,
		path:        lockPath(grant.Name),
		body:        renewRequest{Owner: grant.Owner, Token: grant.Token, HoldS: grant.Hold.Seconds()},
		timeout:     timeout,
		retryWindow: unlimitedRetryWindow,
	})
	switch {
	case err != nil:
		return grant, err
	case result.status == http.StatusConflict:
		return grant, ErrLeaseLost
	case !result.succeeded():
		return grant, newStatusError(result)
	case grant.expired():
		return grant, ErrLeaseExpired
	}
	grant.Until = result.sentAt.Add(grant.Hold)
	return grant, nil
}

// ReturnGrant releases the lock. It also succeeds if the owner no longer holds it.
//
// If it fails, a node may still receive the request later. The same owner name must then not
// be used for this lock again until the grant has expired.
func (c *Client) ReturnGrant(ctx context.Context, grant Grant) error {
	result, err := c.do(ctx, apiRequest{
		method:      http.MethodDelete,
		path:        lockPath(grant.Name),
		body:        releaseRequest{Owner: grant.Owner, Token: grant.Token},
		timeout:     responseTimeout,
		retryWindow: unlimitedRetryWindow,
	})
	switch {
	case err != nil:
		return err
	case !result.succeeded():
		return newStatusError(result)
	}
	return nil
}

func lockPath(name string) string { return "/v1/locks/" + url.PathEscape(name) }
