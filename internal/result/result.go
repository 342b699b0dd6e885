// Package result defines the numbered result codes that callers, operators
// and logs see. docs/RESULT-CODES.md is generated from Table and held to it by
// a test.
package result

import (
	"net/http"
	"strconv"
	"time"
)

// Code is a numbered result. Codes are stable: a number is never reused.
type Code int

// Result codes. 1xx: answered; 2xx: refused, not run; 3xx: outcome unknown;
// 4xx: the caller's or operator's mistake, not run; 5xx: configuration and
// platform.
const (
	OK Code = 100

	ShedTier        Code = 200
	DeadlineTooNear Code = 201
	TeamLimit       Code = 202
	QueueFull       Code = 203
	NoEndpoint      Code = 204
	PlatformDown    Code = 205
	Stopping        Code = 206
	NotReady        Code = 207
	Expired         Code = 208
	Quarantined     Code = 209
	CutOff          Code = 210
	CallerGone      Code = 211
	KeysUnconfirmed Code = 212
	LimitInQueue    Code = 213
	NoMemory        Code = 214

	OutcomeUnknown Code = 300
	EndpointLost   Code = 301
	AnswerCut      Code = 302
	// EarlierUnknown speaks of the key: this attempt was not dispatched, an
	// earlier one may have been.
	EarlierUnknown   Code = 303
	AnswerUnreadable Code = 304
	EndpointError    Code = 305
	TimeLimit        Code = 306

	BadRequest     Code = 400
	Unauthorized   Code = 401
	NoRoute        Code = 404
	KeyRequired    Code = 405
	KeyMismatch    Code = 406
	TooLarge       Code = 407
	KeyExpired     Code = 408
	InProgress     Code = 409
	Conflict       Code = 500
	InvalidConfig  Code = 501
	NotFound       Code = 502
	WatchGone      Code = 503
	StoreAmbiguous Code = 504
	Lagging        Code = 505
	Internal       Code = 599
)

// Ran says whether a request reached an endpoint.
type Ran int

// Values of Ran.
const (
	RanNo Ran = iota
	RanYes
	RanUnknown
)

// String returns "no", "yes" or "unknown".
func (r Ran) String() string {
	return [...]string{"no", "yes", "unknown"}[r]
}

// Info describes a code for callers and for the documentation.
type Info struct {
	// Code is the number.
	Code Code
	// Name is the code's name in logs and answers.
	Name string
	// Status is the HTTP status an answer with this code has.
	Status int
	// Ran says whether the request reached an endpoint.
	Ran Ran
	// Resend says whether and when the caller may send the request again.
	Resend string
	// Meaning is one sentence for the caller.
	Meaning string
}

// Table lists every code once, in numeric order.
var Table = []Info{
	{OK, "ok", http.StatusOK, RanYes, "not needed", "The whole answer was returned."},
	{ShedTier, "shed_tier", http.StatusTooManyRequests, RanNo, "after Retry-After", "There is no room for the request's tier."},
	{DeadlineTooNear, "deadline_too_near", http.StatusTooManyRequests, RanNo, "after Retry-After, or with a later deadline", "No endpoint can finish the request before its deadline."},
	{TeamLimit, "team_limit", http.StatusTooManyRequests, RanNo, "after Retry-After", "The team's own limit is reached."},
	{QueueFull, "queue_full", http.StatusTooManyRequests, RanNo, "after Retry-After", "The pool's queue is full."},
	{NoEndpoint, "no_endpoint", http.StatusServiceUnavailable, RanNo, "after Retry-After", "No endpoint of the target takes work now."},
	{PlatformDown, "platform_down", http.StatusServiceUnavailable, RanNo, "after Retry-After", "The platform's table can't be reached, so that running at most once can't be assured."},
	{Stopping, "stopping", http.StatusServiceUnavailable, RanNo, "at once, to another host", "The host is stopping."},
	{NotReady, "not_ready", http.StatusServiceUnavailable, RanNo, "after Retry-After", "The host has no configuration yet, or can't take requests now."},
	{Expired, "expired", http.StatusGatewayTimeout, RanNo, "with a new deadline", "The deadline passed before the request was dispatched."},
	{Quarantined, "quarantined", http.StatusUnprocessableEntity, RanNo, "no", "The request is quarantined, because endpoints that ran it crashed."},
	{CutOff, "cut_off", http.StatusServiceUnavailable, RanNo, "after Retry-After", "The failure domain is cut off from what would prove that the key has not run."},
	{CallerGone, "caller_gone", 499, RanNo, "yes", "The caller closed its connection before the request was dispatched."},
	{KeysUnconfirmed, "keys_unconfirmed", http.StatusServiceUnavailable, RanNo, "after Retry-After, to another host", "The host can't confirm that the keys it knows are the current ones."},
	{LimitInQueue, "limit_in_queue", http.StatusServiceUnavailable, RanNo, "with a new time limit", "The request's time limit passed before it was sent to an endpoint."},
	{NoMemory, "no_memory", http.StatusServiceUnavailable, RanNo, "after Retry-After, to another host", "The host has no memory for the request."},
	{OutcomeUnknown, "outcome_unknown", http.StatusBadGateway, RanUnknown, "only if running twice is harmless", "The request may have run."},
	{EndpointLost, "endpoint_lost", http.StatusBadGateway, RanUnknown, "only if running twice is harmless", "The endpoint was lost while it ran the request."},
	{AnswerCut, "answer_cut", http.StatusBadGateway, RanUnknown, "only if running twice is harmless", "The answer ended before its end marker and could not be resumed."},
	{EarlierUnknown, "earlier_unknown", http.StatusServiceUnavailable, RanUnknown, "after Retry-After, with the same key", "This attempt was not run, but whether an earlier one with the same key was can't be seen now."},
	{AnswerUnreadable, "answer_unreadable", http.StatusServiceUnavailable, RanYes, "after Retry-After, with the same key", "The request ran, but its kept answer can't be read now."},
	{EndpointError, "endpoint_error", http.StatusBadGateway, RanUnknown, "only if running twice is harmless", "The endpoint answered with an error status."},
	{TimeLimit, "time_limit", http.StatusGatewayTimeout, RanUnknown, "only if running twice is harmless", "The request's time limit passed before its answer was whole."},
	{BadRequest, "bad_request", http.StatusBadRequest, RanNo, "corrected", "The request is malformed."},
	{Unauthorized, "unauthorized", http.StatusUnauthorized, RanNo, "with a valid key", "The bearer key names no team."},
	{NoRoute, "no_route", http.StatusNotFound, RanNo, "corrected", "No route serves this path or model."},
	{KeyRequired, "key_required", http.StatusBadRequest, RanNo, "with an idempotency key", "The route is not idempotent and needs an idempotency key."},
	{KeyMismatch, "key_mismatch", http.StatusUnprocessableEntity, RanNo, "with a new key", "The idempotency key was used with another request."},
	{TooLarge, "too_large", http.StatusRequestEntityTooLarge, RanNo, "smaller", "The request is larger than its route allows."},
	{KeyExpired, "key_expired", http.StatusUnprocessableEntity, RanUnknown, "with a new key, if running twice is harmless", "The idempotency key is older than the claims that are kept: this attempt was not run, an earlier one may have been."},
	{InProgress, "in_progress", http.StatusConflict, RanUnknown, "after Retry-After, with the same key", "A request with this key is running and can't be joined from here."},
	{Conflict, "conflict", http.StatusConflict, RanNo, "after reading the newer revision", "The resource changed since the revision that the change names."},
	{InvalidConfig, "invalid_config", http.StatusUnprocessableEntity, RanNo, "corrected", "The manifest or settings are not valid."},
	{NotFound, "not_found", http.StatusNotFound, RanNo, "corrected", "The resource or request is not known."},
	{WatchGone, "watch_gone", http.StatusGone, RanNo, "from a fresh read", "The watch can't resume from that revision."},
	{StoreAmbiguous, "store_ambiguous", http.StatusBadGateway, RanUnknown, "with the same change id", "The platform's answer to the change was lost and could not be settled."},
	{Lagging, "lagging", http.StatusServiceUnavailable, RanNo, "not needed; wait for the revision", "The change is accepted, but not yet in force on every live host."},
	{Internal, "internal", http.StatusInternalServerError, RanUnknown, "only if running twice is harmless", "An internal fault."},
}

// Lookup returns the description of c. The second result is false for a code
// that Table doesn't list.
func Lookup(c Code) (Info, bool) {
	for _, info := range Table {
		if info.Code == c {
			return info, true
		}
	}
	return Info{}, false
}

// String returns the code's name, or its number for an unlisted code.
func (c Code) String() string {
	if info, ok := Lookup(c); ok {
		return info.Name
	}
	return strconv.Itoa(int(c))
}

// Error is a typed failure that carries a code to the caller or operator.
type Error struct {
	// Code is the result code.
	Code Code
	// Reason is one sentence on this case.
	Reason string
	// RetryAfter is how long to wait before sending again; zero if unstated.
	RetryAfter time.Duration
}

// Error returns "name (number): reason".
func (e *Error) Error() string {
	return e.Code.String() + " (" + strconv.Itoa(int(e.Code)) + "): " + e.Reason
}

// New returns an Error without a time to come back.
func New(c Code, reason string) *Error {
	return &Error{Code: c, Reason: reason}
}
