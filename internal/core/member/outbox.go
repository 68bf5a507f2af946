package member

import "github.com/silverswitch/silverswitch/internal/core/wire"

// Outbox fills one datagram for each router, so that everything for it since the
// last sending goes out together. Its zero value is empty.
type Outbox struct {
	box   map[wire.NodeID]*wire.Datagram
	order []wire.NodeID // in which they were begun
}

// To returns the datagram being filled for a router.
func (o *Outbox) To(id wire.NodeID) *wire.Datagram {
	d := o.box[id]
	if d != nil {
		return d
	}
	if o.box == nil {
		o.box = map[wire.NodeID]*wire.Datagram{}
	}
	d = &wire.Datagram{}
	o.box[id] = d
	o.order = append(o.order, id)
	return d
}

// Crashes returns the part on requests that crash upstreams of the datagram for a router.
func (o *Outbox) Crashes(id wire.NodeID) *wire.CrashNews {
	d := o.To(id)
	if d.Crashes == nil {
		d.Crashes = &wire.CrashNews{}
	}
	return d.Crashes
}

// AnswerCrashes adds an answer on requests that crash upstreams; nil is none.
func (o *Outbox) AnswerCrashes(to wire.NodeID, answer *wire.CrashNews) {
	if answer == nil {
		return
	}
	c := o.Crashes(to)
	c.Records = append(c.Records, answer.Records...)
	c.Stated, c.Sum = answer.Stated, answer.Sum
}

// TellCrashes adds news on requests that crash upstreams for every live router but one.
func (o *Outbox) TellCrashes(live []wire.NodeID, but wire.NodeID, news []wire.CrashRecord) {
	if len(news) == 0 {
		return
	}
	for _, id := range live {
		if id != but {
			c := o.Crashes(id)
			c.Records = append(c.Records, news...)
		}
	}
}

// Post adds what membership sends.
func (o *Outbox) Post(s Send) {
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
	d := o.box[id]
	if d == nil {
		return nil
	}
	delete(o.box, id)
	for i, other := range o.order {
		if other == id {
			o.order = append(o.order[:i], o.order[i+1:]...)
			break
		}
	}
	return d
}

// Seal puts membership's head on every datagram, hands each over, and empties the
// box.
func (o *Outbox) Seal(t *Table, send func(to wire.NodeID, d *wire.Datagram)) {
	for _, id := range o.order {
		d := o.box[id]
		t.Fill(d, id)
		send(id, d)
	}
	clear(o.box)
	o.order = nil
}
