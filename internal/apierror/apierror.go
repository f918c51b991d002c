// Package apierror defines the kinds of errors that gateways and control nodes answer with, and
// the HTTP response for each kind. An error of no known kind is answered as Internal.
package apierror

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"time"
)

// Kind is the kind of an error. The numbers are sent between nodes: new kinds go at the end.
type Kind int

// Error kinds. An order is a request to the control interface that changes something.
const (
	Internal                Kind = iota
	InvalidConfig                // the configuration is invalid
	UnknownRoute                 // no route matches host and path
	UnknownZone                  // the order names an unknown zone
	UnknownPath                  // the control interface has no such path
	WrongMethod                  // the path doesn't support the method
	BodyTooLarge                 // the body is larger than the limit
	BadRequest                   // the request can't be parsed, or a value is missing or invalid
	NoConfiguration              // this node has received no configuration yet
	NoUpstream                   // no upstream is eligible at present
	Overloaded                   // rejected by admission control or by the upstream
	DeadlineBeforeSend           // the deadline passed before the request was sent to an upstream
	DeadlineAfterSend            // the deadline passed after the request was sent to an upstream
	BadUpstreamResponse          // no usable response from the upstream; the request may have been executed
	MissingSeal                  // a response without the upstream's seal (Server-Seal)
	NoQuorum                     // too few replicas can be reached
	Conflict                     // a conditional write failed, or a generation number is in use with other content
	UnknownNode                  // the order names an unknown node
	StateForbids                 // the current state of the system forbids the order
	UnknownKey                   // no API key, or one that belongs to no tenant
	OverQuota                    // the tenant has used up its quota
	QuotaUnknown                 // the quota could not be checked
	KeysUnconfirmed              // this node's lease on API keys has ended, so it doesn't know which keys are valid
	NotInForceEverywhere         // the order was carried out, but is not in force everywhere yet
	BadQuery                     // an invalid query to the registry or to a view
	ClientLeftBeforeSend         // the client closed the connection before the request was sent to an upstream or carried out
	BadRolloutOrder              // an invalid order for a rollout
	UnknownService               // the order names an unknown service
	NoRollout                    // the service never had a rollout
	RolloutInProgress            // another rollout of the service is in progress or complete
	ControlNodesUnreachable      // the relay reaches no working control node
	OutcomeUnknown               // the call may have taken effect, or may do so later
	LimitReached                 // a limit on calls, watches or records is reached
	CellNotFound                 // the cell (a key of the key-value store) has no value
	HistoryCompacted             // the events after the watch's revision are no longer kept
	PossibleDuplicate            // the order may be a retry of one that was already carried out
	ClientLeftAfterSend          // the client closed the connection while an upstream worked on the request, which was cancelled
	OutdatedOrder                // the order is, or may be, older than one that was carried out
)

// Response is the HTTP response for a kind. NotExecuted says that the response guarantees that the
// request was not executed and never will be.
type Response struct {
	Status      int
	NotExecuted bool
	Text        string
}

var responses = map[Kind]Response{
	Internal:                {http.StatusInternalServerError, false, "internal error"},
	InvalidConfig:           {http.StatusBadRequest, true, "invalid configuration"},
	UnknownRoute:            {http.StatusNotFound, true, "no such route"},
	UnknownZone:             {http.StatusNotFound, true, "no such zone"},
	UnknownPath:             {http.StatusNotFound, true, "no such page"},
	WrongMethod:             {http.StatusMethodNotAllowed, true, "method not allowed"},
	BodyTooLarge:            {http.StatusRequestEntityTooLarge, true, "body too large"},
	BadRequest:              {http.StatusBadRequest, true, "bad request"},
	NoConfiguration:         {http.StatusServiceUnavailable, true, "no configuration yet"},
	NoUpstream:              {http.StatusServiceUnavailable, true, "no upstream available"},
	Overloaded:              {http.StatusServiceUnavailable, true, "overloaded"},
	DeadlineBeforeSend:      {http.StatusServiceUnavailable, true, "no time left to send the request on"},
	DeadlineAfterSend:       {http.StatusGatewayTimeout, false, "deadline passed"},
	BadUpstreamResponse:     {http.StatusBadGateway, false, "upstream broke off"},
	MissingSeal:             {http.StatusBadGateway, false, "answer without seal"},
	NoQuorum:                {http.StatusServiceUnavailable, true, "no quorum"},
	Conflict:                {http.StatusConflict, true, "conflict"},
	UnknownNode:             {http.StatusNotFound, true, "no such node"},
	UnknownKey:              {http.StatusUnauthorized, true, "no such key"},
	OverQuota:               {http.StatusTooManyRequests, true, "over the tenant's limit"},
	QuotaUnknown:            {http.StatusServiceUnavailable, true, "quota not known at present"},
	KeysUnconfirmed:         {http.StatusServiceUnavailable, true, "keys not confirmed"},
	NotInForceEverywhere:    {http.StatusServiceUnavailable, false, "not in force everywhere yet"},
	BadQuery:                {http.StatusBadRequest, true, "bad question"},
	ClientLeftBeforeSend:    {http.StatusServiceUnavailable, true, "client gone"},
	BadRolloutOrder:         {http.StatusBadRequest, true, "bad order"},
	UnknownService:          {http.StatusNotFound, true, "no such service"},
	NoRollout:               {http.StatusNotFound, true, "no rollout"},
	RolloutInProgress:       {http.StatusConflict, true, "a rollout is under way"},
	StateForbids:            {http.StatusConflict, true, "not as things stand"},
	ControlNodesUnreachable: {http.StatusServiceUnavailable, true, "no control node in reach"},
	OutcomeUnknown:          {http.StatusGatewayTimeout, false, "outcome not known"},
	LimitReached:            {http.StatusTooManyRequests, true, "too many"},
	CellNotFound:            {http.StatusNotFound, true, "no such cell"},
	HistoryCompacted:        {http.StatusGone, true, "history no longer kept"},
	PossibleDuplicate:       {http.StatusServiceUnavailable, false, "perhaps an order sent again"},
	ClientLeftAfterSend:     {http.StatusBadGateway, false, "client left"},
	OutdatedOrder:           {http.StatusServiceUnavailable, true, "outdated order"},
}

// Error is an error of a kind. Detail is sent to the client; RetryAfter is the time after which
// the client may retry, 0: not sent.
type Error struct {
	Kind       Kind
	Detail     string
	RetryAfter time.Duration
}

func (e *Error) Error() string {
	if e.Detail == "" {
		return responses[e.Kind].Text
	}
	return responses[e.Kind].Text + ": " + e.Detail
}

// New returns an error of a kind with a formatted detail.
func New(kind Kind, format string, args ...any) *Error {
	return &Error{Kind: kind, Detail: fmt.Sprintf(format, args...)}
}

// NewRetryAfter returns an error like New that tells the client to retry after a time.
func NewRetryAfter(kind Kind, after time.Duration, format string, args ...any) *Error {
	e := New(kind, format, args...)
	e.RetryAfter = after
	return e
}

// ResponseFor returns the HTTP response for a kind.
func ResponseFor(kind Kind) Response { return responses[kind] }

// KindOf returns the kind of an error; Internal if it is no *Error.
func KindOf(err error) Kind {
	var e *Error
	if errors.As(err, &e) {
		return e.Kind
	}
	return Internal
}

// BodyTooLargeError returns a BodyTooLarge error if err comes from http.MaxBytesReader, else nil.
func BodyTooLargeError(err error) error {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return New(BodyTooLarge, "more than %d bytes", tooLarge.Limit)
	}
	return nil
}

// Write sends an error as the response to a request.
func Write(w http.ResponseWriter, err error) {
	var e *Error
	if !errors.As(err, &e) {
		e = &Error{Kind: Internal, Detail: err.Error()}
	}
	response, known := responses[e.Kind]
	if !known { // the error comes from a node of a later release
		response = responses[Internal]
	}
	header := w.Header()
	if e.RetryAfter > 0 {
		header.Set("Retry-After", strconv.FormatFloat(e.RetryAfter.Seconds(), 'f', 3, 64))
	}
	header.Set("Content-Type", "application/json")
	body, _ := json.Marshal(map[string]string{"error": response.Text, "detail": e.Detail})
	header.Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(response.Status)
	_, _ = w.Write(body)
}
