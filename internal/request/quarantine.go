package request

import (
	"time"

	"github.com/silverswitch/silverswitch/internal/conn"
	"github.com/silverswitch/silverswitch/internal/core"
	"github.com/silverswitch/silverswitch/internal/core/entry"
	"github.com/silverswitch/silverswitch/internal/core/quarantine"
	"github.com/silverswitch/silverswitch/internal/fingerprint"
	"github.com/silverswitch/silverswitch/internal/version"
)

// contentFingerprint returns the fingerprint of the request's content, computed on first
// use.
func (r *run) contentFingerprint() fingerprint.Fingerprint {
	if r.print == nil {
		f := r.s.fingerprintKey.Of(fingerprint.Content{
			Organisation: r.call.Organisation,
			Method:       r.call.Method,
			Host:         r.app.Service,
			Target:       r.call.Path,
			Body:         [][]byte{r.call.Body},
		})
		r.print = &f
	}
	return *r.print
}

// crashes returns the quarantine state of the request. The fingerprint is computed only if
// the organisation has requests during which upstreams crashed.
func (r *run) crashes() quarantine.State {
	known := r.s.ctrl.Quarantined(r.v.org.ID)
	if len(known) == 0 {
		return quarantine.State{}
	}
	return known[r.contentFingerprint()]
}

// quarantinedFor returns how much longer the request is quarantined because upstreams
// crashed during it; 0 if it is not. A quarantined request is sent to no further upstream:
// without quarantine, 30 tries crashed 60 upstreams.
func (r *run) quarantinedFor() time.Duration { return r.crashes().Held(r.s.clock.Now()) }

// refuseQuarantined ends a quarantined request. earlier is true if an earlier request with its key may
// have run.
func (r *run) refuseQuarantined(left time.Duration, earlier bool) {
	r.refuse(entry.ReasonCrashes, left, earlier)
}

// reportBrokenAttempt reports to the control state that the upstream may have run the
// request and gave no whole answer. early is true if the answer had not begun.
func (r *run) reportBrokenAttempt(u *version.Upstream, early bool) {
	r.s.ctrl.AttemptIncomplete(core.AttemptIncomplete{Content: r.contentFingerprint(), Org: r.v.org.ID, Upstream: u.ID, Began: r.sentAt, Early: early})
}

// reportRefusedConnection reports to the control state if the connection was refused: the
// upstream's process has ended.
func (r *run) reportRefusedConnection(u *version.Upstream, err error) {
	if conn.IsRefused(err) {
		r.s.ctrl.ConnRefused(u.ID)
	}
}

// answeredWhole reports a whole answer to the control state if crashes are attributed to
// the request: the answer shows that the request did not cause them.
func (r *run) answeredWhole() {
	if r.crashes().Crashes > 0 {
		r.s.ctrl.AnsweredWhole(r.contentFingerprint())
	}
}
