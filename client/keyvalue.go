package client

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"time"
)

// putRetryWindow is for how long a put that may have been done is sent again. The system
// recognizes a repeated put for longer than this.
const putRetryWindow = 5 * time.Second

// Entry is a key's value and the revision of the put that gave it.
type Entry struct {
	Key      string
	Value    string
	Revision uint64
}

type putRequest struct {
	Value string `json:"value"`
	// Enabled is the revision that the key must have; absent: any.
	Enabled *uint64 `json:"enabled,omitempty"`
}

type revisionResponse struct {
	Revision uint64 `json:"revision"`
}

type entryResponse struct {
	Value    string `json:"value"`
	Revision uint64 `json:"revision"`
}

// Get reads a key: the newest put that was acknowledged before the call, or a later one.
// ErrNotFound says that there is none.
func (c *Client) Get(ctx context.Context, key string) (Entry, error) {
	var found entryResponse
	result, err := c.do(ctx, apiRequest{
		method:      http.MethodGet,
		path:        keyPath(key),
		timeout:     responseTimeout,
		retryWindow: unlimitedRetries,
		accept:      decodeInto(&found),
	})
	switch {
	case err != nil:
		return Entry{}, err
	case result.status == http.StatusNotFound:
		return Entry{}, fmt.Errorf("key %s: %w", key, ErrNotFound)
	case !result.succeeded():
		return Entry{}, newStatusError(result)
	}
	return Entry{Key: key, Value: found.Value, Revision: found.Revision}, nil
}

// Put sets a key and returns the revision of this put. Keys that are the same up to the
// first dot form a group and share one rising count of revisions.
//
// A value tells one put of a key from another: a put of the value that the key has, or had
// shortly before, is taken for the repeat of that put and changes nothing. Where the same
// content may come back, put something into the value that differs each time.
//
// ErrUnclear says that the put may have been done.
func (c *Client) Put(ctx context.Context, key, value string) (uint64, error) {
	return c.put(ctx, key, putRequest{Value: value})
}

// PutIf sets a key if it is at a revision; 0: if it doesn't exist. Else it returns a
// *ConflictError. See Put.
func (c *Client) PutIf(ctx context.Context, key, value string, revision uint64) (uint64, error) {
	return c.put(ctx, key, putRequest{Value: value, Enabled: &revision})
}

func (c *Client) put(ctx context.Context, key string, body putRequest) (uint64, error) {
	var response revisionResponse
	result, err := c.do(ctx, apiRequest{
		method:      http.MethodPut,
		path:        keyPath(key),
		body:        body,
		timeout:     responseTimeout,
		retryWindow: putRetryWindow,
		accept:      decodeInto(&response),
	})
	switch {
	case err != nil:
		return 0, err
	case result.status == http.StatusPreconditionFailed:
		return 0, newConflictError(key, result)
	case !result.succeeded():
		return 0, newStatusError(result)
	}
	return response.Revision, nil
}

// newConflictError reads the key's revision from a refused put.
func newConflictError(key string, result *callResult) error {
	var current revisionResponse
	if err := json.Unmarshal(result.body, &current); err != nil {
		return fmt.Errorf("%w: %s: %w", ErrConflict, key, err)
	}
	return &ConflictError{Key: key, Revision: current.Revision}
}

func keyPath(key string) string { return "/v1/cells/" + url.PathEscape(key) }
