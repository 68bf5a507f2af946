package dispatch

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/silverswitch/silverswitch/internal/core/wire"
	"github.com/silverswitch/silverswitch/internal/version"
)

// Versions whose upstreams fail. While several versions serve, a new stream begins at the version of
// its home (versionhistory.go). A version is out of use while its upstreams fail or are silent: its
// new streams begin at the next instance, in the order of their rank as the stream's home, that runs a
// version in use. An occasional stream is still sent there, so that the version comes back by itself.
//
// What begins elsewhere than at its home can't be proved by the history of versions once nobody has
// its record. So a version is taken out of use by failures only, not for lack of room, and quickly
// only while it is unproven: listed for less than a stream's life, and nothing there has answered yet.
// No history proves the streams of such a version.
//
// Load pattern: a release is rolled to half of the upstreams, and what it installs does not serve.

const (
	// outAfterFailures is the number of attempts at a version, at more than half of its open upstreams,
	// that fail or are overdue, without an answer between them, until the version is out of use.
	outAfterFailures = 3
	// maxUnprovenAttempts bounds the unanswered attempts at an unproven version.
	maxUnprovenAttempts = 2
	// overdueFactor is the number of expected times after which an attempt without an event is
	// overdue, if one of the same router that was sent later to another version has been answered.
	overdueFactor = silenceFactor
	// judgeInterval is how often a version's unanswered attempts are looked at.
	judgeInterval = TickInterval
	// toldFailuresTTL is how long failures count that another router tells of.
	toldFailuresTTL = maxEjectionDuration
	// maxToldFailures bounds the upstreams in one message on failures.
	maxToldFailures = 64
)

// versionUse is what attempts have shown of one version's upstreams together.
type versionUse struct {
	answered     bool                      // an attempt was answered
	answeredAt   time.Time                 // when the latest answer came
	answeredUpTo time.Time                 // when the latest attempt that was answered was placed
	answeredTo   map[wire.NodeID]time.Time // the same, by the router of the attempt
	failures     int                       // consecutive failed attempts since the latest answer
	failed       map[version.ID]bool       // upstreams of these
	judgedAt     time.Time                 // when its unanswered attempts were last looked at

	told   map[wire.NodeID]toldFailures // by other routers, since the latest answer
	tells  bool                         // the failures have changed since other routers were told
	toldOf bool                         // other routers count failures of this one

	out      bool          // of use
	since    time.Time     // when it went out of use
	probeAt  time.Time     // when the next attempt is due while it is out of use
	duration time.Duration // between attempts, which doubles
}

// toldFailures are upstreams that failed another router.
type toldFailures struct {
	upstreams []version.ID
	at        time.Time
}

// versionUses are the uses of a service's versions while it has several.
type versionUses struct {
	byVersion map[version.ID]*versionUse
	changes   []versionUseChange // not yet logged
}

// versionUseChange says that a version went out of use, or came back.
type versionUseChange struct {
	version  version.ID
	out      bool
	failures int
	failing  failingUpstreams
	lasted   time.Duration
}

// of returns the use of a version.
func (l *versionUses) of(v version.ID) *versionUse {
	s := l.byVersion[v]
	if s == nil {
		s = &versionUse{answeredTo: map[wire.NodeID]time.Time{}, failed: map[version.ID]bool{}, told: map[wire.NodeID]toldFailures{}}
		if l.byVersion == nil {
			l.byVersion = map[version.ID]*versionUse{}
		}
		l.byVersion[v] = s
	}
	return s
}

// answeredElsewhere reports whether an attempt at another version was answered.
func (l *versionUses) answeredElsewhere(v version.ID) bool {
	for other, s := range l.byVersion {
		if other != v && !s.answeredUpTo.IsZero() {
			return true
		}
	}
	return false
}

// overtaken reports whether an attempt of the same router that was sent later, to another version, was
// answered. A router that has ended, or reads answers late, does not tell of answers.
func (l *versionUses) overtaken(r *run, v version.ID) bool {
	for other, s := range l.byVersion {
		if other != v && r.placedAt.Before(s.answeredTo[r.key.node]) {
			return true
		}
	}
	return false
}

// versionAnswered records that an attempt was answered.
func (p *pool) versionAnswered(r *run, now time.Time) {
	if !p.history.mixedNow {
		return
	}
	s := p.uses.of(r.up.version)
	s.answered, s.failures = true, 0
	clear(s.failed)
	clear(s.told)
	s.tells = s.toldOf
	s.answeredAt = now
	s.answeredUpTo = later(s.answeredUpTo, r.placedAt)
	s.answeredTo[r.key.node] = later(s.answeredTo[r.key.node], r.placedAt)
	if s.out {
		s.out, s.duration = false, 0
		p.uses.changes = append(p.uses.changes, versionUseChange{version: r.up.version, lasted: now.Sub(s.since)})
	}
}

// versionFailed records that an attempt has failed. An upstream that does not run a request while it
// runs others is full.
func (p *pool) versionFailed(r *run, now time.Time) {
	if !p.history.mixedNow || r.rejected && r.up.runsOthers(r) || r.firstEvent || r.ranOutOfTime(now) {
		return
	}
	s := p.uses.of(r.up.version)
	s.failures++
	s.tells = s.tells || !s.failed[r.up.id]
	s.failed[r.up.id] = true
	p.judgeVersion(r.up.version, s, now)
}

// runsOthers reports whether an upstream runs other requests, as far as is known.
func (u *upstream) runsOthers(r *run) bool {
	if u.running() > len(u.runs) {
		return true // stated by other routers
	}
	for _, other := range u.runs {
		if other != r && other.firstEvent {
			return true
		}
	}
	return false
}

// judgeVersion takes a version out of use if its upstreams fail.
func (p *pool) judgeVersion(v version.ID, s *versionUse, now time.Time) {
	s.judgedAt = now
	if s.out {
		return
	}
	f := p.failingOf(v, s, now)
	failures := s.failures + f.told
	if fewFail := failures+f.overdue < outAfterFailures || 2*f.failing <= f.open; fewFail && !(failures > 0 && p.isUnproven(v, s, now)) {
		return
	}
	s.out, s.since, s.duration = true, now, minEjectionDuration
	s.probeAt = now.Add(s.duration)
	p.uses.changes = append(p.uses.changes, versionUseChange{version: v, out: true, failures: s.failures, failing: f})
}

// failingUpstreams counts the upstreams of a version.
type failingUpstreams struct {
	open    int // neither leaving nor evacuated
	failing int // of these, by failures or silence since the version's latest answer
	told    int // of these, by failures that other routers tell of alone
	overdue int // attempts without an event
}

func (p *pool) failingOf(v version.ID, s *versionUse, now time.Time) (f failingUpstreams) {
	for _, u := range p.order {
		if u.version != v || u.closed() {
			continue
		}
		f.open++
		overdue := 0
		for _, r := range u.unread {
			if r.placedAt.After(s.answeredUpTo) && r.isOverdue(now) && p.uses.overtaken(r, v) {
				overdue++
			}
		}
		f.overdue += overdue
		told := overdue == 0 && !s.failed[u.id] && s.wasTold(u.id, now)
		if told {
			f.told++
		}
		if told || overdue > 0 || s.failed[u.id] {
			f.failing++
		}
	}
	return f
}

// wasTold reports whether another router has told that an upstream fails. It counts where nothing at
// the version has answered this router lately: the other one may not reach it.
func (s *versionUse) wasTold(id version.ID, now time.Time) bool {
	if now.Sub(s.answeredAt) < toldFailuresTTL {
		return false
	}
	for _, t := range s.told {
		if now.Sub(t.at) < toldFailuresTTL && slices.Contains(t.upstreams, id) {
			return true
		}
	}
	return false
}

// failedLast reports whether an upstream has failed since its version last answered. Streams that are
// bound to the version try others first, which finds one that works, or shows that none does.
func (p *pool) failedLast(u *upstream, a *wire.PlacementRequest, now time.Time) bool {
	if a.Version == 0 {
		return false
	}
	s := p.uses.byVersion[u.version]
	return s != nil && (s.failed[u.id] || s.wasTold(u.id, now))
}

// deadlineSlack is how long before its deadline an attempt may be reported as failed for it.
const deadlineSlack = 50 * time.Millisecond

// ranOutOfTime reports whether a run that failed had less time than an answer was expected to take, as
// far as its caller's deadline tells.
func (r *run) ranOutOfTime(now time.Time) bool {
	return !now.Before(r.until.Add(-runGrace-deadlineSlack)) && !r.isOverdue(now)
}

// isOverdue reports whether a run without an event takes several times as long as was expected.
func (r *run) isOverdue(now time.Time) bool {
	expected := time.Duration(overdueFactor * r.expectMS * float64(time.Millisecond))
	return now.Sub(r.placedAt) > max(minSilence, expected)
}

// expectedMS is the expected time to the first event of a choice, in milliseconds.
func (p *pool) expectedMS(c *choice) float64 {
	switch {
	case p.engine != nil:
		return p.learner.Model().Base + c.waitMS + c.ownMS
	case p.slots != nil:
		return p.slots.service.MS() * c.up.slowFactor
	}
	return float64(p.baseline) * c.up.slowFactor
}

// isUnproven reports whether a version has been listed for less than a stream's life, and nothing
// there has answered.
func (p *pool) isUnproven(v version.ID, s *versionUse, now time.Time) bool {
	return !s.answered && p.history.isYoung(v, p.streamLife, now)
}

// versionInUse reports whether a new stream may begin at a version, as far as is known of its upstreams.
func (p *pool) versionInUse(v version.ID, a *wire.PlacementRequest, now time.Time) bool {
	if !p.hasWorking(v, a, now) {
		return false
	}
	s := p.uses.of(v)
	if now.Sub(s.judgedAt) >= judgeInterval {
		p.judgeVersion(v, s, now)
	}
	repeated := len(a.Avoid) > 0 // and so no probe: it has failed once
	if s.out && (repeated || now.Before(s.probeAt)) {
		return false
	}
	return !p.awaitsFirstAnswer(v, s, repeated, now)
}

// hasWorking reports whether some upstream of a version may be used, and is not ejected. Upstreams
// that ask for backoff lack room.
func (p *pool) hasWorking(v version.ID, a *wire.PlacementRequest, now time.Time) bool {
	return slices.ContainsFunc(p.order, func(u *upstream) bool {
		return u.version == v && !u.closed() && !u.ejection.active(now) && u.inAllowedRegion(a.Regions) && !slices.Contains(a.Avoid, u.id)
	})
}

// awaitsFirstAnswer reports whether an unproven version, beside one that answers, has as many attempts
// as it gets before its first answer.
func (p *pool) awaitsFirstAnswer(v version.ID, s *versionUse, repeated bool, now time.Time) bool {
	if !p.isUnproven(v, s, now) || !p.uses.answeredElsewhere(v) {
		return false
	}
	unanswered := 0
	for _, u := range p.order {
		if u.version == v {
			unanswered += len(u.unread)
		}
	}
	return repeated || unanswered >= maxUnprovenAttempts
}

// homeOf returns the version at which a new stream has to begin, 0 for any.
func (p *pool) homeOf(a *wire.PlacementRequest, now time.Time) version.ID {
	home, mixed := p.history.home(a.Stream)
	if !mixed || p.versionInUse(home, a, now) {
		return home
	}
	verdicts := map[version.ID]bool{home: false}
	next, found := p.history.homeAmong(a.Stream, func(v version.ID) bool {
		use, known := verdicts[v]
		if !known {
			use = p.versionInUse(v, a, now)
			verdicts[v] = use
		}
		return use
	})
	switch {
	case found:
		return next
	case p.hasOpen(home, a.Regions, a.Avoid):
		return home // no version is in use, so a try is better than a refusal
	}
	return 0
}

// startProbe counts an attempt at a version that is out of use.
func (p *pool) startProbe(r *run, now time.Time) {
	s := p.uses.byVersion[r.up.version]
	if s == nil || !s.out || now.Before(s.probeAt) {
		return
	}
	r.probes = true
	s.duration = min(2*s.duration, maxEjectionDuration)
	s.probeAt = now.Add(s.duration)
}

// returnProbe makes up for an attempt that was not sent.
func (p *pool) returnProbe(r *run, now time.Time) {
	if s := p.uses.byVersion[r.up.version]; r.probes && s != nil && s.out {
		s.duration = max(s.duration/2, minEjectionDuration)
		s.probeAt = now
	}
}

// refusesProved reports whether a version is out of use for streams that only the history of versions
// knows. A retry could not go elsewhere.
func (p *pool) refusesProved(v version.ID, now time.Time) bool {
	s := p.uses.byVersion[v]
	return s != nil && s.out && now.Before(s.probeAt)
}

// keepsHome reports whether a placement of this router's request by another router keeps to the
// version of the stream, or to that of its home. A version that is out of use at the scheduler may be
// in use here.
func (f *inflightRequest) keepsHome(p *pool, u *upstream, regions []version.ID, now time.Time) bool {
	if f.version != 0 || f.req.Stream == 0 || f.req.Resumed {
		return f.version == 0 || f.version == u.version
	}
	home, mixed := p.history.home(f.req.Stream)
	if !mixed || u.version == home || f.instead == home {
		return true
	}
	v := p.homeOf(&wire.PlacementRequest{Stream: f.req.Stream, Regions: regions, Avoid: f.avoid}, now)
	return v == 0 || v == u.version
}

// leftHome returns the version of a new stream's home, if the stream is placed at another one that it
// need not have been. A version without upstreams in the allowed regions is never one's home.
func (p *pool) leftHome(stream uint64, regions []version.ID, at *upstream) (home version.ID, left bool) {
	home, mixed := p.history.home(stream)
	if stream == 0 || !mixed || home == at.version {
		return 0, false
	}
	return home, slices.ContainsFunc(p.order, func(u *upstream) bool { return u.version == home && u.inAllowedRegion(regions) })
}

// recordElsewhere records that a new stream of this router begins elsewhere than at its home's
// version.
func (n *Node) recordElsewhere(f *inflightRequest, u *upstream, now time.Time) {
	p := n.pools[f.service]
	if p == nil || f.version != 0 || f.req.Resumed {
		return
	}
	home, left := p.leftHome(f.req.Stream, regionIDs(f.req.Regions), u)
	if !left {
		return
	}
	n.Counts.StreamsElsewhere++
	n.breakCover(p, home, f.scheduler == n.settings.ID, now)
}

// replyElsewhere tells a router that its stream begins elsewhere than at its home's version.
func (n *Node) replyElsewhere(to wire.NodeID, p *pool, a *wire.PlacementRequest, u *upstream, now time.Time) {
	if a.Resumed || a.Stream == 0 {
		return
	}
	if home, left := p.leftHome(a.Stream, a.Regions, u); left {
		w := n.work(to)
		w.Elsewhere = append(w.Elsewhere, wire.StreamReply{No: a.No, Version: home})
		n.breakCover(p, home, true, now)
	}
}

// handleElsewhere takes note of requests that the scheduler has placed elsewhere than at their home's
// version.
func (n *Node) handleElsewhere(from wire.NodeID, list []wire.StreamReply) {
	for _, r := range list {
		if f := n.inflight[r.No]; f != nil && f.scheduler == from && f.upstreamID == 0 {
			f.instead = r.Version
		}
	}
}

// breakCover records that streams whose home runs a version begin elsewhere now.
func (n *Node) breakCover(p *pool, v version.ID, tell bool, now time.Time) {
	p.history.addOutage(versionOutage{v, now, now})
	if tell {
		p.history.outageTells, p.history.outagesUntold = outageTells, true
	}
}

// tickVersionUses logs which versions went out of use or came back.
func (n *Node) tickVersionUses(now time.Time) {
	for _, p := range n.pools {
		if !p.history.mixedNow {
			p.uses = versionUses{}
			continue
		}
		for _, c := range p.uses.changes {
			n.versionUseChanged(p, c, now)
		}
		p.uses.changes = nil
		if !n.needsScheduler(p, now) {
			n.tellFailures(p)
		}
	}
}

// tellFailures tells the other routers, which choose upstreams by themselves, what failed here.
func (n *Node) tellFailures(p *pool) {
	for _, v := range slices.Sorted(maps.Keys(p.uses.byVersion)) {
		s := p.uses.byVersion[v]
		if !s.tells {
			continue
		}
		s.tells, s.toldOf = false, len(s.failed) > 0
		failed := slices.Sorted(maps.Keys(s.failed))
		m := wire.VersionFailures{Service: p.id, Version: v, Upstreams: failed[:min(maxToldFailures, len(failed))]}
		for _, id := range n.otherRouters(n.members.Live(true)) {
			w := n.work(id)
			w.VersionFailures = append(w.VersionFailures, m)
		}
	}
}

// handleVersionFailures takes note of upstreams that failed another router.
func (n *Node) handleVersionFailures(from wire.NodeID, list []wire.VersionFailures, now time.Time) {
	for _, m := range list {
		p := n.pools[m.Service]
		if p == nil || !p.history.mixedNow {
			continue
		}
		s := p.uses.of(m.Version)
		s.told[from] = toldFailures{m.Upstreams, now}
		p.judgeVersion(m.Version, s, now)
	}
}

func (n *Node) versionUseChanged(p *pool, c versionUseChange, now time.Time) {
	if !c.out {
		n.event(Event{Name: "version-back-in-use", Value: uint64(c.lasted.Milliseconds()), Detail: p.versionName(c.version) + " at " + p.service})
		return
	}
	if now.Sub(n.startedAt) < p.streamLife {
		n.breakCover(p, c.version, true, now) // its streams may have begun elsewhere before the start too
	}
	n.Counts.VersionsOutOfUse++
	n.event(Event{Name: "version-out-of-use", Value: uint64(c.failures + c.failing.overdue), Detail: fmt.Sprintf("%s at %s: %d attempts failed, %d overdue, at %d of %d upstreams, %d of these at other routers",
		p.versionName(c.version), p.service, c.failures, c.failing.overdue, c.failing.failing, c.failing.open, c.failing.told)})
}

// versionName returns the name of a version, "" if no upstream runs it.
func (p *pool) versionName(v version.ID) string {
	for _, u := range p.order {
		if u.version == v {
			return u.inst.Version
		}
	}
	return ""
}
