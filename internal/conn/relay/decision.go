package relay

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// Parameters of the decision. The load: one router with 0.192 cores receives 1,400 requests
// a second of one organisation for 6 to 11 s, most of them on new connections, while the other
// routers of its place use a hundredth of a core.
const (
	// DecisionInterval is the length of an observed period.
	DecisionInterval = 100 * time.Millisecond
	// useWindow is the number of periods over which the CPU use is averaged. One period can be
	// busy because of a garbage collection, and single ones differ where a CPU quota has
	// periods of its own.
	useWindow = 4
	// highUse is the mean CPU use from which a router counts as busy. It sheds load from a use of
	// 0.92; relaying takes effect before, and leaves CPU for the relayed bytes.
	highUse = 0.75
	// lowUse is the mean CPU use below which a router counts as calm. Between lowUse and highUse
	// nothing changes.
	lowUse = 0.5
	// sheddingPeriods is the number of consecutive periods with load shedding from which a
	// router counts as busy.
	sheddingPeriods = 3
	// fractionStep is added to the relayed fraction of new connections in each busy period: all
	// are relayed 0.7 s after the load began, an eighth of the shortest flood.
	fractionStep = 0.25
	// fractionDecay is subtracted in each calm period. From all to none takes 5 s, about as long
	// as a flood lasts: a router that is calm only because it relays must not begin to serve
	// the flood itself several times while it lasts.
	fractionDecay = 0.02

	// sessionsWanted is the number of helpers asked at once: power of two choices.
	sessionsWanted = 2
	// drawInterval is the shortest time between two draws of helpers.
	drawInterval = time.Second
	// failedExclusion is how long a router is not asked after a session could not be opened or
	// has broken: routers of a release without relaying and routers with another secret do not
	// change within seconds.
	failedExclusion = 15 * time.Second
	// declinedExclusion is how long a router is not asked after it has declined for
	// declinedTolerance.
	declinedExclusion = 5 * time.Second
	declinedTolerance = time.Second
	// idleSessionLife is how long a session without connections stays open after relaying has
	// ended.
	idleSessionLife = 10 * time.Second

	// minSpare is the spare CPU, in thousandths of a core, below which a helper gets no
	// connection: the work of some thirty new connections within StatusInterval.
	minSpare = 50
	// connectionCost is what is subtracted from a helper's stated spare CPU for each connection
	// relayed to it since: 0.3 ms of CPU for a new connection with a request, within
	// StatusInterval.
	connectionCost = 1.5
)

// Peer is another live router of the own place.
type Peer struct {
	ID    string
	Power uint32 // CPU in thousandths of a core, 0 if unknown
}

// Observation is what a router knows of itself and its place at the end of a period.
type Observation struct {
	Use       float64 // CPU use in the period, as a fraction of this router's CPU
	ShedRatio float64 // fraction of arrivals that the load shedder refuses
	Power     uint32  // this router's CPU in thousandths of a core
	Stopping  bool    // this router performs its planned stop
	Peers     []Peer
}

// Orders are what the caller of Decider.Observe has to do.
type Orders struct {
	Open    []string // routers to open sessions with
	Close   []string // sessions to close, which have no connections
	Started bool     // relaying has started
	Ended   bool     // relaying has ended
	Reason  string   // why it has started or ended
}

// helperState is what is known of a helper with a session.
type helperState struct {
	open          bool // the session is open
	accepting     bool
	spare         float64 // stated, less what was relayed since
	conns         int
	declinedSince time.Time // zero while it accepts
}

// Decider decides when a router relays new connections, and to whom. It has no I/O and no
// clock. One goroutine at a time may use it.
type Decider struct {
	rnd      *rand.Rand
	uses     [useWindow]float64 // CPU use of the last periods
	periods  int                // number of periods observed
	shedding int                // consecutive periods with load shedding
	fraction float64            // of new connections that are relayed
	credit   float64            // sum of the fractions since the last relayed connection
	helpers  map[string]*helperState
	excluded map[string]time.Time
	drawnAt  time.Time
	endedAt  time.Time
}

// NewDecider returns a decider that relays nothing yet.
func NewDecider(seed uint64) *Decider {
	return &Decider{rnd: rand.New(rand.NewPCG(seed, seed)), helpers: map[string]*helperState{}, excluded: map[string]time.Time{}}
}

// Relaying reports whether new connections are relayed.
func (d *Decider) Relaying() bool { return d.fraction > 0 }

// Fraction returns the fraction of new connections that is to be relayed.
func (d *Decider) Fraction() float64 { return d.fraction }

// Observe handles the end of a period.
func (d *Decider) Observe(o Observation, now time.Time) Orders {
	var out Orders
	was := d.Relaying()
	reason := d.updateFraction(o)
	if d.Relaying() != was {
		out.Started, out.Ended, out.Reason = !was, was, reason
	}
	if was && !d.Relaying() {
		d.endedAt, d.credit = now, 0
	}
	d.dropDeclining(now, &out)
	if d.Relaying() {
		out.Open = d.draw(o.Peers, now)
	} else if now.Sub(d.endedAt) >= idleSessionLife || o.Stopping {
		d.closeIdle(&out)
	}
	return out
}

// updateFraction updates the relayed fraction and returns the reason of a change.
func (d *Decider) updateFraction(o Observation) string {
	use := d.meanUse(valid(o.Use))
	if d.shedding++; valid(o.ShedRatio) == 0 {
		d.shedding = 0
	}
	switch {
	case o.Stopping:
		d.fraction = 0
		return "this router stops"
	case !differ(o):
		d.fraction = 0
		return "routers of this place do not differ in CPU"
	case use >= highUse:
		d.fraction = min(1, d.fraction+fractionStep)
		return "cpu use"
	case d.shedding >= sheddingPeriods:
		d.fraction = min(1, d.fraction+fractionStep)
		return "scheduling lag"
	case use < lowUse && d.shedding == 0:
		if d.fraction -= fractionDecay; d.fraction < fractionDecay/2 {
			d.fraction = 0
		}
	}
	return "cpu use is low"
}

// meanUse returns the mean CPU use of the last periods, including one with the given use. The
// periods before the first count as idle.
func (d *Decider) meanUse(use float64) float64 {
	d.uses[d.periods%useWindow] = use
	d.periods++
	sum := 0.0
	for _, u := range d.uses {
		sum += u
	}
	return sum / useWindow
}

// valid returns 0 for a value that is not a number, infinite or negative.
func valid(v float64) float64 {
	if math.IsNaN(v) || math.IsInf(v, 0) {
		return 0
	}
	return max(0, v)
}

// differ reports whether the routers of the place have different CPU: only then does the load
// balancer give a small router more than it can handle while others have spare CPU.
func differ(o Observation) bool {
	for _, p := range o.Peers {
		if p.Power != o.Power && p.Power > 0 && o.Power > 0 {
			return true
		}
	}
	return false
}

// dropDeclining excludes helpers that have declined for declinedTolerance, and closes their
// sessions once they have no connections.
func (d *Decider) dropDeclining(now time.Time, out *Orders) {
	for id, h := range d.helpers {
		if h.declinedSince.IsZero() || now.Sub(h.declinedSince) < declinedTolerance {
			continue
		}
		d.excluded[id] = now.Add(declinedExclusion)
		if h.conns == 0 {
			delete(d.helpers, id)
			out.Close = append(out.Close, id)
		}
	}
}

func (d *Decider) closeIdle(out *Orders) {
	for id, h := range d.helpers {
		if h.open && h.conns == 0 {
			delete(d.helpers, id)
			out.Close = append(out.Close, id)
		}
	}
}

// draw returns routers to ask, at random with weights in proportion to their CPU, until
// sessionsWanted are asked or accept connections.
func (d *Decider) draw(peers []Peer, now time.Time) []string {
	for id, until := range d.excluded {
		if !now.Before(until) {
			delete(d.excluded, id)
		}
	}
	wanted := sessionsWanted
	for _, h := range d.helpers {
		if !h.open || h.accepting {
			wanted--
		}
	}
	if wanted <= 0 || now.Sub(d.drawnAt) < drawInterval {
		return nil
	}
	d.drawnAt = now
	var ids []string
	candidates := slices.DeleteFunc(slices.Clone(peers), func(p Peer) bool {
		_, excluded := d.excluded[p.ID]
		return excluded || p.Power == 0 || d.helpers[p.ID] != nil
	})
	for ; wanted > 0 && len(candidates) > 0; wanted-- {
		i := d.drawOne(candidates)
		id := candidates[i].ID
		d.helpers[id] = &helperState{}
		ids = append(ids, id)
		candidates = slices.Delete(candidates, i, i+1)
	}
	return ids
}

// drawOne returns the index of a candidate.
func (d *Decider) drawOne(candidates []Peer) int {
	total := uint64(0)
	for _, p := range candidates {
		total += uint64(p.Power)
	}
	at := d.rnd.Uint64N(total)
	for i, p := range candidates {
		if at < uint64(p.Power) {
			return i
		}
		at -= uint64(p.Power)
	}
	return len(candidates) - 1
}

// Choose decides on one new connection. It returns the helper that gets it, or false if this
// router serves it.
func (d *Decider) Choose() (string, bool) {
	if d.fraction <= 0 {
		return "", false
	}
	if d.credit += d.fraction; d.credit < 1 {
		return "", false
	}
	best, spare := "", float64(minSpare)
	for id, h := range d.helpers {
		if h.open && h.accepting && (h.spare > spare || h.spare == spare && id < best) {
			best, spare = id, h.spare
		}
	}
	if best == "" {
		d.credit = min(1, d.credit)
		return "", false
	}
	d.credit--
	d.helpers[best].spare -= connectionCost
	d.helpers[best].conns++
	return best, true
}

// Opened records that a session is open.
func (d *Decider) Opened(id string) {
	if h := d.helpers[id]; h != nil {
		h.open = true
	}
}

// Stated records a helper's status. It returns true if the helper has begun to decline.
func (d *Decider) Stated(id string, m Message, now time.Time) (declines bool) {
	h := d.helpers[id]
	if h == nil {
		return false
	}
	h.accepting, h.spare = m.Accepting && !m.Stopping, float64(m.Spare)
	switch {
	case h.accepting:
		h.declinedSince = time.Time{}
	case h.declinedSince.IsZero():
		h.declinedSince = now
		return true
	}
	return false
}

// ConnectionEnded records that a relayed connection has ended.
func (d *Decider) ConnectionEnded(id string) {
	if h := d.helpers[id]; h != nil {
		h.conns = max(0, h.conns-1)
	}
}

// Failed records that a session could not be opened or has broken.
func (d *Decider) Failed(id string, now time.Time) {
	delete(d.helpers, id)
	d.excluded[id] = now.Add(failedExclusion)
}
