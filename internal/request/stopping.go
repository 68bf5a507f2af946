package request

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/silverswitch/silverswitch/internal/request/outcome"
)

// stopRetryDelay is the Retry-After of a request that the end of a planned stop has ended.
const stopRetryDelay = 100 * time.Millisecond

// errStopping is why a run ends at the end of a planned stop.
var errStopping = errors.New("the grace of a planned stop is over")

// EndUnanswered ends all requests whose answers have not begun, at the end of a planned stop. Their
// callers are told.
func (s *Server) EndUnanswered() { s.tell() }

// stopping returns the failure of a request that the end of a planned stop has ended.
func stopping(mayHaveRun bool) outcome.Failure {
	f := outcome.Failure{Kind: outcome.NotRun, Status: http.StatusServiceUnavailable, Reason: outcome.ReasonStopping, Detail: "this router has stopped", RetryDelay: stopRetryDelay}
	if mayHaveRun {
		f.Kind, f.Status, f.RetryDelay = outcome.Unknown, http.StatusBadGateway, 0
	}
	return f
}

// watchStop makes the end of a planned stop end the run, unless its answer has begun.
func (r *run) watchStop(end context.CancelCauseFunc) (undo func() bool) {
	return context.AfterFunc(r.s.over, func() {
		if !r.begun.Load() {
			end(errStopping)
		}
	})
}

// stopped reports whether the end of a planned stop has ended the run.
func (r *run) stopped() bool { return errors.Is(context.Cause(r.waitCtx), errStopping) }
