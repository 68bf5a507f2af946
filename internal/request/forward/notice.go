package forward

import (
	"net/http"
	"strconv"
	"time"
)

// headerRetryAfter is the header of RFC 9110, in seconds. Upstreams and routers may send
// fractions of a second.
const headerRetryAfter = "Retry-After"

// notice is what an upstream states about itself on an answer, whatever the answer is.
type notice struct {
	leaving bool
	backoff time.Duration // for which it wants no requests from this router, 0 if not stated
}

// maxBackoff bounds the backoff of an upstream: a value that is wrong by orders of magnitude
// must not keep the upstream out of use until it restarts.
const maxBackoff = 10 * time.Minute

// readNotice reads the notice on an answer. Status 421 (misdirected request) comes from
// another upstream than the one the request was sent to, so it is ignored.
func (d *Dialect) readNotice(res *http.Response) notice {
	if res.StatusCode == http.StatusMisdirectedRequest {
		return notice{}
	}
	n := notice{leaving: res.Header.Get(d.Leaving) == "1"}
	if res.StatusCode == http.StatusServiceUnavailable {
		n.backoff = parseRetryAfter(res.Header)
	}
	return n
}

// parseRetryAfter returns 0 for a missing or malformed Retry-After, and at most maxBackoff.
func parseRetryAfter(h http.Header) time.Duration {
	return parseDuration(h.Get(headerRetryAfter), time.Second, maxBackoff)
}

// parseDuration parses a decimal number of units. It returns at most limit, and 0 if the
// text is malformed or not positive.
func parseDuration(text string, unit, limit time.Duration) time.Duration {
	n, err := strconv.ParseFloat(text, 64)
	if err != nil || !(n > 0) {
		return 0
	}
	return time.Duration(min(n*float64(unit), float64(limit)))
}

// handleNotice reports the notice on an answer to the control state. start identifies the
// upstream's process.
func (s *Server) handleNotice(start string, res *http.Response) {
	n := s.dialect.readNotice(res)
	if n.leaving {
		s.count.leavingNotices.Inc(1)
		s.ctrl.UpstreamLeaving(start)
	}
	if n.backoff > 0 {
		s.count.backoffNotices.Inc(1)
		s.ctrl.UpstreamBacksOff(start, n.backoff)
	}
	if n == (notice{}) {
		return
	}
	if e := s.reqLog.notice(); e != nil {
		e.Str("upstream", start).Bool("leaving", n.leaving).Int64("backoff_ms", n.backoff.Milliseconds()).Int("status", res.StatusCode).Msg("upstream-notice")
	}
}
