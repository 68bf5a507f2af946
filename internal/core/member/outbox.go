package member

import "github.com/silverswitch/silverswitch/internal/core/wire"

// Outbox collects one datagram for each router, so that everything for it since the last flush
// is sent together. Its zero value is empty.
type Outbox struct {
	datagrams map[wire.NodeID]*wire.Datagram
	order     []wire.NodeID // in order of creation
}

// To returns the datagram under construction for a router.
func (o *Outbox) To(id wire.NodeID) *wire.Datagram {
	d := o.datagrams[id]
	if d != nil {
		return d
	}
	if o.datagrams == nil {
		o.datagrams = map[wire.NodeID]*wire.Datagram{}
	}
	d = &wire.Datagram{}
	o.datagrams[id] = d
	o.order = append(o.order, id)
	return d
}

// Crashes returns the part of a router's datagram about requests that crash upstreams.
func (o *Outbox) Crashes(id wire.NodeID) *wire.CrashUpdate {
	d := o.To(id)
	if d.Crashes == nil {
		d.Crashes = &wire.CrashUpdate{}
	}
	return d.Crashes
}

// ReplyCrashes adds a reply about requests that crash upstreams; nil means none.
func (o *Outbox) ReplyCrashes(to wire.NodeID, answer *wire.CrashUpdate) {
	if answer == nil {
		return
	}
	c := o.Crashes(to)
	c.Records = append(c.Records, answer.Records...)
	c.HasChecksum, c.Checksum = answer.HasChecksum, answer.Checksum
}

// SendCrashes adds records of requests that crash upstreams to the datagrams of all live
// routers but one.
func (o *Outbox) SendCrashes(live []wire.NodeID, but wire.NodeID, records []wire.CrashRecord) {
	if len(records) == 0 {
		return
	}
	for _, id := range live {
		if id != but {
			c := o.Crashes(id)
			c.Records = append(c.Records, records...)
		}
	}
}

// Parts returns the part of a router's datagram about prompt parts that crash upstreams.
func (o *Outbox) Parts(id wire.NodeID) *wire.PartUpdate {
	d := o.To(id)
	if d.Parts == nil {
		d.Parts = &wire.PartUpdate{}
	}
	return d.Parts
}

// ReplyParts adds a reply about prompt parts that crash upstreams; nil means none.
func (o *Outbox) ReplyParts(to wire.NodeID, answer *wire.PartUpdate) {
	if answer == nil {
		return
	}
	p := o.Parts(to)
	p.Records = append(p.Records, answer.Records...)
	p.HasChecksum, p.Checksum = answer.HasChecksum, answer.Checksum
}

// SendParts adds records of prompt parts to the datagrams of all live routers but one.
func (o *Outbox) SendParts(live []wire.NodeID, but wire.NodeID, records []wire.PartRecord) {
	if len(records) == 0 {
		return
	}
	for _, id := range live {
		if id != but {
			p := o.Parts(id)
			p.Records = append(p.Records, records...)
		}
	}
}

// Add adds a ping or ack.
func (o *Outbox) Add(s Send) {
	d := o.To(s.To)
	if s.Ping != nil {
		d.Ping = s.Ping
	}
	if s.Ack != nil {
		d.Ack = s.Ack
	}
}

// Take removes the datagram for a router and returns it, or nil.
func (o *Outbox) Take(id wire.NodeID) *wire.Datagram {
	d := o.datagrams[id]
	if d == nil {
		return nil
	}
	delete(o.datagrams, id)
	for i, other := range o.order {
		if other == id {
			o.order = append(o.order[:i], o.order[i+1:]...)
			break
		}
	}
	return d
}

// Flush adds the membership part to every datagram, passes each to send, and empties the
// outbox.
func (o *Outbox) Flush(t *Table, send func(to wire.NodeID, d *wire.Datagram)) {
	for _, id := range o.order {
		d := o.datagrams[id]
		t.Fill(d, id)
		send(id, d)
	}
	clear(o.datagrams)
	o.order = nil
}
