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
	// answerTimeout is how long a node may be silent before another one is asked.
	answerTimeout = time.Second
	maxRedirects  = 2
	maxAnswer     = 64 << 20

	firstPause = 20 * time.Millisecond
	maxPause   = time.Second

	// noLimit lets a call be repeated for as long as its context lasts.
	noLimit = time.Duration(math.MaxInt64)
)

// call is one call of the interface, with the rules for sending it again.
type call struct {
	method string
	path   string
	query  url.Values
	body   any
	// timeout is how long each attempt waits for its answer.
	timeout time.Duration
	// repeatWindow is for how long the call may be sent again once it may have been done.
	repeatWindow time.Duration
	// abandoned, if it is there, is told of an answer that came after the context had ended.
	// Without it an attempt that is under way is broken off.
	abandoned func(*answer)
	// accept reads the body of a 2xx. With an error the answer counts as none.
	accept func(body []byte) error
}

func (r *call) String() string { return r.method + " " + r.path }

// answer is an answer that decides a call: a 2xx, or a refusal for good.
type answer struct {
	status int
	body   []byte
	sentAt time.Time // when the attempt that was answered was begun
}

func (a *answer) succeeded() bool { return a.status >= 200 && a.status < 300 }

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
func (c *Client) do(ctx context.Context, request call) (*answer, error) {
	body, err := encode(request.body)
	if err != nil {
		return nil, err
	}
	given := &CallError{Call: request.String()}
	var unclearSince time.Time
	retries := backoff{endpoints: len(c.endpoints)}
	for {
		if given.Ended = ctx.Err(); given.Ended != nil {
			return nil, given
		}
		sentAt := time.Now()
		index := c.preferred.Load()
		reply, failure := c.attemptUntilDone(ctx, c.endpoints[index], &request, body)
		if failure == nil {
			return reply, nil
		}
		c.moveOn(index)
		given.Last = failure
		if failure.unclear && request.method != http.MethodGet && !given.Unclear {
			given.Unclear = true
			unclearSince = sentAt
		}
		pause := retries.next(failure.retryAfter)
		if given.Unclear && time.Since(unclearSince)+pause > request.repeatWindow {
			given.Ended = ctx.Err()
			return nil, given
		}
		if given.Ended = sleep(ctx, pause); given.Ended != nil {
			return nil, given
		}
	}
}

// moveOn makes the endpoint after the one at index the first to be asked, unless another
// call has changed it meanwhile.
func (c *Client) moveOn(index int64) {
	c.preferred.CompareAndSwap(index, (index+1)%int64(len(c.endpoints)))
}

// attemptUntilDone is an attempt that goes on without its caller if the call says who is to
// be told of its answer.
func (c *Client) attemptUntilDone(ctx context.Context, endpoint *url.URL, request *call, body []byte) (*answer, *attemptError) {
	if request.abandoned == nil {
		return c.attempt(ctx, endpoint, request, body)
	}
	type outcome struct {
		reply   *answer
		failure *attemptError
	}
	outcomes := make(chan outcome, 1)
	go func() {
		reply, failure := c.attempt(context.WithoutCancel(ctx), endpoint, request, body)
		outcomes <- outcome{reply, failure}
	}()
	select {
	case o := <-outcomes:
		return o.reply, o.failure
	case <-ctx.Done():
	}
	go func() {
		if o := <-outcomes; o.failure == nil {
			request.abandoned(o.reply)
		}
	}()
	return nil, &attemptError{unclear: true, err: ctx.Err()}
}

// attempt sends a call to one node and follows its redirections.
func (c *Client) attempt(ctx context.Context, endpoint *url.URL, request *call, body []byte) (*answer, *attemptError) {
	sentAt := time.Now()
	target := *endpoint
	target.RawPath = request.path
	target.Path, _ = url.PathUnescape(request.path)
	target.RawQuery = request.query.Encode()
	for redirects := 0; ; redirects++ {
		response, text, failure := c.exchange(ctx, target.String(), request, body)
		if failure != nil {
			return nil, failure
		}
		if response.StatusCode != http.StatusTemporaryRedirect {
			return judge(response, text, request, sentAt)
		}
		location, err := response.Location()
		if err != nil || redirects == maxRedirects {
			return nil, &attemptError{err: fmt.Errorf("%s redirects to nowhere", target.Host)}
		}
		target = *location
	}
}

// exchange sends a request and reads the whole answer.
func (c *Client) exchange(ctx context.Context, target string, request *call, body []byte) (*http.Response, []byte, *attemptError) {
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
	response, text, err := c.roundTrip(outgoing)
	switch {
	case err == nil:
		return response, text, nil
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
	text, err := io.ReadAll(io.LimitReader(response.Body, maxAnswer+1))
	if err == nil && len(text) > maxAnswer {
		err = fmt.Errorf("an answer of more than %d bytes", maxAnswer)
	}
	return response, text, err
}

// judge tells answers that decide a call from those after which another node is asked.
func judge(response *http.Response, text []byte, request *call, sentAt time.Time) (*answer, *attemptError) {
	status := response.StatusCode
	said := fmt.Errorf("%s answered %d: %s", response.Request.URL.Host, status, strings.TrimSpace(string(text)))
	switch {
	case status == http.StatusServiceUnavailable, status == http.StatusTooManyRequests:
		return nil, &attemptError{retryAfter: retryAfter(response), err: said}
	case status == http.StatusRequestTimeout, status >= 500, status < 200, status >= 300 && status < 400:
		return nil, &attemptError{unclear: true, err: said}
	}
	reply := &answer{status: status, body: text, sentAt: sentAt}
	if reply.succeeded() && request.accept != nil {
		if err := request.accept(text); err != nil {
			return nil, &attemptError{unclear: true, err: fmt.Errorf("%s: answer not understood: %w", response.Request.URL.Host, err)}
		}
	}
	return reply, nil
}

func retryAfter(response *http.Response) time.Duration {
	seconds, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
	if err != nil || !(seconds > 0) {
		return 0
	}
	return time.Duration(min(seconds, maxPause.Seconds()) * float64(time.Second))
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
	pause := maxPause
	if doublings := b.attempts; firstPause<<min(doublings, 16) < maxPause {
		pause = firstPause << doublings
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
