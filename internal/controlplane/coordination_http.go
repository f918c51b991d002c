package controlplane

// HTTP API for applications: locks, counters, cells and watches.

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"madderwing/internal/apierror"
	"madderwing/internal/coordination"
)

// Limits on applications' calls.
const (
	maxCoordinationBodyBytes = 64 << 10
	maxValueBytes            = 16 << 10
	maxLease                 = 24 * time.Hour
	maxWatchWait             = time.Minute // longer waits are reduced to this
	maxActiveCalls           = 1024
	maxWatches               = 4096
)

// Path prefixes of the calls.
const (
	lockPathPrefix    = "/v1/locks/"
	counterPathPrefix = "/v1/numbers/"
	cellPathPrefix    = "/v1/cells/"
	watchPathPrefix   = "/v1/watch/"
)

// isCoordination reports whether a path belongs to the coordination API.
func isCoordination(path string) bool {
	for _, prefix := range []string{lockPathPrefix, counterPathPrefix, cellPathPrefix, watchPathPrefix} {
		if strings.HasPrefix(path, prefix) {
			return true
		}
	}
	return false
}

// ServeHTTP answers one call.
func (c *coordinator) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if name, ok := strings.CutPrefix(r.URL.Path, watchPathPrefix); ok {
		c.serveWatch(w, r, name)
		return
	}
	arrived := arrivalOf(r)
	call, err := readCoordinationCall(r)
	if err != nil {
		c.statistics.count("refused", apierror.ResponseFor(apierror.KindOf(err)).Status, 0)
		apierror.Write(w, err)
		return
	}
	status := c.serveCall(w, r, arrived, call)
	c.statistics.count(call.Operation.String(), status, time.Since(arrived.readAt))
}

// serveCall carries out a call, writes the answer and returns its HTTP status.
func (c *coordinator) serveCall(w http.ResponseWriter, r *http.Request, arrived arrival, call coordination.Call) int {
	defer c.activeCalls.Add(-1)
	if c.activeCalls.Add(1) > maxActiveCalls {
		return writeError(w, apierror.NewRetryAfter(apierror.LimitReached, c.retryAfter, "%d calls wait here", maxActiveCalls))
	}
	if c.stalls.stalled() || arrived.age() > stallLimit {
		return writeError(w, apierror.NewRetryAfter(apierror.NoQuorum, c.retryAfter, "this process stood still"))
	}
	result := c.submit(r.Context(), call)
	switch result.Effect {
	case coordination.Answered:
		return c.writeAnswer(w, call, result.Answer)
	case coordination.MaybeExecuted:
		if !call.Operation.ReadOnly() {
			return writeError(w, apierror.New(apierror.OutcomeUnknown, "no answer from the owner of the partition in time"))
		}
	}
	return writeError(w, apierror.NewRetryAfter(apierror.NoQuorum, c.retryAfter, "no owner of the partition answers"))
}

// callAnswer is the body of an answer. Fields that an operation doesn't return are absent.
type callAnswer struct {
	Fence    uint64  `json:"fence,omitempty"`
	Number   uint64  `json:"value,omitempty"`
	Revision *uint64 `json:"revision,omitempty"`
}

// cellAnswer is the body of the answer to a read of a cell.
type cellAnswer struct {
	Value    string `json:"value"`
	Revision uint64 `json:"revision"`
}

// writeAnswer writes the owner's answer to a call and returns its HTTP status.
func (c *coordinator) writeAnswer(w http.ResponseWriter, call coordination.Call, answer coordination.Answer) int {
	switch answer.Status {
	case coordination.OK:
		if call.Operation == coordination.Get {
			return writeJSON(w, http.StatusOK, cellAnswer{answer.Value, answer.Revision})
		}
		body := callAnswer{Fence: answer.FencingToken, Number: answer.Number}
		if call.Operation == coordination.Put {
			body.Revision = &answer.Revision
		}
		return writeJSON(w, http.StatusOK, body)
	case coordination.Mismatch:
		return writeJSON(w, http.StatusPreconditionFailed, callAnswer{Revision: &answer.Revision})
	case coordination.Held:
		return writeError(w, apierror.New(apierror.Conflict, "lock %s is held by another", call.Name))
	case coordination.NotFound:
		return writeError(w, apierror.New(apierror.CellNotFound, "%s", call.Name))
	case coordination.Full:
		return writeError(w, apierror.NewRetryAfter(apierror.LimitReached, c.retryAfter, "the partition of %s is full", call.Name))
	}
	return writeError(w, apierror.New(apierror.Internal, "unexpected answer %d", answer.Status))
}

func writeError(w http.ResponseWriter, err *apierror.Error) int {
	apierror.Write(w, err)
	return apierror.ResponseFor(err.Kind).Status
}

func writeJSON(w http.ResponseWriter, status int, body any) int {
	text, err := json.Marshal(body)
	if err != nil {
		return writeError(w, apierror.New(apierror.Internal, "%v", err))
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	w.WriteHeader(status)
	_, _ = w.Write(text)
	return status
}

// callBody is the body of a call; each operation uses some of its fields.
type callBody struct {
	Owner    *string  `json:"owner"`
	HoldS    *float64 `json:"holdS"`
	Fence    *uint64  `json:"fence"`
	Value    *string  `json:"value"`
	Expected *uint64  `json:"enabled"`
}

// operations maps the path prefix and the HTTP method of a call to its operation.
var operations = map[string]map[string]coordination.Operation{
	lockPathPrefix:    {http.MethodPost: coordination.Acquire, http.MethodPut: coordination.Renew, http.MethodDelete: coordination.Release},
	counterPathPrefix: {http.MethodPost: coordination.Increment},
	cellPathPrefix:    {http.MethodPut: coordination.Put, http.MethodGet: coordination.Get},
}

// readCoordinationCall reads and validates a call.
func readCoordinationCall(r *http.Request) (coordination.Call, error) {
	var call coordination.Call
	for prefix, methods := range operations {
		if name, ok := strings.CutPrefix(r.URL.Path, prefix); ok {
			call.Name, call.Operation = name, methods[r.Method]
		}
	}
	if !call.Operation.Known() {
		return call, apierror.New(apierror.WrongMethod, "%s on %s", r.Method, r.URL.Path)
	}
	if err := coordination.CheckName("name", call.Name); err != nil {
		return call, apierror.New(apierror.BadRequest, "%v", err)
	}
	if call.Operation == coordination.Get {
		return call, nil
	}
	var body callBody
	if err := readCallBody(r, &body); err != nil {
		return call, err
	}
	return call, body.fill(&call)
}

func readCallBody(r *http.Request, body *callBody) error {
	text, err := io.ReadAll(http.MaxBytesReader(nil, r.Body, maxCoordinationBodyBytes))
	if err != nil {
		if large := apierror.BodyTooLargeError(err); large != nil {
			return large
		}
		return apierror.New(apierror.BadRequest, "body not read: %v", err)
	}
	if len(strings.TrimSpace(string(text))) == 0 {
		return nil
	}
	if err := json.Unmarshal(text, body); err != nil {
		return apierror.New(apierror.BadRequest, "body: %v", err)
	}
	return nil
}

// fill validates the fields that the call's operation needs, and copies them into the call.
func (b *callBody) fill(call *coordination.Call) error {
	switch call.Operation {
	case coordination.Acquire, coordination.Renew, coordination.Release:
		return b.fillLock(call)
	case coordination.Put:
		switch {
		case b.Value == nil:
			return apierror.New(apierror.BadRequest, "value: missing")
		case len(*b.Value) > maxValueBytes:
			return apierror.New(apierror.BodyTooLarge, "value: more than %d bytes", maxValueBytes)
		}
		call.Value, call.Expected = *b.Value, b.Expected
	}
	return nil
}

func (b *callBody) fillLock(call *coordination.Call) error {
	if b.Owner == nil {
		return apierror.New(apierror.BadRequest, "owner: missing")
	}
	if err := coordination.CheckName("owner", *b.Owner); err != nil {
		return apierror.New(apierror.BadRequest, "%v", err)
	}
	call.Owner = *b.Owner
	if call.Operation != coordination.Acquire {
		if b.Fence == nil {
			return apierror.New(apierror.BadRequest, "fence: missing")
		}
		call.FencingToken = *b.Fence
	}
	if call.Operation == coordination.Release {
		return nil
	}
	switch {
	case b.HoldS == nil:
		return apierror.New(apierror.BadRequest, "holdS: missing")
	case *b.HoldS <= 0:
		return apierror.New(apierror.BadRequest, "holdS: not positive")
	case *b.HoldS > maxLease.Seconds():
		return apierror.New(apierror.BadRequest, "holdS: more than %v", maxLease.Seconds())
	}
	call.Lease = time.Duration(*b.HoldS * float64(time.Second))
	return nil
}

// serveWatch answers a watch.
func (c *coordinator) serveWatch(w http.ResponseWriter, r *http.Request, group string) {
	begin := time.Now()
	after, wait, err := readWatch(r, group)
	if err != nil {
		c.statistics.count("watch", apierror.ResponseFor(apierror.KindOf(err)).Status, 0)
		apierror.Write(w, err)
		return
	}
	result, err := c.boundedWatch(r, group, after, wait)
	status := http.StatusOK
	if err != nil {
		status = apierror.ResponseFor(apierror.KindOf(err)).Status
		apierror.Write(w, err)
	} else {
		writeJSON(w, status, newWatchAnswer(result))
	}
	c.statistics.count("watch", status, time.Since(begin))
}

// watchAnswer is the body of the answer to a watch.
type watchAnswer struct {
	Events   []coordination.Event `json:"events"`
	Revision uint64               `json:"revision"`
}

func newWatchAnswer(r coordination.WatchResult) watchAnswer {
	answer := watchAnswer{Events: r.Events, Revision: r.Revision}
	if answer.Events == nil {
		answer.Events = []coordination.Event{} // [] in JSON, not null
	}
	return answer
}

// boundedWatch refuses watches beyond maxWatches, and those that arrive while the node shuts down.
func (c *coordinator) boundedWatch(r *http.Request, group string, after uint64, wait time.Duration) (coordination.WatchResult, error) {
	select {
	case <-c.shutdown:
		return coordination.WatchResult{}, apierror.NewRetryAfter(apierror.NoQuorum, c.retryAfter, "%v", errShutdown)
	default:
	}
	defer c.activeWatches.Add(-1)
	if c.activeWatches.Add(1) > maxWatches {
		return coordination.WatchResult{}, apierror.NewRetryAfter(apierror.LimitReached, c.retryAfter, "%d watches wait here", maxWatches)
	}
	return c.watchGroup(r.Context(), group, after, wait)
}

// readWatch reads and validates a watch: the revision after which it wants events, and how long it
// waits for them.
func readWatch(r *http.Request, group string) (after uint64, wait time.Duration, err error) {
	if r.Method != http.MethodGet {
		return 0, 0, apierror.New(apierror.WrongMethod, "%s on %s", r.Method, r.URL.Path)
	}
	if err := coordination.CheckName("group", group); err != nil {
		return 0, 0, apierror.New(apierror.BadRequest, "%v", err)
	}
	if !coordination.IsGroup(group) {
		return 0, 0, apierror.New(apierror.BadRequest, "group: %q does not end with its only dot", group)
	}
	query := r.URL.Query()
	if after, err = queryNumber(query, "after"); err != nil {
		return 0, 0, err
	}
	waitMs, err := queryNumber(query, "waitMs")
	if err != nil {
		return 0, 0, err
	}
	return after, time.Duration(min(waitMs, uint64(maxWatchWait/time.Millisecond))) * time.Millisecond, nil
}

// queryNumber reads a number from the query; 0 if it is absent.
func queryNumber(query url.Values, name string) (uint64, error) {
	text := query.Get(name)
	if text == "" {
		return 0, nil
	}
	n, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		reason := errors.Unwrap(err)
		return 0, apierror.New(apierror.BadRequest, "%s: %q: %v", name, text, reason)
	}
	return n, nil
}

// coordinationPartition is the partition of the control state that a call with the given path
// concerns.
func coordinationPartition(path string) string {
	if group, ok := strings.CutPrefix(path, watchPathPrefix); ok {
		return coordination.GroupPartition(group)
	}
	if cell, ok := strings.CutPrefix(path, cellPathPrefix); ok {
		return coordination.GroupPartition(coordination.GroupOf(cell))
	}
	if counter, ok := strings.CutPrefix(path, counterPathPrefix); ok {
		return coordination.Call{Operation: coordination.Increment, Name: counter}.Partition()
	}
	return coordination.Call{Operation: coordination.Acquire, Name: strings.TrimPrefix(path, lockPathPrefix)}.Partition()
}
