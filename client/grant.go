package client

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"time"
)

// Grant is one span of holding a lock, as one acquire or renewal gave it. Nothing renews it:
// it is for programs that keep the time themselves. All others use Acquire.
type Grant struct {
	// Name is the lock's name.
	Name string
	// Owner is who holds it.
	Owner string
	// Token is the fencing token: higher than that of each holder before.
	Token uint64
	// Hold is how long the grant lasts.
	Hold time.Duration
	// Until is when the grant ends by this process's steady clock: Hold after the call that
	// gave it was sent. Zero means that it isn't known.
	Until time.Time
}

// expired says that the grant's time has run out.
func (g *Grant) expired() bool { return !g.Until.IsZero() && !time.Now().Before(g.Until) }

type acquireRequest struct {
	Owner string  `json:"owner"`
	HoldS float64 `json:"holdS"`
}

type acquireResponse struct {
	Fence uint64 `json:"fence"`
}

type renewRequest struct {
	Owner string  `json:"owner"`
	Fence uint64  `json:"fence"`
	HoldS float64 `json:"holdS"`
}

type releaseRequest struct {
	Owner string `json:"owner"`
	Fence uint64 `json:"fence"`
}

// RequestGrant asks once for a lock; ErrHeld says that another owner has it. An owner that
// holds it already gets its token again, and the whole time. Where owner is empty, a name is
// made up.
//
// If the call is given up without a clear answer, the lock may stand at the owner's name for
// the hold time. For an owner that was made up it is given back if the answer still comes.
func (c *Client) RequestGrant(ctx context.Context, name, owner string, hold time.Duration) (Grant, error) {
	return c.requestUnexpired(ctx, c.newGrantRequest(name, owner, hold))
}

// grantRequest is a grant that is asked for.
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

// requestUnexpired asks until an answer comes in time. One that comes after the grant's end is
// worth nothing, and the same owner asks again.
func (c *Client) requestUnexpired(ctx context.Context, requested grantRequest) (Grant, error) {
	if requested.Hold <= 0 {
		return Grant{}, fmt.Errorf("lock %s: the hold time must be above 0", requested.Name)
	}
	for {
		grant, err := c.requestGrant(ctx, requested)
		if err != nil || !grant.expired() {
			return grant, err
		}
	}
}

// requestGrant asks until there is an answer. One that comes after the caller has gone is
// given back if the owner's name was made up: one that the caller chose may be in use again.
func (c *Client) requestGrant(ctx context.Context, requested grantRequest) (Grant, error) {
	request := apiRequest{
		method:      http.MethodPost,
		path:        lockPath(requested.Name),
		body:        acquireRequest{Owner: requested.Owner, HoldS: requested.Hold.Seconds()},
		timeout:     responseTimeout,
		retryWindow: unlimitedRetries,
		accept:      decodeInto(new(acquireResponse)),
	}
	if requested.ownerGenerated {
		request.onLateResult = func(result *callResult) { c.returnLateGrant(requested.Grant, result) }
	}
	reply, err := c.do(ctx, request)
	if err != nil {
		return Grant{}, err
	}
	return grantFromResult(requested.Grant, reply)
}

// grantFromResult reads the answer to an acquire.
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
	requested.Token = response.Fence
	requested.Until = result.sentAt.Add(requested.Hold)
	return requested, nil
}

// returnLateGrant gives back what was granted after the caller had gone.
func (c *Client) returnLateGrant(requested Grant, result *callResult) {
	grant, err := grantFromResult(requested, result)
	if err != nil {
		return
	}
	ctx, cancel := context.WithDeadline(context.Background(), grant.Until)
	defer cancel()
	_ = c.ReturnGrant(ctx, grant) // else it ends by itself
}

// RenewGrant asks for the whole hold time once more. ErrLeaseLost says that the system
// doesn't count the owner as holder, ErrLeaseExpired that the grant's end had come before
// the answer.
func (c *Client) RenewGrant(ctx context.Context, grant Grant) (Grant, error) {
	return c.renewGrant(ctx, grant, responseTimeout)
}

func (c *Client) renewGrant(ctx context.Context, grant Grant, timeout time.Duration) (Grant, error) {
	result, err := c.do(ctx, apiRequest{
		method:      http.MethodPut,
		path:        lockPath(grant.Name),
		body:        renewRequest{Owner: grant.Owner, Fence: grant.Token, HoldS: grant.Hold.Seconds()},
		timeout:     timeout,
		retryWindow: unlimitedRetries,
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

// ReturnGrant gives the lock back. It succeeds too if the owner doesn't hold it any more.
//
// If it fails, the call may still arrive later. The same owner name must then not be used
// for this lock again until the grant's end.
func (c *Client) ReturnGrant(ctx context.Context, grant Grant) error {
	result, err := c.do(ctx, apiRequest{
		method:      http.MethodDelete,
		path:        lockPath(grant.Name),
		body:        releaseRequest{Owner: grant.Owner, Fence: grant.Token},
		timeout:     responseTimeout,
		retryWindow: unlimitedRetries,
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
