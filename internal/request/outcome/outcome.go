// Package outcome defines the three outcomes of a request and how they are sent to the
// caller. An outcome is a value that is built where it becomes known and written once.
package outcome

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/silverswitch/silverswitch/internal/core/entry"
)

// Kind says what is known about a request at its end.
type Kind string

// The outcomes. NotRun is allowed only if nothing of the request has reached an upstream, or
// if the upstream's own reply proves that the request did not start.
const (
	Answered Kind = "answered"
	NotRun   Kind = "not-run"
	Unknown  Kind = "unknown"
)

// Headers of every response.
const (
	HeaderOutcome   = "Silverswitch-Outcome"
	HeaderReason    = "Silverswitch-Reason"
	HeaderRequestID = "X-Request-Id"
)

// Reasons in HeaderReason, in addition to those of entry.Reason.
const (
	ReasonKey         = "unknown-api-key"
	ReasonApplication = "unknown-application"
	ReasonBody        = "bad-body"
	ReasonTooLarge    = "body-too-large"
	ReasonSlow        = "body-too-slow"
	ReasonHeader      = "bad-header"
	ReasonPath        = "unknown-path"
	ReasonPlace       = "router-not-in-allowed-place"
	ReasonCanceled    = "caller-went-away"
	ReasonUpstream    = "upstream-failed"
	ReasonBroken      = "answer-broken"
	ReasonForeign     = "answer-of-another-request"
	ReasonStopping    = "router-stopping"
)

// Failure is an outcome without an answer.
type Failure struct {
	Kind       Kind
	Status     int
	Reason     string
	Detail     string        // for people to read; never contains request content
	RetryDelay time.Duration // sent as Retry-After; 0 if a retry is of no use
	Location   string        // Location header of a redirect
}

// Error implements error, so that handlers can return a Failure.
func (f Failure) Error() string { return f.Reason + ": " + f.Detail }

// BadRequest returns the failure of a request that no router would run.
func BadRequest(status int, reason, detail string) Failure {
	return Failure{Kind: NotRun, Status: status, Reason: reason, Detail: detail}
}

// Refused returns the failure for a refusal by the control state. If mayHaveRun is true, an
// earlier attempt with the same key may have run, so the outcome is unknown.
func Refused(reason entry.Reason, after time.Duration, mayHaveRun bool) Failure {
	f := Failure{Kind: NotRun, Status: statusOf(reason), Reason: string(reason), Detail: refusalDetails[reason], RetryDelay: after}
	if mayHaveRun {
		f.Kind = Unknown
	}
	return f
}

func statusOf(reason entry.Reason) int {
	switch reason {
	case entry.ReasonQueueFull:
		return http.StatusTooManyRequests
	case entry.ReasonWithdrawn:
		return http.StatusForbidden
	case entry.ReasonKeyTaken, entry.ReasonKeyExpired, entry.ReasonKeyForgotten:
		return http.StatusConflict
	}
	return http.StatusServiceUnavailable
}

var refusalDetails = map[entry.Reason]string{
	entry.ReasonQueueFull:    "the organisation's queue at this router is full",
	entry.ReasonDeadline:     "the deadline passes before a slot is free",
	entry.ReasonNoUpstream:   "no upstream in the organisation's places takes new work",
	entry.ReasonNoVersion:    "this router has no configuration yet",
	entry.ReasonWithdrawn:    "the organisation may not call this application here",
	entry.ReasonNoWitnesses:  "too few routers could vouch for the idempotency key",
	entry.ReasonKeyTaken:     "another attempt with this idempotency key runs, has run, or may have run",
	entry.ReasonKeyExpired:   "the idempotency key was minted too long ago or in the future",
	entry.ReasonKeyForgotten: "routers that remember keys of that time are gone",
	entry.ReasonMemory:       "the organisation's requests hold their share of this router's memory",
	entry.ReasonCrashes:      "upstreams crashed each time that they ran this request; the same may be tried again later",
}

// errorBody is the JSON body of every failure. It follows the OpenAI error object, so that
// client libraries display it.
type errorBody struct {
	Error struct {
		Message    string  `json:"message"`
		Type       string  `json:"type"`
		Code       string  `json:"code"`
		Outcome    Kind    `json:"outcome"`
		RetryAfter float64 `json:"retry_after_seconds,omitempty"`
		RequestID  string  `json:"request_id"`
	} `json:"error"`
}

// Write sends a failure to the caller.
func Write(w http.ResponseWriter, id string, f Failure) {
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set(HeaderOutcome, string(f.Kind))
	h.Set(HeaderReason, f.Reason)
	h.Set(HeaderRequestID, id)
	if f.RetryDelay > 0 {
		h.Set("Retry-After", strconv.Itoa(ceilSeconds(f.RetryDelay)))
	}
	if f.Location != "" {
		h.Set("Location", f.Location)
	}
	var b errorBody
	b.Error.Message = f.Detail
	b.Error.Type = "silverswitch_error"
	b.Error.Code = f.Reason
	b.Error.Outcome = f.Kind
	b.Error.RetryAfter = f.RetryDelay.Seconds()
	b.Error.RequestID = id
	w.WriteHeader(f.Status)
	_ = json.NewEncoder(w).Encode(b) // the caller may be gone
}

// ceilSeconds rounds up to whole seconds, as a request that is retried too early would be
// refused again.
func ceilSeconds(d time.Duration) int {
	return int((d + time.Second - 1) / time.Second)
}
