package client

import (
	"context"
	"net/http"
	"net/url"
)

// Counter is a named counter that returns increasing numbers.
type Counter struct {
	client *Client
	name   string
}

// Counter returns the counter with the given name. The first call of Next creates it.
func (c *Client) Counter(name string) *Counter { return &Counter{client: c, name: name} }

type counterRequest struct{}

type counterResponse struct {
	Value uint64 `json:"value"`
}

// Next returns a number that is greater than every number returned before the call. No number
// is returned twice. There may be gaps: if a response is lost, the request is retried and the
// first number stays unused.
func (c *Counter) Next(ctx context.Context) (uint64, error) {
	var response counterResponse
	result, err := c.client.do(ctx, apiRequest{
		method:      http.MethodPost,
		path:        "/v1/numbers/" + url.PathEscape(c.name),
		body:        counterRequest{},
		timeout:     responseTimeout,
		retryWindow: unlimitedRetryWindow,
		decodeBody:  decodeInto(&response),
	})
	switch {
	case err != nil:
		return 0, err
	case !result.succeeded():
		return 0, newStatusError(result)
	}
	return response.Value, nil
}
