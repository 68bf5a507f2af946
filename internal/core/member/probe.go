package member

import (
	"time"

	"github.com/silverswitch/silverswitch/internal/core/wire"
)

// Tick runs the failure detector: one probe per period, indirect probes before suspicion, death
// after suspicion, and pings to routers believed dead.
func (t *Table) Tick(now time.Time) []Send {
	var out []Send
	out = append(out, t.followProbe(now)...)
	if now.Sub(t.lastExpiry) >= expiryInterval {
		t.lastExpiry = now
		t.expireMembers(now)
	}
	t.tickJoin(now)
	if t.join.active && now.Sub(t.lastSeedPing) >= t.joinInterval(now) {
		t.lastSeedPing = now
		out = append(out, t.pingSeeds(now)...)
	}
	if now.Sub(t.lastProbe) >= ProbeInterval {
		t.lastProbe = now
		out = append(out, t.startProbe(now)...)
	}
	if now.Sub(t.lastDeadRetry) >= deadRetryInterval {
		t.lastDeadRetry = now
		out = append(out, t.pingDead()...)
	}
	return out
}

// followProbe continues the open probe: after one timeout it probes indirectly, after two it
// suspects the target.
func (t *Table) followProbe(now time.Time) []Send {
	if !t.probe.open {
		return nil
	}
	age := now.Sub(t.probe.sent)
	if age >= ackTimeout && !t.probe.indirect {
		t.probe.indirect = true
		return t.probeIndirectly()
	}
	if age >= 2*ackTimeout {
		t.probe.open = false
		t.Suspect(t.probe.target, now)
	}
	return nil
}

func (t *Table) probeIndirectly() []Send {
	var out []Send
	for _, id := range t.Random(indirectProbes + 1) {
		if id != t.probe.target && len(out) < indirectProbes {
			out = append(out, Send{To: id, Ping: &wire.Ping{Seq: t.probe.seq, Target: t.probe.target}})
		}
	}
	return out
}

// expireMembers declares routers dead that were suspect for too long, and removes long dead
// ones.
func (t *Table) expireMembers(now time.Time) {
	for id, m := range t.members {
		if m.State == wire.Suspect && m.pinged && now.Sub(m.Since) >= suspicionTimeout {
			u := m.Update
			u.State = wire.Dead
			t.set(m, u, now)
			t.queueGossip(id)
		}
		if t.isForgotten(m, now) {
			t.remove(id)
		}
	}
	for seq, r := range t.relays {
		if now.Sub(r.at) > suspicionTimeout {
			delete(t.relays, seq)
		}
	}
}

func (t *Table) remove(id wire.NodeID) {
	delete(t.members, id)
	for i, o := range t.order {
		if o == id {
			t.order = append(t.order[:i], t.order[i+1:]...)
			break
		}
	}
	t.changed(id)
}

// startProbe pings the next router of a shuffled round (SWIM 4.3), so that each router is
// probed within a round.
func (t *Table) startProbe(now time.Time) []Send {
	for range t.order {
		if t.next >= len(t.order) {
			t.next = 0
			t.rnd.Shuffle(len(t.order), func(i, j int) { t.order[i], t.order[j] = t.order[j], t.order[i] })
		}
		id := t.order[t.next]
		t.next++
		if t.members[id].State != wire.Dead {
			return t.ping(id, now)
		}
	}
	return nil
}

// pingSeeds pings a few of the seeds at once, so that a router that starts is known to others
// and learns of them within a round trip. It is repeated until a datagram of another router
// arrives, and while this router joins: seeds start in any order, and a datagram to a port that
// is not open yet is lost.
func (t *Table) pingSeeds(now time.Time) []Send {
	var out []Send
	for _, id := range t.pingedToJoin(now) {
		m := t.members[id]
		if m == nil {
			continue // this router itself
		}
		if !m.pinged {
			m.pinged, m.Since = true, now
		}
		t.seq++ // not a probe: silence proves nothing yet
		out = append(out, Send{To: id, Ping: &wire.Ping{Seq: t.seq}})
	}
	return out
}

func (t *Table) ping(id wire.NodeID, now time.Time) []Send {
	t.seq++
	if m := t.members[id]; !m.pinged {
		m.pinged = true
		m.Since = now
	}
	t.probe = probe{seq: t.seq, target: id, sent: now, open: true}
	return []Send{{To: id, Ping: &wire.Ping{Seq: t.seq}}}
}

// pingDead pings one dead router, so that the two sides of a partition find each other again.
func (t *Table) pingDead() []Send {
	var dead []wire.NodeID
	for _, id := range t.order {
		if t.members[id].State == wire.Dead {
			dead = append(dead, id)
		}
	}
	if len(dead) == 0 {
		return nil
	}
	t.seq++
	return []Send{{To: dead[t.rnd.IntN(len(dead))], Ping: &wire.Ping{Seq: t.seq}}}
}

func (t *Table) handlePing(from wire.NodeID, p *wire.Ping, now time.Time) Send {
	if p.Target == "" || p.Target == t.self.ID {
		return Send{To: from, Ack: &wire.Ack{Seq: p.Seq, Target: t.self.ID}}
	}
	t.seq++
	t.relays[t.seq] = relay{from: from, seq: p.Seq, at: now}
	return Send{To: p.Target, Ping: &wire.Ping{Seq: t.seq}}
}

func (t *Table) handleAck(a *wire.Ack, now time.Time) []Send {
	if r, ok := t.relays[a.Seq]; ok {
		delete(t.relays, a.Seq)
		return []Send{{To: r.from, Ack: &wire.Ack{Seq: r.seq, Target: a.Target}}}
	}
	if t.probe.open && a.Seq == t.probe.seq && a.Target == t.probe.target {
		t.probe.open = false
	}
	return nil
}
