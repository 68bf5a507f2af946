package process

import (
	"fmt"
	"math"
	"math/rand/v2"
	"net"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// simulatedRouter replays requests through a modelled processor and shedDecision. It counts
// in milliseconds of simulated time, and reads no clock.
type simulatedRouter struct {
	stated float64 // cores in the settings
	speed  float64 // of the processor while it runs, in cores
	quota  float64 // CPU ms in each 100 ms, 0 for no quota
	target time.Duration

	rng       *rand.Rand
	decision  shedDecision
	now       float64
	queue     []float64 // arrival times of unread requests
	left      float64   // CPU ms left of the request that is being processed
	used      float64   // CPU ms since the last sample
	inQuota   float64   // CPU ms since the quota was renewed
	waits     []float64 // of the requests read since the last sample
	lag       float64
	sampledAt float64
	log       []simulatedPeriod
}

type simulatedPeriod struct {
	at, ratio, use, unread, lag float64
	reason                      shedReason
}

const (
	simulatedStep      = 0.1   // ms
	simulatedWork      = 0.8   // CPU ms of a request that is forwarded
	simulatedRefusal   = 0.075 // CPU ms of one that is refused
	simulatedQuotaTime = 100.0 // ms
)

func newSimulatedRouter(stated, speed, quota float64) *simulatedRouter {
	return &simulatedRouter{stated: stated, speed: speed, quota: quota, target: 400 * time.Millisecond, rng: rand.New(rand.NewPCG(1, 2)), decision: shedDecision{cores: stated}}
}

// run simulates a duration, in ms, at a load that is a multiple of the stated cores.
func (s *simulatedRouter) run(load, duration float64) {
	perStep := load * s.stated / simulatedWork * simulatedStep
	for end := s.now + duration; s.now < end; s.now += simulatedStep {
		if s.rng.Float64() < perStep {
			s.queue = append(s.queue, s.now)
		}
		if s.quota > 0 && math.Mod(s.now, simulatedQuotaTime) < simulatedStep {
			s.inQuota = 0
		}
		if s.quota > 0 && s.inQuota >= s.quota {
			continue
		}
		if s.now-s.sampledAt >= 100 {
			s.sample()
		}
		s.process(simulatedStep * s.speed)
	}
}

func (s *simulatedRouter) process(cpu float64) {
	for cpu > 0 {
		if s.left <= 0 {
			if len(s.queue) == 0 {
				return
			}
			s.waits = append(s.waits, s.now-s.queue[0])
			s.queue = s.queue[1:]
			s.left = simulatedWork
			if ratio, _ := s.decision.ratio(); s.rng.Float64() < ratio {
				s.left = simulatedRefusal
			}
		}
		spent := min(cpu, s.left)
		s.left -= spent
		cpu -= spent
		s.used += spent
		s.inQuota += spent
	}
}

func (s *simulatedRouter) sample() {
	unread, mean := 0.0, 0.0
	if n := len(s.waits); n > 0 {
		slices.Sort(s.waits)
		unread = s.waits[n/2]
		for _, w := range s.waits {
			mean += w / float64(n)
		}
	}
	s.lag += schedLagWeight * (mean - s.lag)
	p := simulatedPeriod{at: s.now, use: s.used / (s.now - s.sampledAt) / s.stated, unread: unread, lag: s.lag}
	s.decision.update(loadSample{wall: ms(s.now - s.sampledAt), use: p.use, lag: ms(s.lag), unread: ms(unread), target: s.target})
	p.ratio, p.reason = s.decision.ratio()
	s.log = append(s.log, p)
	s.used, s.waits, s.sampledAt = 0, nil, s.now
}

func ms(x float64) time.Duration { return time.Duration(x * float64(time.Millisecond)) }

// since returns the periods after a time.
func (s *simulatedRouter) since(at float64) []simulatedPeriod {
	i := slices.IndexFunc(s.log, func(p simulatedPeriod) bool { return p.at > at })
	if i < 0 {
		return nil
	}
	return s.log[i:]
}

// simulatedProcessors are the sizes of the routers of both deployments, each limited by a
// quota of a fast core and as a slow core.
func simulatedProcessors() map[string]func() *simulatedRouter {
	all := map[string]func() *simulatedRouter{}
	for _, cores := range []float64{0.144, 0.192, 0.48, 0.8} {
		all[fmt.Sprintf("quota %g", cores)] = func() *simulatedRouter { return newSimulatedRouter(cores, 1, cores*simulatedQuotaTime) }
		all[fmt.Sprintf("slow %g", cores)] = func() *simulatedRouter { return newSimulatedRouter(cores, cores, 0) }
	}
	return all
}

// Guards against shedding at half of the CPU: with 0.192 cores a router refused 1,877 of
// 2,195 requests at a use of 0.47 to 0.64, because it lagged.
func TestRouterAtHalfOfItsProcessorShedsNothing(t *testing.T) {
	for name, router := range simulatedProcessors() {
		for _, target := range []time.Duration{150, 400} {
			s := router()
			s.target = target * time.Millisecond
			s.run(0.5, 20_000)
			require.Greater(t, len(s.log), 100, name)
			for _, p := range s.log {
				require.Zero(t, p.ratio, "%s, target %d ms: %+v", name, target, p)
			}
		}
	}
	for _, use := range []float64{0.47, 0.55, 0.64} {
		for _, lag := range []time.Duration{4, 10, 20, 40, 80} {
			d := shedDecision{cores: 0.192}
			for range 50 {
				d.update(loadSample{use: use, lag: lag * time.Millisecond, unread: lag * time.Millisecond, target: 400 * time.Millisecond})
				ratio, reason := d.ratio()
				assert.Zero(t, ratio, "use %g, lag %d ms", use, lag)
				assert.Equal(t, shedNothing, reason)
			}
		}
	}
}

// Guards against a router that sheds too late when its CPU is used up, that leaves requests
// unread while it sheds, or that goes on shedding when the overload is over.
func TestRouterOutOfProcessorShedsAndRecovers(t *testing.T) {
	for name, router := range simulatedProcessors() {
		idle := router()
		idle.run(0, 5000)
		idle.run(3, 400)
		ratio, _ := idle.decision.ratio()
		assert.Positive(t, ratio, "%s: after 300 ms, and until the next sample", name)
		s := router()
		s.run(0.5, 5000)
		s.run(3, 10_000)
		shedding := slices.IndexFunc(s.since(5000), func(p simulatedPeriod) bool { return p.ratio > 0 })
		require.GreaterOrEqual(t, shedding, 0, name)
		assert.LessOrEqual(t, s.since(5000)[shedding].at-5000, 400.0, "%s: 300 ms, and until the next sample", name)
		late := 0
		settled := s.since(8000)
		for _, p := range settled {
			if ms(p.unread) > s.target/2 {
				late++
			}
		}
		assert.LessOrEqual(t, late, len(settled)/10, "%s: periods with requests unread past half of their target", name)
		s.run(0.5, 5000)
		for _, p := range s.since(18_000) {
			assert.Zero(t, p.ratio, "%s: 3 s after the overload: %+v", name, p)
		}
	}
}

// A VM that gets a quarter of the CPU in its settings seems to be idle. Guards against
// leaving requests unread there: the router must shed by how long they lie.
func TestUnreadRequestsAreShedWhateverTheProcessorUse(t *testing.T) {
	s := newSimulatedRouter(0.8, 0.2, 0)
	s.run(0.1, 5000)
	s.run(0.6, 10_000)
	shedding := slices.IndexFunc(s.log, func(p simulatedPeriod) bool { return p.ratio > 0 })
	require.GreaterOrEqual(t, shedding, 0)
	assert.Equal(t, shedUnread, s.log[shedding].reason)
	overdue := slices.IndexFunc(s.log, func(p simulatedPeriod) bool { return ms(p.unread) > s.target/2 })
	assert.LessOrEqual(t, s.log[shedding].at-s.log[overdue].at, 300.0)
	for _, p := range s.since(9000) {
		assert.Less(t, ms(p.unread), 2*s.target, "%+v", p)
	}
	s.run(0.1, 5000)
	ratio, _ := s.decision.ratio()
	assert.Zero(t, ratio)
}

// More requests than can be processed even if nine in ten are refused: guards against
// leaving all of them unread for seconds.
func TestFloodOfRefusalsIsNotLeftUnread(t *testing.T) {
	for name, s := range map[string]*simulatedRouter{"quota": newSimulatedRouter(0.192, 1, 19.2), "slow": newSimulatedRouter(0.192, 0.192, 0)} {
		s.run(0.5, 3000)
		s.run(8, 15_000)
		late := 0
		settled := s.since(8000)
		for _, p := range settled {
			assert.Less(t, ms(p.unread), s.target, "%s: %+v", name, p)
			if ms(p.unread) > s.target/2 {
				late++
			}
		}
		assert.Less(t, late, len(settled)/4, name)
	}
}

// A single pause of the process leaves all requests unread for its duration, once. That is no
// overload.
func TestSinglePauseShedsNothing(t *testing.T) {
	d := shedDecision{cores: 0.192}
	for i := range 60 {
		s := loadSample{use: 0.4, lag: time.Millisecond, unread: time.Millisecond, target: 400 * time.Millisecond}
		if i%20 == 10 {
			s.wall, s.unread, s.lag = time.Second, time.Second, 300*time.Millisecond
		}
		d.update(s)
		ratio, _ := d.ratio()
		assert.Zero(t, ratio)
	}
}

// A period in which a stalled router read nothing says nothing about how long requests lie
// unread; an idle router must still stop shedding.
func TestOnePeriodWithoutRequestsKeepsTheUnreadRatio(t *testing.T) {
	d := shedDecision{cores: 0.192}
	for range 3 {
		d.update(loadSample{use: 0.5, unread: 300 * time.Millisecond, target: 400 * time.Millisecond})
	}
	before, reason := d.ratio()
	require.Equal(t, shedUnread, reason)
	d.update(loadSample{use: 0.1})
	after, _ := d.ratio()
	assert.Equal(t, before, after)
	for range 20 {
		d.update(loadSample{use: 0.1})
	}
	after, _ = d.ratio()
	assert.Zero(t, after)
}

// The stricter the targets of the requests that arrive, the shorter a lag and the shorter a
// time unread count as overload.
func TestThresholdsFollowTargets(t *testing.T) {
	after := func(target, lag, unread time.Duration, use float64) float64 {
		d := shedDecision{cores: 0.48}
		for range lagMeanPeriods {
			d.update(loadSample{use: use, lag: lag, unread: unread, target: target})
		}
		d.byProcessor = 0
		ratio, _ := d.ratio()
		return ratio
	}
	const lag = 6 * time.Millisecond
	assert.Greater(t, after(150*time.Millisecond, lag, 0, 1), after(400*time.Millisecond, lag, 0, 1))
	assert.Zero(t, after(800*time.Millisecond, lag, 0, 1))
	assert.InDelta(t, shedRatioAt(lag), after(400*time.Millisecond, lag, 0, 1), 1e-9)
	assert.Positive(t, after(150*time.Millisecond, 0, 100*time.Millisecond, 0.5))
	assert.Zero(t, after(400*time.Millisecond, 0, 100*time.Millisecond, 0.5))
	assert.Positive(t, after(400*time.Millisecond, 0, 200*time.Millisecond, 0.5))
	assert.InDelta(t, shedRatioAt(lag), after(0, lag, 0, 1), 1e-9, "unknown targets")
}

// With unknown cores the lag alone decides, as before.
func TestUnknownCoresKeepTheLagRule(t *testing.T) {
	d := shedDecision{}
	for _, lag := range []time.Duration{0, 4, 6, 12, 20, 80, 5, 0} {
		d.update(loadSample{use: 0, lag: lag * time.Millisecond, unread: time.Second, target: 10 * time.Millisecond})
		ratio, _ := d.ratio()
		assert.Equal(t, shedRatioAt(lag*time.Millisecond), ratio)
	}
}

// A router that lags at half of its CPU sheds nothing, but its times still say nothing about
// engines. Guards against engines being taken for slow because of its stalls.
func TestLagIsAnnouncedWithoutOverload(t *testing.T) {
	d := overloadDetector{cores: 0.192}
	d.update(0.5, 40*time.Millisecond)
	assert.Zero(t, d.shedRatio())
	assert.True(t, d.current().delaysMessages())
	d.update(0.5, time.Millisecond)
	assert.False(t, d.current().delaysMessages())
}

// Values that cannot be must neither shed nor stay.
func TestInvalidSamplesShedNothing(t *testing.T) {
	d := shedDecision{cores: 0.192}
	for range 20 {
		d.update(loadSample{wall: -time.Second, use: math.NaN(), lag: -time.Second, unread: -time.Second, target: -time.Second})
		d.update(loadSample{use: -5})
		ratio, reason := d.ratio()
		assert.Zero(t, ratio)
		assert.Equal(t, shedNothing, reason)
	}
}

// A few requests of a strict route must not decide for all others.
func TestStrictTargetIgnoresAFewRequests(t *testing.T) {
	var a arrivalStats
	for i := range 100 {
		a.addTarget(400 * time.Millisecond)
		if i%20 == 0 {
			a.addTarget(10 * time.Millisecond)
		}
	}
	a.addTarget(0)
	a.addTarget(-time.Second)
	target, unread := a.take()
	assert.Equal(t, 400*time.Millisecond, target)
	assert.Zero(t, unread)
	a.addTarget(150 * time.Millisecond)
	target, _ = a.take()
	assert.Equal(t, 150*time.Millisecond, target, "each period counts by itself")
	target, _ = a.take()
	assert.Zero(t, target)
}

// The time for which a request lay unread in the kernel is measured, at most once in each
// unreadSampleInterval, and a connection that is no TCP connection has none.
func TestUnreadTimeIsSampled(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	from, err := net.Dial("tcp", l.Addr().String())
	require.NoError(t, err)
	defer from.Close()
	to, err := l.Accept()
	require.NoError(t, err)
	defer to.Close()
	_, err = from.Write([]byte("x"))
	require.NoError(t, err)
	time.Sleep(60 * time.Millisecond)
	var a arrivalStats
	now := time.Unix(1_800_000_000, 0)
	a.sample(to, now)
	a.sample(to, now.Add(unreadSampleInterval-1))
	assert.Len(t, a.unread, 1)
	_, unread := a.take()
	assert.GreaterOrEqual(t, unread, 40*time.Millisecond)
	pipe, other := net.Pipe()
	defer pipe.Close()
	defer other.Close()
	a.sample(pipe, now.Add(time.Second))
	assert.Empty(t, a.unread)
}

// Guards against requests that wait in the kernel's queue of the listener until their callers are
// about to give up, at a router that reads what it has accepted at once and does not lag: no
// decision used the age of that queue.
func TestConnectionsWaitingToBeAcceptedAreShed(t *testing.T) {
	const target = 400 * time.Millisecond
	waiting := loadSample{use: 0.6, lag: time.Millisecond, unread: 5 * time.Millisecond, backlog: 200 * time.Millisecond, target: target}
	d := shedDecision{cores: 0.144}
	d.update(waiting)
	ratio, _ := d.ratio()
	assert.Zero(t, ratio, "after a single pause connections have waited once")
	d.update(waiting)
	ratio, reason := d.ratio()
	assert.Positive(t, ratio)
	assert.Equal(t, shedUnread, reason)
	waiting.backlog = 3 * time.Second
	for range 100 {
		d.update(waiting)
	}
	ratio, _ = d.ratio()
	assert.Equal(t, maxShedRatio, ratio, "the age of the queue is only an upper bound")
	for range 30 {
		d.update(loadSample{use: 0.3, unread: 5 * time.Millisecond, backlog: 10 * time.Millisecond, target: target})
	}
	ratio, _ = d.ratio()
	assert.Zero(t, ratio)
}

// Guards against a stall of the process that counts as the end of an overload while connections
// wait: nothing is read then either.
func TestWaitingConnectionsCountWhileNothingIsRead(t *testing.T) {
	d := shedDecision{cores: 0.144}
	for range 3 {
		d.update(loadSample{use: 0.1, backlog: 500 * time.Millisecond})
	}
	ratio, _ := d.ratio()
	assert.Positive(t, ratio)
}
