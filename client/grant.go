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

type acquireAnswer struct {
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
	return c.requestInTime(ctx, c.wanted(name, owner, hold))
}

// wantedGrant is a grant that is asked for.
type wantedGrant struct {
	Grant
	ownerIsMadeUp bool
}

func (c *Client) wanted(name, owner string, hold time.Duration) wantedGrant {
	if owner == "" {
		return wantedGrant{Grant{Name: name, Owner: c.newOwner(), Hold: hold}, true}
	}
	return wantedGrant{Grant{Name: name, Owner: owner, Hold: hold}, false}
}

// requestInTime asks until an answer comes in time. One that comes after the grant's end is
// worth nothing, and the same owner asks again.
func (c *Client) requestInTime(ctx context.Context, wanted wantedGrant) (Grant, error) {
	if wanted.Hold <= 0 {
		return Grant{}, fmt.Errorf("lock %s: the hold time must be above 0", wanted.Name)
	}
	for {
		grant, err := c.requestGrant(ctx, wanted)
		if err != nil || !grant.expired() {
			return grant, err
		}
	}
}

// requestGrant asks until there is an answer. One that comes after the caller has gone is
// given back if the owner's name was made up: one that the caller chose may be in use again.
func (c *Client) requestGrant(ctx context.Context, wanted wantedGrant) (Grant, error) {
	request := call{
		method:       http.MethodPost,
		path:         lockPath(wanted.Name),
		body:         acquireRequest{Owner: wanted.Owner, HoldS: wanted.Hold.Seconds()},
		timeout:      answerTimeout,
		repeatWindow: noLimit,
		accept:       decodeInto(new(acquireAnswer)),
	}
	if wanted.ownerIsMadeUp {
		request.abandoned = func(reply *answer) { c.returnAbandoned(wanted.Grant, reply) }
	}
	reply, err := c.do(ctx, request)
	if err != nil {
		return Grant{}, err
	}
	return grantOf(wanted.Grant, reply)
}

// grantOf reads the answer to an acquire.
func grantOf(wanted Grant, reply *answer) (Grant, error) {
	switch {
	case reply.status == http.StatusConflict:
		return Grant{}, ErrHeld
	case !reply.succeeded():
		return Grant{}, refusal(reply)
	}
	var given acquireAnswer
	if err := json.Unmarshal(reply.body, &given); err != nil {
		return Grant{}, err
	}
	wanted.Token = given.Fence
	wanted.Until = reply.sentAt.Add(wanted.Hold)
	return wanted, nil
}

// returnAbandoned gives back what was granted after the caller had gone.
func (c *Client) returnAbandoned(wanted Grant, reply *answer) {
	grant, err := grantOf(wanted, reply)
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
	return c.renewGrant(ctx, grant, answerTimeout)
}

func (c *Client) renewGrant(ctx context.Context, grant Grant, timeout time.Duration) (Grant, error) {
	reply, err := c.do(ctx, call{
		method:       http.MethodPut,
		path:         lockPath(grant.Name),
		body:         renewRequest{Owner: grant.Owner, Fence: grant.Token, HoldS: grant.Hold.Seconds()},
		timeout:      timeout,
		repeatWindow: noLimit,
	})
	switch {
	case err != nil:
		return grant, err
	case reply.status == http.StatusConflict:
		return grant, ErrLeaseLost
	case !reply.succeeded():
		return grant, refusal(reply)
	case grant.expired():
		return grant, ErrLeaseExpired
	}
	grant.Until = reply.sentAt.Add(grant.Hold)
	return grant, nil
}

// ReturnGrant gives the lock back. It succeeds too if the owner doesn't hold it any more.
//
// If it fails, the call may still arrive later. The same owner name must then not be used
// for this lock again until the grant's end.
func (c *Client) ReturnGrant(ctx context.Context, grant Grant) error {
	reply, err := c.do(ctx, call{
		method:       http.MethodDelete,
		path:         lockPath(grant.Name),
		body:         releaseRequest{Owner: grant.Owner, Fence: grant.Token},
		timeout:      answerTimeout,
		repeatWindow: noLimit,
	})
	switch {
	case err != nil:
		return err
	case !reply.succeeded():
		return refusal(reply)
	}
	return nil
}

func lockPath(name string) string { return "/v1/locks/" + url.PathEscape(name) }
