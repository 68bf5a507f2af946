package lab

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/silverswitch/silverswitch/internal/core"
	"github.com/silverswitch/silverswitch/internal/core/claim"
	"github.com/silverswitch/silverswitch/internal/core/entry"
	"github.com/silverswitch/silverswitch/internal/core/sched"
	"github.com/silverswitch/silverswitch/internal/core/wire"
	"github.com/silverswitch/silverswitch/internal/version"
)

func settings(opt sched.Options) core.Settings { return core.Settings{Sched: opt} }

var twoOrgs = Fleet{Places: []string{"a", "b"}, Engines: 4, Slots: 4, Orgs: []Org{{Name: "x"}, {Name: "y", Places: []string{"a"}}}}

// keyAt returns the n-th key, minted now.
func keyAt(w *World, n int) *claim.Key {
	k := claim.Key{Minted: w.Now}
	copy(k.Sum[:], fmt.Sprintf("key-%d", n))
	return &k
}

// order submits a request that may run at most once, and returns its job.
func order(w *World, host int, k *claim.Key) *Job {
	o := w.Version.ByName("x")
	return w.Submit(w.Hosts[w.Order[host]], o, "order", 20, time.Minute, k, nil)
}

// newFleet returns a world whose witnesses vote on new keys.
func newFleet(t *testing.T, hosts int, seed uint64) *World {
	t.Helper()
	w := smallWorld(twoOrgs, hosts, seed, core.DefaultSched())
	w.Run(10 * time.Second) // witnesses vote only on keys minted after they started
	return w
}

func TestKeyRunsOnceThroughTwoRouters(t *testing.T) {
	t.Parallel()
	w := newFleet(t, 8, 1)
	k := keyAt(w, 1)
	first := order(w, 0, k)
	w.Run(time.Second)
	second := order(w, 5, k)
	w.Run(10 * time.Second)
	assert.Equal(t, 1, first.Starts)
	assert.Zero(t, second.Starts)
	assert.Equal(t, entry.ReasonKeyTaken, second.Refused)
	assert.True(t, second.MayHaveRun, "the first request ran, so the second must not be reported as not-run")
}

func TestKeyRunsOnceAfterItsRouterRestartsEmpty(t *testing.T) {
	t.Parallel()
	w := newFleet(t, 8, 2)
	k := keyAt(w, 1)
	first := order(w, 0, k)
	w.Run(time.Second)
	require.Equal(t, 1, first.Starts)
	id := w.Order[0]
	w.Kill(id)
	w.Run(time.Second)
	w.Boot(id, "a", settings(core.DefaultSched()))
	w.Run(5 * time.Second)
	second := order(w, 0, k)
	w.Run(5 * time.Second)
	assert.Zero(t, second.Starts)
	assert.True(t, second.MayHaveRun)
}

func TestKeyRunsOnceWhenMostWitnessesRestart(t *testing.T) {
	t.Parallel()
	w := newFleet(t, 8, 3)
	k := keyAt(w, 1)
	first := order(w, 0, k)
	w.Run(5 * time.Second)
	require.Equal(t, 1, first.Starts)
	for i, id := range w.Order {
		w.Kill(id)
		w.Boot(id, twoOrgs.Places[i%2], settings(core.DefaultSched()))
		w.Run(time.Second)
	}
	w.Run(10 * time.Second)
	second := order(w, 3, k)
	w.Run(5 * time.Second)
	assert.Zero(t, second.Starts)
	assert.True(t, second.MayHaveRun, "no witness remembers the key, so the outcome is unknown")
}

func TestOnlyOneSideOfPartitionRunsKey(t *testing.T) {
	t.Parallel()
	w := newFleet(t, 8, 4)
	k := keyAt(w, 1)
	partitionAfter(w, 4)
	w.Run(8 * time.Second) // each side has declared the other dead
	a, b := order(w, 0, k), order(w, 7, k)
	w.Run(10 * time.Second)
	assert.LessOrEqual(t, a.Starts+b.Starts, 1)
}

// partitionAfter separates the first n hosts from the others.
func partitionAfter(w *World, n int) {
	side := map[wire.NodeID]bool{}
	for _, id := range w.Order[:n] {
		side[id] = true
	}
	w.Partitioned = func(a, b wire.NodeID) bool { return side[a] != side[b] }
}

func TestRouterThawedAfterRequestTimeoutRunsKeyAtMostOnce(t *testing.T) {
	t.Parallel()
	w := newFleet(t, 8, 5)
	k := keyAt(w, 1)
	first := order(w, 0, k)
	w.Freeze(w.Order[0])
	w.Run(30 * time.Second)
	second := order(w, 4, k)
	w.Run(5 * time.Second)
	w.Thaw(w.Order[0])
	w.Run(10 * time.Second)
	assert.LessOrEqual(t, first.Starts+second.Starts, 1)
	if second.Starts == 0 {
		assert.True(t, second.MayHaveRun || first.Starts == 0)
	}
}

// Under random network and router faults, no key may start twice, no refused job may have
// started, and no key that has run may be reported as not-run later.
func TestAtMostOnceUnderRandomFaults(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(rt *rapid.T) {
		w := newFleet(t, 7, rapid.Uint64Range(1, 1<<30).Draw(rt, "seed"))
		w.Link.Drop = rapid.Float64Range(0, 0.3).Draw(rt, "drop")
		w.Link.Dup = rapid.Float64Range(0, 0.3).Draw(rt, "dup")
		w.Link.Jitter = time.Duration(rapid.IntRange(1, 400).Draw(rt, "jitter")) * time.Millisecond
		k := keyAt(w, 1)
		var jobs []*Job
		for range rapid.IntRange(3, 12).Draw(rt, "steps") {
			randomStep(rt, w, k, &jobs)
			w.Run(time.Duration(rapid.IntRange(0, 3000).Draw(rt, "pause")) * time.Millisecond)
		}
		w.Run(5 * time.Second)
		checkOnce(rt, jobs)
	})
}

// randomStep sends an order or injects a fault, chosen at random.
func randomStep(rt *rapid.T, w *World, k *claim.Key, jobs *[]*Job) {
	host := rapid.IntRange(0, len(w.Order)-1).Draw(rt, "host")
	id := w.Order[host]
	h := w.Hosts[id]
	switch rapid.SampledFrom([]string{"order", "order", "restart", "cut", "heal", "freeze", "thaw"}).Draw(rt, "act") {
	case "order":
		if h.Up && !h.Frozen {
			*jobs = append(*jobs, order(w, host, k))
		}
	case "restart":
		w.Kill(id)
		w.Run(200 * time.Millisecond)
		w.Boot(id, h.Place, settings(core.DefaultSched()))
	case "cut":
		partitionAfter(w, rapid.IntRange(1, len(w.Order)-1).Draw(rt, "side"))
	case "heal":
		w.Partitioned = nil
	case "freeze":
		w.Freeze(id)
	case "thaw":
		w.Thaw(id)
	}
}

// checkOnce checks that a key ran at most once and that no outcome contradicts it.
func checkOnce(t require.TestingT, jobs []*Job) {
	starts := 0
	for _, j := range jobs {
		starts += j.Starts
		if j.Refused != "" {
			require.Zero(t, j.Starts, "refused, but it had started")
		}
		if j.Refused != "" && !j.MayHaveRun {
			require.Zero(t, startsBefore(jobs, j), "reported as not-run, but the key had run")
		}
	}
	require.LessOrEqual(t, starts, 1, "the key ran more than once")
}

// startsBefore counts the starts of the key before j arrived.
func startsBefore(jobs []*Job, j *Job) int {
	n := 0
	for _, o := range jobs {
		if o.Starts > 0 && o.StartedAt.Before(j.Arrived) {
			n++
		}
	}
	return n
}

func TestAllowedPlacesHoldUnderPartitionsAndChanges(t *testing.T) {
	t.Parallel()
	w := smallWorld(twoOrgs, 6, 6, core.DefaultSched())
	w.KeepOpen(w.Version.ByName("x"), "chat", 60, []int{0, 1, 2})
	w.KeepOpen(w.Version.ByName("y"), "chat", 60, []int{0, 2, 4})
	w.Run(20 * time.Second)
	partitionAfter(w, 3)
	w.Run(20 * time.Second)
	w.Partitioned = nil
	narrowed := twoOrgs
	narrowed.Orgs = []Org{{Name: "x", Places: []string{"b"}}, {Name: "y", Places: []string{"a"}}}
	v2 := narrowed.Load(2)
	// One router receives the new version, and the fleet spreads it.
	w.Step(w.Hosts[w.Order[5]], core.NewVersion{Version: v2})
	w.Run(5 * time.Second)
	for _, id := range w.Order {
		require.Equal(t, uint64(2), w.Hosts[id].Router.(*core.Node).Version().Number.Revision, id)
	}
	w.Version = v2 // from now on starts are checked against the new places
	for _, o := range v2.Organisations {
		w.setOrganisation(o)
	}
	w.Run(60 * time.Second)
	assert.Zero(t, w.Strays)
	assert.Positive(t, w.AnsweredRequests[w.Version.ByName("y").ID])
}

// A version that one router receives first evacuates a place; the next version ends the
// evacuation.
func TestEvacuatedPlaceGetsNoNewRequests(t *testing.T) {
	t.Parallel()
	w := smallWorld(twoOrgs, 6, 9, core.DefaultSched())
	w.KeepOpen(w.Version.ByName("x"), "chat", 80, []int{0, 1, 2, 3, 4, 5})
	w.Run(20 * time.Second)
	evacuated := twoOrgs.Load(2)
	var some version.ID
	for id, u := range evacuated.Upstreams {
		if u.Place == "a" {
			u.Evacuated = true
			some = max(some, id)
		}
	}
	require.NotZero(t, some)
	w.Step(w.Hosts[w.Order[4]], core.NewVersion{Version: evacuated})
	w.Run(5 * time.Second)
	w.ForbiddenUpstream = some
	w.Run(30 * time.Second)
	assert.Zero(t, w.ForbiddenStarts)
	w.Step(w.Hosts[w.Order[1]], core.NewVersion{Version: twoOrgs.Load(3)})
	w.Run(30 * time.Second)
	assert.Positive(t, w.ForbiddenStarts, "the evacuation has ended, so the upstream gets requests again")
}

// setOrganisation makes later starts of an organisation's open jobs be checked against its
// new places.
func (w *World) setOrganisation(o *version.Organisation) {
	for _, h := range w.Hosts {
		for _, j := range h.jobs {
			if j.Org.ID == o.ID && !j.Running {
				j.Org = o
			}
		}
	}
}

func TestLeavingUpstreamGetsNoNewRequests(t *testing.T) {
	t.Parallel()
	sources := map[string]func(w *World, u version.ID){
		"the upstream itself notifies one router": func(w *World, u version.ID) {
			w.Step(w.Hosts[w.Order[2]], core.Drain{Upstream: u})
		},
		"the VM list of one router says so": func(w *World, u version.ID) {
			w.Step(w.Hosts[w.Order[1]], core.Drain{Upstream: u, Persistent: true})
		},
		"the VM list of every router says so while the scheduler is partitioned": func(w *World, u version.ID) {
			partitionAfter(w, 1)
			for _, id := range w.Order {
				w.Step(w.Hosts[id], core.Drain{Upstream: u, Persistent: true})
			}
		},
	}
	for name, announce := range sources {
		t.Run(name, func(t *testing.T) {
			w := smallWorld(twoOrgs, 6, 7, core.DefaultSched())
			w.KeepOpen(w.Version.ByName("x"), "chat", 80, []int{0, 1, 2, 3, 4, 5})
			w.Run(20 * time.Second)
			var u version.ID
			for id := range w.Version.Upstreams {
				u = max(u, id)
			}
			announce(w, u)
			w.Run(5 * time.Second)
			w.ForbiddenUpstream = u
			w.Run(55 * time.Second)
			assert.Zero(t, w.ForbiddenStarts)
		})
	}
}

func TestOlderVersionIsNeverAdopted(t *testing.T) {
	t.Parallel()
	w := smallWorld(twoOrgs, 5, 8, core.DefaultSched())
	v2, v3 := twoOrgs.Load(2), twoOrgs.Load(3)
	w.Step(w.Hosts[w.Order[0]], core.NewVersion{Version: v3})
	w.Run(4 * time.Second)
	for _, id := range w.Order {
		n := w.Hosts[id].Router.(*core.Node)
		require.Equal(t, uint64(3), n.Version().Number.Revision)
		w.Step(w.Hosts[id], core.NewVersion{Version: v2}) // as after a restore of the configuration service
		assert.Equal(t, uint64(3), n.Version().Number.Revision)
	}
	// A router that restarts while the configuration service is stale gets the newer version
	// from its peers.
	w.Version = v2
	w.Kill(w.Order[4])
	w.Boot(w.Order[4], "a", settings(core.DefaultSched()))
	w.Run(4 * time.Second)
	assert.Equal(t, uint64(3), w.Hosts[w.Order[4]].Router.(*core.Node).Version().Number.Revision)
}

func TestFleetAgreesOnOneValueOfRevision(t *testing.T) {
	t.Parallel()
	w := smallWorld(twoOrgs, 5, 9, core.DefaultSched())
	other := twoOrgs
	other.Slots = 5
	a, b := twoOrgs.Load(4), other.Load(4)
	partitionAfter(w, 2)
	w.Step(w.Hosts[w.Order[0]], core.NewVersion{Version: a})
	w.Step(w.Hosts[w.Order[4]], core.NewVersion{Version: b})
	w.Run(10 * time.Second)
	w.Partitioned = nil
	w.Run(15 * time.Second)
	want := max(a.Number.Hash, b.Number.Hash)
	for _, id := range w.Order {
		assert.Equal(t, want, w.Hosts[id].Router.(*core.Node).Version().Number.Hash, id)
	}
}

func TestPlannedStopCutsNoRequest(t *testing.T) {
	t.Parallel()
	w := smallWorld(twoOrgs, 4, 10, core.DefaultSched())
	var jobs []*Job
	o := w.Version.ByName("x")
	for i := range 120 {
		jobs = append(jobs, w.Submit(w.Hosts[w.Order[i%4]], o, "chat", 100, time.Hour, nil, nil))
	}
	w.Run(time.Second)
	for _, id := range w.Order[:3] {
		w.Step(w.Hosts[id], core.Leave{})
		w.Run(3 * time.Second)
	}
	w.Run(5 * time.Minute)
	for _, j := range jobs {
		assert.True(t, j.Ended && j.Refused == "" && j.Starts == 1, "%+v", j.Refused)
	}
}

func TestRoutersAgreeOnScheduler(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(rt *rapid.T) {
		w := New(twoOrgs.Load(1), rapid.Uint64Range(1, 1<<30).Draw(rt, "seed"), nil)
		w.Link.Drop = rapid.Float64Range(0.3, 0.8).Draw(rt, "drop")
		w.BootAll(7, twoOrgs.Places, settings(core.DefaultSched()))
		w.KeepOpen(w.Version.ByName("x"), "chat", 70, []int{0, 1, 2, 3, 4, 5, 6})
		w.Run(15 * time.Second)
		w.Link.Drop = 0
		w.Run(25 * time.Second)
		schedulers := 0
		for _, id := range w.Order {
			v := w.Hosts[id].Router.(*core.Node).View(w.Now)
			schedulers += len(v.Pools)
			for _, m := range v.Members {
				require.NotEmpty(rt, m.Place, "%s does not know the place of %s", id, m.ID)
			}
		}
		require.Equal(rt, 1, schedulers)
	})
}

func TestSlotsAreRecoveredAfterFaults(t *testing.T) {
	t.Parallel()
	w := smallWorld(twoOrgs, 6, 12, core.DefaultSched())
	w.Link.Drop = 0.1
	w.KeepOpen(w.Version.ByName("x"), "chat", 80, []int{0, 1, 2, 3, 4, 5})
	for round := range 4 {
		partitionAfter(w, 1+round)
		w.Run(7 * time.Second)
		w.Partitioned = nil
		w.Freeze(w.Order[round])
		w.Run(6 * time.Second)
		w.Thaw(w.Order[round])
		w.Run(7 * time.Second)
		w.Kill(w.Order[round+1])
		w.Run(3 * time.Second)
		w.Boot(w.Order[round+1], twoOrgs.Places[(round+1)%2], settings(core.DefaultSched()))
	}
	w.Link.Drop = 0
	w.Run(60 * time.Second)
	running := 0
	for _, n := range w.Running {
		running += n
	}
	assert.GreaterOrEqual(t, running, 15, "of 16 slots, with work waiting")
}

// In idle pools routers report only every few seconds. Grants and credits must reach them
// nevertheless.
func TestNoRequestWaitsWithSpareCapacity(t *testing.T) {
	t.Parallel()
	c := Size{Nodes: 12, Engines: 60, Orgs: 12, PerNode: 0.5, Seconds: 20}.Measure()
	assert.LessOrEqual(t, c.Waiting, 2)
	assert.Greater(t, c.Running, 100)
	assert.Less(t, c.Sent, 2048.0, "control bytes/s of a router")
}
