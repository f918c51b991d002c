package client

import (
	"context"
	"net/http"
	"net/url"
)

// Counter gives rising numbers under one name.
type Counter struct {
	client *Client
	name   string
}

// Counter returns the counter of a name. It begins with the first draw.
func (c *Client) Counter(name string) *Counter { return &Counter{client: c, name: name} }

type drawRequest struct{}

type drawAnswer struct {
	Value uint64 `json:"value"`
}

// Next draws a number that is greater than each that was given before the call. No number is
// given twice. Numbers may skip: a draw whose answer was lost is repeated, and its first
// number is then nobody's.
func (n *Counter) Next(ctx context.Context) (uint64, error) {
	var given drawAnswer
	reply, err := n.client.do(ctx, call{
		method:       http.MethodPost,
		path:         "/v1/numbers/" + url.PathEscape(n.name),
		body:         drawRequest{},
		timeout:      answerTimeout,
		repeatWindow: noLimit,
		accept:       decodeInto(&given),
	})
	switch {
	case err != nil:
		return 0, err
	case !reply.succeeded():
		return 0, refusal(reply)
	}
	return given.Value, nil
}
