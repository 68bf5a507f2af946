package core

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/silverswitch/silverswitch/internal/core/quarantine"
	"github.com/silverswitch/silverswitch/internal/core/wire"
	"github.com/silverswitch/silverswitch/internal/fingerprint"
	"github.com/silverswitch/silverswitch/internal/version"
)

const crashingRequest fingerprint.Fingerprint = 0xdead

// deliver delivers one node's datagram for another.
func deliver(t *testing.T, from, to *Node, now time.Time) {
	t.Helper()
	d := datagramTo(from.Ready(now), to.settings.ID)
	if d == nil {
		return
	}
	raw, err := wire.Encode(d)
	require.NoError(t, err)
	d, err = wire.Decode(raw)
	require.NoError(t, err)
	d.From = from.settings.ID
	to.Step(Receive{d}, now)
}

// crashUpstream ends an upstream during an attempt of a node.
func crashUpstream(n *Node, up version.ID, now time.Time) {
	n.Step(AttemptIncomplete{Content: crashingRequest, Org: 7, Upstream: up, Began: now}, now)
	n.Step(ConnRefused{Upstream: up}, now)
}

// Two routers with attempts at the same upstream observe its crash a moment apart: both count
// one crash. When the upstream is back and crashes again, that is another crash.
func TestRoutersCountOneCrashOfAnUpstreamOnce(t *testing.T) {
	a, b := newNode("10.0.0.1:1"), newNode("10.0.0.2:1")
	a.Step(Receive{&wire.Datagram{From: b.settings.ID, Inc: b.settings.Inc, Ping: &wire.Ping{Seq: 1}}}, t0)
	b.Step(Receive{&wire.Datagram{From: a.settings.ID, Inc: a.settings.Inc, Ping: &wire.Ping{Seq: 1}}}, t0)
	now := t0
	for i := range quarantine.HoldAfterCrashes {
		assert.Equal(t, i, a.crashes.State(crashingRequest).Crashes)
		crashUpstream(a, 1, now)
		crashUpstream(b, 1, now.Add(20*time.Millisecond))
		now = now.Add(TickInterval)
		for _, n := range []*Node{a, b} {
			n.Tick(now)
		}
		deliver(t, a, b, now)
		deliver(t, b, a, now)
		now = now.Add(crashWindow)
		a.lastTick, b.lastTick = now, now
	}
	for _, n := range []*Node{a, b} {
		assert.Equal(t, quarantine.HoldAfterCrashes, n.crashes.State(crashingRequest).Crashes)
		assert.Positive(t, n.crashes.State(crashingRequest).Held(now))
		assert.Len(t, n.View(now).Held, 1)
	}
}

// A router that restarts learns from the next ping that others hold a request.
func TestRestartedRouterLearnsHeldRequestsFromPing(t *testing.T) {
	a, b := newNode("10.0.0.1:1"), newNode("10.0.0.2:1")
	for i := range quarantine.HoldAfterCrashes {
		crashUpstream(a, version.ID(1+i), t0)
	}
	a.Ready(t0)
	b.Step(Receive{&wire.Datagram{From: a.settings.ID, Inc: a.settings.Inc}}, t0)
	for seq := range uint32(3) { // a's reply to a ping, b's list, a's list
		a.Step(Receive{&wire.Datagram{From: b.settings.ID, Inc: b.settings.Inc, Ping: &wire.Ping{Seq: seq}}}, t0)
		deliver(t, a, b, t0)
		deliver(t, b, a, t0)
	}
	assert.Positive(t, b.crashes.State(crashingRequest).Held(t0))
}

func TestEndOfDrainingUpstreamIsNoCrash(t *testing.T) {
	a := newNode("10.0.0.1:1")
	a.Step(Drain{Upstream: 1, Persistent: true}, t0)
	crashUpstream(a, 1, t0)
	assert.Zero(t, a.crashes.State(crashingRequest).Crashes)
}
