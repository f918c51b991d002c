package client

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"time"
)

// putRetryWindow is for how long a put that may have been executed is retried. The control
// nodes recognize a repeated put for longer than this.
const putRetryWindow = 5 * time.Second

// Entry is a key with its value and the revision of the put that set it.
type Entry struct {
	Key      string
	Value    string
	Revision uint64
}

type putRequest struct {
	Value string `json:"value"`
	// ExpectedRevision is the revision that the key must have; nil: any.
	ExpectedRevision *uint64 `json:"enabled,omitempty"`
}

type revisionResponse struct {
	Revision uint64 `json:"revision"`
}

type entryResponse struct {
	Value    string `json:"value"`
	Revision uint64 `json:"revision"`
}

// Get reads a key. The result reflects every put that was acknowledged before the call.
// ErrNotFound means that the key does not exist.
func (c *Client) Get(ctx context.Context, key string) (Entry, error) {
	var response entryResponse
	result, err := c.do(ctx, apiRequest{
		method:      http.MethodGet,
		path:        keyPath(key),
		timeout:     responseTimeout,
		retryWindow: unlimitedRetryWindow,
		decodeBody:  decodeInto(&response),
	})
	switch {
	case err != nil:
		return Entry{}, err
	case result.status == http.StatusNotFound:
		return Entry{}, fmt.Errorf("key %s: %w", key, ErrNotFound)
	case !result.succeeded():
		return Entry{}, newStatusError(result)
	}
	return Entry{Key: key, Value: response.Value, Revision: response.Revision}, nil
}

// Put sets a key and returns the revision of this put. Keys with the same text before the
// first dot form a group and share one increasing sequence of revisions.
//
// Puts of a key are distinguished by their values: a put of the value that the key has, or had
// shortly before, is taken for a retry of that put and changes nothing. If the same content
// may be set again, include something in the value that differs each time.
//
// ErrUnclear means that the put may have been executed.
func (c *Client) Put(ctx context.Context, key, value string) (uint64, error) {
	return c.put(ctx, key, putRequest{Value: value})
}

// PutIf sets a key if it is at the given revision; revision 0 means that the key must not
// exist. Otherwise it returns a *ConflictError. See Put.
func (c *Client) PutIf(ctx context.Context, key, value string, revision uint64) (uint64, error) {
	return c.put(ctx, key, putRequest{Value: value, ExpectedRevision: &revision})
}

func (c *Client) put(ctx context.Context, key string, body putRequest) (uint64, error) {
	var response revisionResponse
	result, err := c.do(ctx, apiRequest{
		method:      http.MethodPut,
		path:        keyPath(key),
		body:        body,
		timeout:     responseTimeout,
		retryWindow: putRetryWindow,
		decodeBody:  decodeInto(&response),
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

// newConflictError returns a ConflictError with the revision in the response to a refused put.
func newConflictError(key string, result *callResult) error {
	var current revisionResponse
	if err := json.Unmarshal(result.body, &current); err != nil {
		return fmt.Errorf("%w: %s: %w", ErrConflict, key, err)
	}
	return &ConflictError{Key: key, Revision: current.Revision}
}

func keyPath(key string) string { return "/v1/cells/" + url.PathEscape(key) }
