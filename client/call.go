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
	// responseTimeout is how long a node may be silent before another one is asked.
	responseTimeout  = time.Second
	maxRedirects     = 2
	maxResponseBytes = 64 << 20

	initialBackoff = 20 * time.Millisecond
	maxBackoff     = time.Second

	// unlimitedRetries lets a call be repeated for as long as its context lasts.
	unlimitedRetries = time.Duration(math.MaxInt64)
)

// apiRequest is one apiRequest of the interface, with the rules for sending it again.
type apiRequest struct {
	method string
	path   string
	query  url.Values
	body   any
	// timeout is how long each attempt waits for its answer.
	timeout time.Duration
	// retryWindow is for how long the call may be sent again once it may have been done.
	retryWindow time.Duration
	// onLateResult, if it is there, is told of an answer that came after the context had ended.
	// Without it an attempt that is under way is broken off.
	onLateResult func(*callResult)
	// accept reads the body of a 2xx. With an error the answer counts as none.
	accept func(body []byte) error
}

func (r *apiRequest) String() string { return r.method + " " + r.path }

// callResult is an callResult that decides a call: a 2xx, or a refusal for good.
type callResult struct {
	status int
	body   []byte
	sentAt time.Time // when the attempt that was answered was begun
}

func (a *callResult) succeeded() bool { return a.status >= 200 && a.status < 300 }

// attemptError is an attempt that decides nothing.
type attemptError struct {
	unclear    bool // the call may have been carried out
	retryAfter time.Duration
	err        error
}

func (e *attemptError) Error() string { return e.err.Error() }
func (e *attemptError) Unwrap() error { return e.err }

// do sends a call, to one node after the other, until one decides it, the context ends or
// it may not be repeated for longer.
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

// preferNext makes the endpoint after the one at index the first to be asked, unless another
// call has changed it meanwhile.
func (c *Client) preferNext(index int64) {
	c.preferred.CompareAndSwap(index, (index+1)%int64(len(c.endpoints)))
}

// attemptDetached is an attempt that goes on without its caller if the call says who is to
// be told of its answer.
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
		reply, failure := c.attempt(context.WithoutCancel(ctx), endpoint, request, body)
		outcomes <- outcome{reply, failure}
	}()
	select {
	case finished := <-outcomes:
		return finished.result, finished.attemptErr
	case <-ctx.Done():
	}
	go func() {
		if o := <-outcomes; o.attemptErr == nil {
			request.onLateResult(o.result)
		}
	}()
	return nil, &attemptError{unclear: true, err: ctx.Err()}
}

// attempt sends a call to one node and follows its redirections.
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
			return nil, &attemptError{err: fmt.Errorf("%s redirects to nowhere", target.Host)}
		}
		target = *location
	}
}

// exchange sends a request and reads the whole answer.
func (c *Client) exchange(ctx context.Context, target string, request *apiRequest, body []byte) (*http.Response, []byte, *attemptError) {
	attemptContext, cancel := context.WithTimeout(ctx, request.timeout)
	defer cancel()
	var connected atomic.Bool
	traced := httptrace.WithClientTrace(attemptContext, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	outgoing, err := http.NewRequestWithContext(traced, request.method, target, bytes.NewReader(body))
	if err != nil {
		return nil, nil, &attemptError{err: err}
	}
	outgoing.Header.Set("Content-Type", "application/json")
	response, responseBody, err := c.roundTrip(outgoing)
	switch {
	case err == nil:
		return response, responseBody, nil
	case attemptContext.Err() != nil && ctx.Err() == nil:
		err = fmt.Errorf("%s: no answer within %v", outgoing.URL.Host, request.timeout)
	}
	return nil, nil, &attemptError{unclear: connected.Load(), err: err}
}

func (c *Client) roundTrip(outgoing *http.Request) (*http.Response, []byte, error) {
	response, err := c.http.Do(outgoing)
	if err != nil {
		return nil, nil, err
	}
	defer response.Body.Close()
	responseBody, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes+1))
	if err == nil && len(responseBody) > maxResponseBytes {
		err = fmt.Errorf("an answer of more than %d bytes", maxResponseBytes)
	}
	return response, responseBody, err
}

// classify tells answers that decide a call from those after which another node is asked.
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
	if result.succeeded() && request.accept != nil {
		if err := request.accept(responseBody); err != nil {
			return nil, &attemptError{unclear: true, err: fmt.Errorf("%s: answer not understood: %w", response.Request.URL.Host, err)}
		}
	}
	return result, nil
}

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

// decodeInto returns an accept function that reads an answer into result.
func decodeInto[T any](result *T) func([]byte) error {
	return func(body []byte) error {
		var fresh T
		if err := json.Unmarshal(body, &fresh); err != nil {
			return err
		}
		*result = fresh
		return nil
	}
}

// backoff counts the attempts of a call and tells how long to pause before the next one.
type backoff struct {
	endpoints int
	attempts  int
}

// next is the pause after an attempt that failed: it doubles each time, with a random part
// of up to a half. What a node said in Retry-After counts only once all have been asked.
func (b *backoff) next(retryAfter time.Duration) time.Duration {
	pause := maxBackoff
	if doublings := b.attempts; initialBackoff<<min(doublings, 16) < maxBackoff {
		pause = initialBackoff << doublings
	}
	b.attempts++
	pause = jitter(pause)
	if b.attempts%b.endpoints == 0 {
		pause = max(pause, retryAfter)
	}
	return pause
}

// randomBelow draws a duration from 0 up to, but not including, a limit. Tests put a fixed one in its place.
var randomBelow = func(limit time.Duration) time.Duration { return mathrand.N(limit) }

// jitter takes a random part of up to a half off a pause, so that callers spread out.
func jitter(pause time.Duration) time.Duration {
	return pause - randomBelow(pause/2+1)
}

// sleep waits, or returns the context's error.
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
