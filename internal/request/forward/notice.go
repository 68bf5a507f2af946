package forward

import (
	"net/http"
	"strconv"
	"time"
)

// headerRetryAfter is RFC 9110's, in seconds; upstreams and routers may send fractions.
const headerRetryAfter = "Retry-After"

// notice is what an upstream says of itself on an answer, whatever it answers.
type notice struct {
	leaving bool
	backoff time.Duration // it wants nothing of this router for so long, 0 when it does not say
}

// maxBackoff bounds what an upstream may ask for: a time that is wrong by orders of magnitude
// must not keep it out of use until it starts again.
const maxBackoff = 10 * time.Minute

// readNotice reads the notice on an answer. A misdirected request was answered by another
// upstream than the one it was sent to, so its answer says nothing of that one.
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

func parseRetryAfter(h http.Header) time.Duration {
	return parseDuration(h.Get(headerRetryAfter), time.Second, maxBackoff)
}

// parseDuration reads a time that an upstream states in a unit, up to a bound; one that cannot be
// read says nothing.
func parseDuration(text string, unit, most time.Duration) time.Duration {
	n, err := strconv.ParseFloat(text, 64)
	if err != nil || !(n > 0) {
		return 0
	}
	return time.Duration(min(n*float64(unit), float64(most)))
}

// heard passes on the notice on an answer of an upstream's start.
func (s *Server) handleNotice(start string, res *http.Response) {
	n := s.dialect.readNotice(res)
	if n.leaving {
		s.count.leavingNotices.Inc(1)
		s.ctl.UpstreamLeaves(start)
	}
	if n.backoff > 0 {
		s.count.backoffNotices.Inc(1)
		s.ctl.UpstreamBacksOff(start, n.backoff)
	}
	if n == (notice{}) {
		return
	}
	if e := s.reqLog.notice(); e != nil {
		e.Str("upstream", start).Bool("leaving", n.leaving).Int64("backoff_ms", n.backoff.Milliseconds()).Int("status", res.StatusCode).Msg("upstream-notice")
	}
}
