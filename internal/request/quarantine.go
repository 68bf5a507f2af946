package request

import (
	"time"

	"github.com/silverswitch/silverswitch/internal/conn"
	"github.com/silverswitch/silverswitch/internal/core"
	"github.com/silverswitch/silverswitch/internal/core/entry"
	"github.com/silverswitch/silverswitch/internal/core/quarantine"
	"github.com/silverswitch/silverswitch/internal/fingerprint"
	"github.com/silverswitch/silverswitch/internal/request/outcome"
	"github.com/silverswitch/silverswitch/internal/version"
)

// content returns the name of what the request asks, computed when it is needed first.
func (r *run) contentFingerprint() fingerprint.Fingerprint {
	if r.print == nil {
		f := r.s.fingerprintKey.Of(fingerprint.Content{
			Organisation: r.call.Organisation,
			Method:       r.call.Method,
			Host:         r.app.Service,
			Target:       r.call.Path,
			Body:         r.call.Body,
		})
		r.print = &f
	}
	return *r.print
}

// crashes returns what is known of the request's content. It needs a fingerprint only
// when something is known of its organisation's requests.
func (r *run) crashes() quarantine.State {
	known := r.s.ctl.Quarantined(r.v.org.ID)
	if len(known) == 0 {
		return quarantine.State{}
	}
	return known[r.contentFingerprint()]
}

// quarantinedFor is how much longer the request is held back since upstreams crashed under it.
// None of it is sent to another one: 60 of them ended under 30 tries without this.
func (r *run) quarantinedFor() time.Duration { return r.crashes().Held(r.s.clock.Now()) }

// refuseQuarantined tells the outcome of a request that is held. After an attempt that may have
// run, or an earlier one with its key, that is unknown.
func (r *run) refuseQuarantined(left time.Duration, doubt bool) {
	r.s.failRequest(r.v, outcome.Refused(entry.ReasonCrashes, left, doubt))
}

// broke says that the upstream may have run the request and gave no whole answer; early
// that the answer had not begun.
func (r *run) reportBrokenAttempt(u *version.Upstream, early bool) {
	r.s.ctl.Broke(core.Broke{Content: r.contentFingerprint(), Org: r.v.org.ID, Upstream: u.ID, Began: r.sentAt, Early: early})
}

// reportRefusedConnection says so when the upstream's process has ended.
func (r *run) reportRefusedConnection(u *version.Upstream, err error) {
	if conn.IsRefused(err) {
		r.s.ctl.ConnRefused(u.ID)
	}
}

// answeredWhole says that the request has been answered whole, if crashes are set down to
// it: it was not what ended those upstreams.
func (r *run) answeredWhole() {
	if r.crashes().Crashes > 0 {
		r.s.ctl.AnsweredWhole(r.contentFingerprint())
	}
}
