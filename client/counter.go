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

type drawResponse struct {
	Value uint64 `json:"value"`
}

// Next draws a number that is greater than each that was given before the call. No number is
// given twice. Numbers may skip: a draw whose answer was lost is repeated, and its first
// number is then nobody's.
func (n *Counter) Next(ctx context.Context) (uint64, error) {
	var drawn drawResponse
	result, err := n.client.do(ctx, apiRequest{
		method:      http.MethodPost,
		path:        "/v1/numbers/" + url.PathEscape(n.name),
		body:        drawRequest{},
		timeout:     responseTimeout,
		retryWindow: unlimitedRetries,
		accept:      decodeInto(&drawn),
	})
	switch {
	case err != nil:
		return 0, err
	case !result.succeeded():
		return 0, newStatusError(result)
	}
	return drawn.Value, nil
}
