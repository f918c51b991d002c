// Package apierror is the closed list of the kinds of error that madderwing
// answers with, and the table from each kind to its answer.
package apierror

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"time"
)

// Kind is one kind of error.
type Kind int

// The kinds.
const (
	Internal        Kind = iota
	InvalidConfig        // a configuration that may not come into force
	UnknownRoute         // no route for host and path
	UnknownZone          // an order for a zone that does not exist
	UnknownPage          // no such page of the control interface
	WrongMethod          // the page exists, the method does not
	BodyTooLarge         // a body above the limit
	BadRequest           // a request that cannot be handled as HTTP
	NoConfiguration      // this node knows no configuration yet
	NoUpstream           // no upstream may be sent to at present
	Overloaded           // admission refused the request
	Expired              // the deadline passed before the request was sent on
	DeadlinePassed       // the deadline passed after the request was sent on
	Broken               // the upstream broke off; the request may have run
	Unsealed             // an answer that is not the upstream's own
	NoQuorum             // too few copies can be reached
	Conflict             // a conditional write that lost, or another content under a number that was taken
	UnknownNode          // an order for a node that is not known
	NotNow               // an order that what stands forbids
	UnknownKey           // no key, or one that no tenant holds
	OverQuota            // the tenant is over its limit
	QuotaUnknown         // nobody could say whether the tenant is within its limit
	KeysUnconfirmed      // this node cannot say which keys hold at present
	NotYet               // an order that was carried out and may not be confirmed yet
	BadQuestion          // a question to the registry that cannot be answered
	ClientGone           // the client left before the request was sent on
	BadOrder             // an order for a rollout that cannot be read
	UnknownService       // an order for a service that does not exist
	NoRollout            // no rollout was ever ordered for the service
	UnderWay             // another rollout of the service is under way
	NoControlNode        // a relay that reaches no control node at work
	OutcomeUnknown       // a call that may have taken effect, or may yet
	TooMany              // a bound on calls, watches or records is reached
	NoCell               // a cell that holds no value
	HistoryGone          // a watch from a revision whose history is no longer kept
	MaybeRepeated        // an order that may be one sent again that was carried out
	ClientLeft           // the client left while an upstream was at work on the request, which was ended
	Outdated             // an order that is, or may be, older than one that was carried out
)

// Answer is what a kind is answered with. NotRun says that the answer promises
// that the request has not run and never will.
type Answer struct {
	Status int
	NotRun bool
	Text   string
}

var table = map[Kind]Answer{
	Internal:        {http.StatusInternalServerError, false, "internal error"},
	InvalidConfig:   {http.StatusBadRequest, true, "invalid configuration"},
	UnknownRoute:    {http.StatusNotFound, true, "no such route"},
	UnknownZone:     {http.StatusNotFound, true, "no such zone"},
	UnknownPage:     {http.StatusNotFound, true, "no such page"},
	WrongMethod:     {http.StatusMethodNotAllowed, true, "method not allowed"},
	BodyTooLarge:    {http.StatusRequestEntityTooLarge, true, "body too large"},
	BadRequest:      {http.StatusBadRequest, true, "bad request"},
	NoConfiguration: {http.StatusServiceUnavailable, true, "no configuration yet"},
	NoUpstream:      {http.StatusServiceUnavailable, true, "no upstream available"},
	Overloaded:      {http.StatusServiceUnavailable, true, "overloaded"},
	Expired:         {http.StatusServiceUnavailable, true, "no time left to send the request on"},
	DeadlinePassed:  {http.StatusGatewayTimeout, false, "deadline passed"},
	Broken:          {http.StatusBadGateway, false, "upstream broke off"},
	Unsealed:        {http.StatusBadGateway, false, "answer without seal"},
	NoQuorum:        {http.StatusServiceUnavailable, true, "no quorum"},
	Conflict:        {http.StatusConflict, true, "conflict"},
	UnknownNode:     {http.StatusNotFound, true, "no such node"},
	UnknownKey:      {http.StatusUnauthorized, true, "no such key"},
	OverQuota:       {http.StatusTooManyRequests, true, "over the tenant's limit"},
	QuotaUnknown:    {http.StatusServiceUnavailable, true, "quota not known at present"},
	KeysUnconfirmed: {http.StatusServiceUnavailable, true, "keys not confirmed"},
	NotYet:          {http.StatusServiceUnavailable, false, "not in force everywhere yet"},
	BadQuestion:     {http.StatusBadRequest, true, "bad question"},
	ClientGone:      {http.StatusServiceUnavailable, true, "client gone"},
	BadOrder:        {http.StatusBadRequest, true, "bad order"},
	UnknownService:  {http.StatusNotFound, true, "no such service"},
	NoRollout:       {http.StatusNotFound, true, "no rollout"},
	UnderWay:        {http.StatusConflict, true, "a rollout is under way"},
	NotNow:          {http.StatusConflict, true, "not as things stand"},
	NoControlNode:   {http.StatusServiceUnavailable, true, "no control node in reach"},
	OutcomeUnknown:  {http.StatusGatewayTimeout, false, "outcome not known"},
	TooMany:         {http.StatusTooManyRequests, true, "too many"},
	NoCell:          {http.StatusNotFound, true, "no such cell"},
	HistoryGone:     {http.StatusGone, true, "history no longer kept"},
	MaybeRepeated:   {http.StatusServiceUnavailable, false, "perhaps an order sent again"},
	ClientLeft:      {http.StatusBadGateway, false, "client left"},
	Outdated:        {http.StatusServiceUnavailable, true, "outdated order"},
}

// Error is an error of a kind, with what is to be told about it.
type Error struct {
	Kind       Kind
	Detail     string
	RetryAfter time.Duration
}

func (e *Error) Error() string {
	if e.Detail == "" {
		return table[e.Kind].Text
	}
	return table[e.Kind].Text + ": " + e.Detail
}

// New makes an error of a kind.
func New(kind Kind, format string, args ...any) *Error {
	return &Error{Kind: kind, Detail: fmt.Sprintf(format, args...)}
}

// Later makes an error of a kind that tells when to come back.
func Later(kind Kind, after time.Duration, format string, args ...any) *Error {
	e := New(kind, format, args...)
	e.RetryAfter = after
	return e
}

// AnswerFor looks a kind up in the table.
func AnswerFor(kind Kind) Answer { return table[kind] }

// KindOf is the kind of any error.
func KindOf(err error) Kind {
	var e *Error
	if errors.As(err, &e) {
		return e.Kind
	}
	return Internal
}

// TooLarge is the error for a body that http.MaxBytesReader has cut off; nil if
// err is of another kind.
func TooLarge(err error) error {
	var large *http.MaxBytesError
	if errors.As(err, &large) {
		return New(BodyTooLarge, "more than %d bytes", large.Limit)
	}
	return nil
}

// Write answers a request with an error.
func Write(w http.ResponseWriter, err error) {
	var e *Error
	if !errors.As(err, &e) {
		e = &Error{Kind: Internal, Detail: err.Error()}
	}
	a, known := table[e.Kind]
	if !known { // of a node of a later release
		a = table[Internal]
	}
	h := w.Header()
	if e.RetryAfter > 0 {
		h.Set("Retry-After", strconv.FormatFloat(e.RetryAfter.Seconds(), 'f', 3, 64))
	}
	h.Set("Content-Type", "application/json")
	body, _ := json.Marshal(map[string]string{"error": a.Text, "detail": e.Detail})
	h.Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(a.Status)
	_, _ = w.Write(body)
}
