package client

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	mathrand "math/rand/v2"
)

const (
	// responseTimeout is how long to wait for a node's response before trying the next node.
	responseTimeout  = time.Second
	maxRedirects     = 2
	maxResponseBytes = 64 << 20

	initialBackoff = 20 * time.Millisecond
	maxBackoff     = time.Second

	// unlimitedRetryWindow allows retries for as long as the call's context lasts.
	unlimitedRetryWindow = time.Duration(math.MaxInt64)
)

// apiRequest is one request to the control nodes' HTTP API, with its retry rules.
type apiRequest struct {
	method string
	path   string
	query  url.Values
	body   any
	// timeout is how long each attempt waits for its response.
	timeout time.Duration
	// retryWindow limits how long a request may be retried, counted from the start of the
	// first attempt that may have been executed. It does not apply to GET requests.
	retryWindow time.Duration
	// onLateResult, if not nil, receives a result that arrives after the context has ended.
	// If it is nil, the end of the context cancels the attempt in progress.
	onLateResult func(*callResult)
	// decodeBody reads the body of a 2xx response. If it returns an error, the attempt has failed.
	decodeBody func(body []byte) error
}

func (r *apiRequest) String() string { return r.method + " " + r.path }

// callResult is a final response to a request: a 2xx, or an error that a retry can't change.
type callResult struct {
	status int
	body   []byte
	sentAt time.Time // start of the attempt that got the response
}

func (r *callResult) succeeded() bool { return r.status >= 200 && r.status < 300 }

// attemptError is the failure of one attempt, after which the request may be retried.
type attemptError struct {
	unclear    bool // the request may have been executed
	retryAfter time.Duration
	err        error
}

func (e *attemptError) Error() string { return e.err.Error() }
func (e *attemptError) Unwrap() error { return e.err }

// do sends a request to one node after the other until there is a final response, the context
// ends or the retry window is over.
func (c *Client) do(ctx context.Context, request apiRequest) (*callResult, error) {
	payload, err := encode(request.body)
	if err != nil {
		return nil, err
	}
	callErr := &CallError{Call: request.String()}
	var unclearSince time.Time
	retries := backoff{endpoints: len(c.endpoints)}
	for {
		if callErr.Ended = ctx.Err(); callErr.Ended != nil {
			return nil, callErr
		}
		sentAt := time.Now()
		index := c.preferred.Load()
		result, attemptErr := c.attemptDetached(ctx, c.endpoints[index], &request, payload)
		if attemptErr == nil {
			return result, nil
		}
		c.preferNext(index)
		callErr.Last = attemptErr
		if attemptErr.unclear && request.method != http.MethodGet && !callErr.Unclear {
			callErr.Unclear = true
			unclearSince = sentAt
		}
		pause := retries.next(attemptErr.retryAfter)
		if callErr.Unclear && time.Since(unclearSince)+pause > request.retryWindow {
			callErr.Ended = ctx.Err()
			return nil, callErr
		}
		if callErr.Ended = sleep(ctx, pause); callErr.Ended != nil {
			return nil, callErr
		}
	}
}

// preferNext makes the endpoint after the one at index the preferred one, unless another
// request has changed it meanwhile.
func (c *Client) preferNext(index int64) {
	c.preferred.CompareAndSwap(index, (index+1)%int64(len(c.endpoints)))
}

// attemptDetached makes one attempt. If the request has onLateResult, the attempt continues in
// the background when the context ends, and onLateResult receives its result.
func (c *Client) attemptDetached(ctx context.Context, endpoint *url.URL, request *apiRequest, body []byte) (*callResult, *attemptError) {
	if request.onLateResult == nil {
		return c.attempt(ctx, endpoint, request, body)
	}
	type outcome struct {
		result     *callResult
		attemptErr *attemptError
	}
	outcomes := make(chan outcome, 1)
	go func() {
		result, attemptErr := c.attempt(context.WithoutCancel(ctx), endpoint, request, body)
		outcomes <- outcome{result, attemptErr}
	}()
	select {
	case finished := <-outcomes:
		return finished.result, finished.attemptErr
	case <-ctx.Done():
	}
	go func() {
		if late := <-outcomes; late.attemptErr == nil {
			request.onLateResult(late.result)
		}
	}()
	return nil, &attemptError{unclear: true, err: ctx.Err()}
}

// attempt sends a request to one node and follows redirects.
func (c *Client) attempt(ctx context.Context, endpoint *url.URL, request *apiRequest, body []byte) (*callResult, *attemptError) {
	sentAt := time.Now()
	target := *endpoint
	target.RawPath = request.path
	target.Path, _ = url.PathUnescape(request.path)
	target.RawQuery = request.query.Encode()
	for redirects := 0; ; redirects++ {
		response, responseBody, attemptErr := c.exchange(ctx, target.String(), request, body)
		if attemptErr != nil {
			return nil, attemptErr
		}
		if response.StatusCode != http.StatusTemporaryRedirect {
			return classify(response, responseBody, request, sentAt)
		}
		location, err := response.Location()
		if err != nil || redirects == maxRedirects {
			return nil, &attemptError{err: fmt.Errorf("%s: invalid redirect or too many redirects", target.Host)}
		}
		target = *location
	}
}

// exchange sends a request once and reads the whole response.
func (c *Client) exchange(ctx context.Context, target string, request *apiRequest, body []byte) (*http.Response, []byte, *attemptError) {
	attemptContext, cancel := context.WithTimeout(ctx, request.timeout)
	defer cancel()
	var connected atomic.Bool
	tracedContext := httptrace.WithClientTrace(attemptContext, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	httpRequest, err := http.NewRequestWithContext(tracedContext, request.method, target, bytes.NewReader(body))
	if err != nil {
		return nil, nil, &attemptError{err: err}
	}
	httpRequest.Header.Set("Content-Type", "application/json")
	response, responseBody, err := c.roundTrip(httpRequest)
	switch {
	case err == nil:
		return response, responseBody, nil
	case attemptContext.Err() != nil && ctx.Err() == nil:
		err = fmt.Errorf("%s: no response within %v", httpRequest.URL.Host, request.timeout)
	}
	return nil, nil, &attemptError{unclear: connected.Load(), err: err}
}

func (c *Client) roundTrip(httpRequest *http.Request) (*http.Response, []byte, error) {
	response, err := c.http.Do(httpRequest)
	if err != nil {
		return nil, nil, err
	}
	defer response.Body.Close()
	responseBody, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes+1))
	if err == nil && len(responseBody) > maxResponseBytes {
		err = fmt.Errorf("response is larger than %d bytes", maxResponseBytes)
	}
	return response, responseBody, err
}

// classify returns a final response as a callResult, and a response after which another node
// is to be tried as an attemptError.
func classify(response *http.Response, responseBody []byte, request *apiRequest, sentAt time.Time) (*callResult, *attemptError) {
	status := response.StatusCode
	statusErr := fmt.Errorf("%s answered %d: %s", response.Request.URL.Host, status, strings.TrimSpace(string(responseBody)))
	switch {
	case status == http.StatusServiceUnavailable, status == http.StatusTooManyRequests:
		return nil, &attemptError{retryAfter: retryAfter(response), err: statusErr}
	case status == http.StatusRequestTimeout, status >= 500, status < 200, status >= 300 && status < 400:
		return nil, &attemptError{unclear: true, err: statusErr}
	}
	result := &callResult{status: status, body: responseBody, sentAt: sentAt}
	if result.succeeded() && request.decodeBody != nil {
		if err := request.decodeBody(responseBody); err != nil {
			return nil, &attemptError{unclear: true, err: fmt.Errorf("%s: invalid response: %w", response.Request.URL.Host, err)}
		}
	}
	return result, nil
}

// retryAfter returns the time in the Retry-After header, at most maxBackoff; 0 if there is none.
func retryAfter(response *http.Response) time.Duration {
	seconds, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
	if err != nil || !(seconds > 0) {
		return 0
	}
	return time.Duration(min(seconds, maxBackoff.Seconds()) * float64(time.Second))
}

func encode(body any) ([]byte, error) {
	if body == nil {
		return nil, nil
	}
	return json.Marshal(body)
}

// decodeInto returns a decodeBody function that reads a response body into result.
func decodeInto[T any](result *T) func([]byte) error {
	return func(body []byte) error {
		var decoded T
		if err := json.Unmarshal(body, &decoded); err != nil {
			return err
		}
		*result = decoded
		return nil
	}
}

// backoff computes the pauses between the attempts of a request.
type backoff struct {
	endpoints int
	attempts  int
}

// next returns the pause after a failed attempt. It doubles with each attempt and is then
// shortened by a random part of up to a half. Retry-After applies only to the pause after
// each round of attempts over all endpoints, because another node may be available sooner.
func (b *backoff) next(retryAfter time.Duration) time.Duration {
	pause := maxBackoff
	if attempt := b.attempts; initialBackoff<<min(attempt, 16) < maxBackoff {
		pause = initialBackoff << attempt
	}
	b.attempts++
	pause = jitter(pause)
	if b.attempts%b.endpoints == 0 {
		pause = max(pause, retryAfter)
	}
	return pause
}

// randomBelow returns a random duration in [0, limit). Tests replace it by a fixed one.
var randomBelow = func(limit time.Duration) time.Duration { return mathrand.N(limit) }

// jitter shortens a pause by a random part of up to a half, so that callers do not retry at
// the same moment.
func jitter(pause time.Duration) time.Duration {
	return pause - randomBelow(pause/2+1)
}

// sleep waits for the pause, or returns the context's error if that ends first.
func sleep(ctx context.Context, pause time.Duration) error {
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
