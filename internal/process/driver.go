package process

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/silverswitch/silverswitch/internal/clock"
	"github.com/silverswitch/silverswitch/internal/conn"
	"github.com/silverswitch/silverswitch/internal/core"
	"github.com/silverswitch/silverswitch/internal/core/claim"
	"github.com/silverswitch/silverswitch/internal/core/entry"
	"github.com/silverswitch/silverswitch/internal/core/wire"
	"github.com/silverswitch/silverswitch/internal/request"
	"github.com/silverswitch/silverswitch/internal/version"
)

const progressTicks = 4 // ticks between two looks at running requests

// Driver runs a core.Node: it is the one goroutine that touches control state,
// and the adapter through which all others ask it. It implements
// request.Control.
type Driver struct {
	id     wire.NodeID
	node   *core.Node // control goroutine only
	place  string
	route  *conn.PeerSocket
	sealer *conn.Sealer
	log    zerolog.Logger
	nextID atomic.Uint64
	controlLoop

	version atomic.Pointer[version.Version]
	held    heldRequests
	view    atomic.Pointer[core.View]
	watches atomic.Bool
	ready   atomic.Bool

	tickets map[uint64]*ticketState // control goroutine only
	ticks   int                     // control goroutine only
}

type ticketState struct {
	ticket  *request.Ticket
	running bool
}

// NewDriver returns a driver that is not running yet.
func NewDriver(set core.Settings, route *conn.PeerSocket, sealer *conn.Sealer, log zerolog.Logger) *Driver {
	now := clock.System.Now()
	d := &Driver{
		id:      set.ID,
		node:    core.New(set, now),
		place:   set.Place,
		route:   route,
		sealer:  sealer,
		log:     log,
		tickets: map[uint64]*ticketState{},

		controlLoop: newControlLoop(now),
	}
	d.watches.Store(true)
	return d
}

// Run is the control goroutine. It ends with the context.
func (d *Driver) Run(ctx context.Context) { d.run(ctx, core.TickEvery, d, d.log) }

func (d *Driver) receive(m *wire.Datagram, now time.Time) {
	d.node.Step(core.Receive{Datagram: m}, now)
}

func (d *Driver) flush(now time.Time) { d.act(d.node.Ready(now)) }

func (d *Driver) tick(now time.Time) {
	d.ticks++
	if d.ticks%progressTicks == 0 {
		for id, t := range d.tickets {
			if t.running {
				d.node.Step(core.Progress{ID: id, Units: t.ticket.Units()}, now)
			}
		}
		v := d.node.View(now)
		d.view.Store(&v)
		d.watches.Store(v.Watches)
		d.ready.Store(v.Ready)
	}
	d.node.Tick(now)
	d.held.publish(d.node.Quarantine())
}

// act carries out the core's outputs.
func (d *Driver) act(outs []core.Output) {
	for _, o := range outs {
		switch o := o.(type) {
		case core.Send:
			d.route.Send(o.To, o.Datagram)
		case core.Start:
			d.start(o)
		case core.Refuse:
			d.refuse(o)
		case core.Fetch:
			go d.fetch(o)
		case core.Probe:
			go d.probe(o.Upstream)
		case core.Event:
			d.log.Info().Uint64("value", o.Value).Str("detail", o.Detail).Msg(o.Name)
		}
	}
}

func (d *Driver) start(o core.Start) {
	t := d.tickets[o.ID]
	if t == nil {
		return
	}
	t.running = true
	t.ticket.Decide(request.Decision{Upstream: d.node.Upstream(o.Upstream), At: d.clock.Now()})
}

func (d *Driver) refuse(o core.Refuse) {
	t := d.tickets[o.ID]
	if t == nil {
		return
	}
	delete(d.tickets, o.ID)
	t.ticket.Decide(request.Decision{At: d.clock.Now(), Refusal: o})
}

// fetch reads a version from a peer and offers it to the core.
func (d *Driver) fetch(o core.Fetch) {
	raw, err := conn.Fetch(context.Background(), conn.Query{Method: conn.MethodVersion, Requester: string(d.id)}, string(o.From), d.sealer)
	if err != nil {
		d.log.Debug().Err(err).Msg("version-fetch-failed")
		return
	}
	d.Offer(raw)
}

// Offer checks a packed version, from whatever source, and hands it to the core.
func (d *Driver) Offer(raw []byte) {
	p, err := version.Decode(raw)
	if err != nil {
		d.log.Warn().Err(err).Msg("value-is-no-version")
		return
	}
	num := version.NumberOf(raw, p.Revision)
	if cur := d.version.Load(); cur != nil && cur.Number == num {
		return
	}
	v, err := version.Load(raw)
	d.do(func(now time.Time) {
		if err != nil {
			d.node.Step(core.BadVersion{Number: num, Why: err.Error()}, now)
			return
		}
		d.node.Step(core.NewVersion{Version: v}, now)
		d.version.Store(d.node.Version())
	})
}

// Step gives the core one input.
func (d *Driver) Step(in core.Input) {
	d.do(func(now time.Time) { d.node.Step(in, now) })
}

// View returns the control state as of a few ticks ago, or nil at the start.
func (d *Driver) View() *core.View { return d.view.Load() }

// Ready reports whether the balancer may send callers here.
func (d *Driver) Ready() bool { return d.ready.Load() }

// Watches reports whether this router reads the configuration service now.
func (d *Driver) Watches() bool { return d.watches.Load() }

// Version implements request.Control.
func (d *Driver) Version() *version.Version { return d.version.Load() }

// Place implements request.Control.
func (d *Driver) Place() string { return d.place }

// Redirect implements request.Control.
func (d *Driver) Redirect(places map[string]bool) string {
	answer := make(chan string, 1)
	d.do(func(time.Time) { answer <- d.node.Redirect(places) })
	select {
	case url := <-answer:
		return url
	case <-d.done:
		return ""
	}
}

// Submit implements request.Control.
func (d *Driver) Submit(r entry.Request, key *claim.Key) *request.Ticket {
	t := request.NewTicket(d.nextID.Add(1))
	r.ID = t.ID
	r.Deadline = d.base.Add(r.Deadline.Sub(d.base))
	d.do(func(now time.Time) {
		d.tickets[t.ID] = &ticketState{ticket: t}
		d.node.Step(core.Arrive{Request: r, Key: key}, now)
	})
	return t
}

// Cancel implements request.Control. A slot that came at the same moment is
// given back first: nothing was sent.
func (d *Driver) Cancel(t *request.Ticket) {
	d.do(func(now time.Time) {
		st := d.tickets[t.ID]
		if st == nil {
			return
		}
		delete(d.tickets, t.ID)
		if st.running {
			d.node.Step(core.Return{ID: t.ID}, now)
		}
		d.node.Step(core.Cancel{ID: t.ID}, now)
	})
}

// Return implements request.Control.
func (d *Driver) Return(t *request.Ticket, failed bool) {
	d.do(func(now time.Time) {
		if st := d.tickets[t.ID]; st != nil {
			st.running = false
		}
		d.node.Step(core.Return{ID: t.ID, Failed: failed}, now)
	})
}

// Finish implements request.Control.
func (d *Driver) Finish(t *request.Ticket, s wire.Sample, answered bool) {
	d.do(func(now time.Time) {
		delete(d.tickets, t.ID)
		d.node.Step(core.Finish{ID: t.ID, Units: t.Units(), Sample: s, Answered: answered}, now)
	})
}

// Leaving implements request.Control.
func (d *Driver) Leaving(id version.ID) { d.Step(core.Drain{Upstream: id}) }
