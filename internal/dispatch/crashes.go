package dispatch

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/silverswitch/silverswitch/internal/core/wire"
	"github.com/silverswitch/silverswitch/internal/dispatch/quarantine"
	"github.com/silverswitch/silverswitch/internal/request/fingerprint"
	"github.com/silverswitch/silverswitch/internal/routing"
	"github.com/silverswitch/silverswitch/internal/version"
)

// Requests that crash upstreams: which attempts were running when an upstream crashed, and
// how the fleet comes to know. Package quarantine decides what follows.
//
// An attempt that ends without a whole answer is a doubt: the answer may have been lost,
// cut, or given up by its caller. It becomes a crash once the upstream is known to have
// ended: its address refuses connections, or its entry has gone and it was not leaving.

const (
	// doubtFor is how long the end of an upstream is set down to attempts before it: its
	// entry goes after three missing heartbeats of 1.2 s, and a little for the news.
	doubtFor = 5 * time.Second
	// maxDoubts bounds the doubts at one upstream: it runs at most 64 requests at once.
	maxDoubts = 256
	// endedFor is how long an upstream's end is remembered, for attempts there whose
	// connections have not told it yet: as long as a stream lasts.
	endedFor = 30 * time.Second
	// probeAgain is the least time between two looks at one upstream.
	probeAgain = 200 * time.Millisecond
	// tellTimes is how often a router tells its news of a request, tellAgain how long
	// after each other: of a hundred datagrams three may be lost, of a million news 27.
	tellTimes = 3
	tellAgain = 100 * time.Millisecond
	// mostTold bounds the requests told in one datagram, at 60 bytes each; mostHeld when
	// two routers join all that they hold.
	mostTold = 64
	mostHeld = 500
	// joinAgain is the least time between two such exchanges of two routers.
	joinAgain = time.Second
	// expireEvery is how often what says nothing any more is forgotten.
	expireEvery = time.Second
)

// Broke says that an attempt ended without a whole answer though the upstream may have
// run it. Lost says that the upstream's side ended the connection.
type Broke struct {
	Content  fingerprint.Fingerprint
	Org      string
	Instance routing.Instance
	Lost     bool
}

// ConnRefused says that an instance's address refuses connections: its process has ended.
type ConnRefused struct{ Instance routing.Instance }

// Answered says that a request which was suspected has been answered whole.
type Answered struct{ Content fingerprint.Fingerprint }

func (Broke) input()       {}
func (ConnRefused) input() {}
func (Answered) input()    {}

// Probe asks the driver whether an instance's address refuses connections.
type Probe struct{ Instance routing.Instance }

// UpstreamEnded says that an upstream has ended without notice, by what that is known, and
// how many attempts of this router it left without an answer.
type UpstreamEnded struct {
	Instance routing.Instance
	By       string
	Running  int
}

// QuarantineReport is a change of what is believed of a request.
type QuarantineReport struct {
	Content fingerprint.Fingerprint
	Org     string
	Crashes int           // since its last whole answer
	Held    time.Duration // how much longer it is held, 0 when it is not
	From    wire.NodeID   // who saw it
}

func (Probe) output()            {}
func (UpstreamEnded) output()    {}
func (QuarantineReport) output() {}

// doubt is an attempt that ended without a whole answer.
type doubt struct {
	content fingerprint.Fingerprint
	org     version.ID
	at      time.Time
}

// crashes is what this router knows of requests that crash upstreams.
type crashes struct {
	list   *quarantine.List
	doubts map[version.ID][]doubt   // by upstream
	ended  map[version.ID]time.Time // upstreams known to have crashed
	left   map[version.ID]time.Time // upstreams that were leaving, and have left
	probed map[version.ID]time.Time
	news   map[fingerprint.Fingerprint]news
	joined map[wire.NodeID]time.Time // when all that is held was last told to a router
	expire time.Time
}

// news is how often what has changed of a request is still to be told, and when next.
type news struct {
	left int
	due  time.Time
}

func newCrashes() crashes {
	return crashes{
		list:   quarantine.New(),
		doubts: map[version.ID][]doubt{},
		ended:  map[version.ID]time.Time{},
		left:   map[version.ID]time.Time{},
		probed: map[version.ID]time.Time{},
		news:   map[fingerprint.Fingerprint]news{},
		joined: map[wire.NodeID]time.Time{},
	}
}

// Quarantine returns a copy of what is known of requests, and whether it has changed since
// the last call.
func (n *Node) Quarantine() (quarantine.View, bool) { return n.crashes.list.View() }

// broke takes an attempt without a whole answer.
func (n *Node) broke(in Broke, now time.Time) {
	s := &n.crashes
	up := version.IDOf(in.Instance.Start())
	if n.isLeaving(in.Instance) {
		return // its end is planned, and says nothing of what it still runs
	}
	d := doubt{in.Content, version.IDOf(in.Org), now}
	if _, ended := s.ended[up]; ended {
		n.crashed(up, d, now)
		return
	}
	if list := s.doubts[up]; len(list) < maxDoubts {
		s.doubts[up] = append(list, d)
	}
	if in.Lost && now.Sub(s.probed[up]) >= probeAgain {
		s.probed[up] = now
		n.out = append(n.out, Probe{Instance: in.Instance})
	}
}

// isLeaving reports whether an instance is known to be leaving, or to have left so.
func (n *Node) isLeaving(i routing.Instance) bool {
	up := version.IDOf(i.Start())
	if _, left := n.crashes.left[up]; left {
		return true
	}
	p := n.pools[serviceID(i.Service)]
	if p == nil {
		return false
	}
	u := p.ups[up]
	return u != nil && u.inst.Draining
}

// entryGone takes an upstream whose entry has gone.
func (n *Node) entryGone(i routing.Instance, now time.Time) {
	if i.Draining {
		n.crashes.left[version.IDOf(i.Start())] = now
		return
	}
	n.upstreamEnded(i, "entry gone", now)
}

// upstreamEnded turns the doubts at an upstream into crashes.
func (n *Node) upstreamEnded(i routing.Instance, by string, now time.Time) {
	s := &n.crashes
	up := version.IDOf(i.Start())
	if _, known := s.ended[up]; known || n.isLeaving(i) {
		return
	}
	s.ended[up] = now
	running := 0
	for _, d := range s.doubts[up] {
		if now.Sub(d.at) < doubtFor {
			running++
			n.crashed(up, d, now)
		}
	}
	delete(s.doubts, up)
	n.Counts.Ended++
	n.out = append(n.out, UpstreamEnded{Instance: i, By: by, Running: running})
}

// crashed sets an upstream's crash down to an attempt that was running there.
func (n *Node) crashed(up version.ID, d doubt, now time.Time) {
	if n.crashes.list.Crashed(d.content, d.org, up, now) {
		n.tellOfCrash(d.content, d.org, n.set.ID, now)
	}
}

// answeredWhole takes the whole answer of a request that was suspected.
func (n *Node) answeredWhole(in Answered, now time.Time) {
	s := &n.crashes
	if !s.list.Answered(in.Content) {
		return
	}
	told, _ := s.list.Told(in.Content, now)
	n.tellOfCrash(in.Content, told.Org, n.set.ID, now)
}

// tellOfCrash notes what has changed of a request for the log and, when this router saw
// it, for all others.
func (n *Node) tellOfCrash(f fingerprint.Fingerprint, org version.ID, from wire.NodeID, now time.Time) {
	s := &n.crashes
	state := s.list.State(f)
	if state.Crashes != 1 {
		n.out = append(n.out, QuarantineReport{Content: f, Org: n.reports.names[org], Crashes: state.Crashes, Held: state.Held(now), From: from})
	}
	if from == n.set.ID {
		s.news[f] = news{left: tellTimes, due: now}
	}
}

// tickCrashes tells all routers the news, and forgets what is old.
func (n *Node) tickCrashes(now time.Time) {
	s := &n.crashes
	if !now.Before(s.expire) {
		s.expire = now.Add(expireEvery)
		n.expireCrashes(now)
	}
	list := s.takeNews(now)
	if len(list) == 0 {
		return
	}
	for _, id := range n.members.Live(true) {
		if id != n.set.ID {
			w := n.work(id)
			w.Crashes = append(w.Crashes, list...)
		}
	}
}

// takeNews returns what is to be told now, that with most crashes first.
func (s *crashes) takeNews(now time.Time) []wire.CrashRecord {
	var due []fingerprint.Fingerprint
	for f, w := range s.news {
		if !now.Before(w.due) {
			due = append(due, f)
		}
	}
	slices.SortFunc(due, func(a, b fingerprint.Fingerprint) int {
		return cmp.Or(cmp.Compare(s.list.State(b).Crashes, s.list.State(a).Crashes), cmp.Compare(a, b))
	})
	var out []wire.CrashRecord
	for _, f := range due[:min(len(due), mostTold)] {
		s.news[f] = news{left: s.news[f].left - 1, due: now.Add(tellAgain)}
		if s.news[f].left == 0 {
			delete(s.news, f)
		}
		if w, known := s.list.Told(f, now); known {
			out = append(out, w)
		}
	}
	return out
}

// heardCrashes takes another router's news, and answers when the two do not hold the
// same requests: one has just started, or there was a cut between them.
func (n *Node) heardCrashes(from wire.NodeID, w *wire.Work, now time.Time) {
	s := &n.crashes
	for _, t := range w.Crashes {
		if s.list.Join(t, now) {
			n.tellOfCrash(fingerprint.Fingerprint(t.Content), t.Org, from, now)
		}
	}
	states := w.Beat != 0 || w.Revision != 0 || w.CrashesAll
	if !states || w.CrashSum == s.list.Sum() {
		return
	}
	if at, known := s.joined[from]; known && now.Sub(at) < joinAgain {
		return
	}
	s.joined[from] = now
	held := s.list.Decided(now)
	mine := n.work(from)
	mine.Crashes = append(mine.Crashes, held[:min(len(held), mostHeld)]...)
	mine.CrashSum, mine.CrashesAll = s.list.Sum(), true
}

func (n *Node) expireCrashes(now time.Time) {
	s := &n.crashes
	s.list.Expire(now)
	for up, list := range s.doubts {
		list = slices.DeleteFunc(list, func(d doubt) bool { return now.Sub(d.at) >= doubtFor })
		s.doubts[up] = list
		if len(list) == 0 {
			delete(s.doubts, up)
		}
	}
	old := func(_ version.ID, at time.Time) bool { return now.Sub(at) >= endedFor }
	maps.DeleteFunc(s.ended, old)
	maps.DeleteFunc(s.left, old)
	maps.DeleteFunc(s.probed, old)
	maps.DeleteFunc(s.joined, func(_ wire.NodeID, at time.Time) bool { return now.Sub(at) >= joinAgain })
}
