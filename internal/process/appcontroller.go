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

// progressTicks is the number of ticks between progress reports of running requests, and
// between publications of the control state.
const progressTicks = 4

// AppController runs the control state of the application interface, a core.Node. A single
// control goroutine accesses it; all other goroutines use the methods of AppController,
// which queue work for it or read published copies. It implements request.Control.
type AppController struct {
	id     wire.NodeID
	node   *core.Node // control goroutine only
	place  string
	route  *conn.Route
	sealer *conn.Sealer
	log    zerolog.Logger
	nextID atomic.Uint64
	controlLoop

	version     atomic.Pointer[version.Version]
	quarantined quarantineSnapshot
	view        atomic.Pointer[core.View]
	watches     atomic.Bool
	ready       atomic.Bool

	tickets map[uint64]*ticketState // control goroutine only
	ticks   int                     // control goroutine only
}

type ticketState struct {
	ticket  *request.Ticket
	running bool
}

// NewAppController returns a controller that is not running yet.
func NewAppController(set core.Settings, route *conn.Route, sealer *conn.Sealer, log zerolog.Logger) *AppController {
	now := clock.System.Now()
	c := &AppController{
		id:      set.ID,
		node:    core.New(set, now),
		place:   set.Place,
		route:   route,
		sealer:  sealer,
		log:     log,
		tickets: map[uint64]*ticketState{},

		controlLoop: newControlLoop(now),
	}
	c.watches.Store(true)
	return c
}

// Run runs the control goroutine until the context ends.
func (c *AppController) Run(ctx context.Context) { c.run(ctx, core.TickEvery, c, c.log) }

func (c *AppController) receive(m *wire.Datagram, now time.Time) {
	c.node.Step(core.Receive{Datagram: m}, now)
}

func (c *AppController) flush(now time.Time) { c.handleOutputs(c.node.Ready(now)) }

func (c *AppController) tick(now time.Time) {
	c.ticks++
	if c.ticks%progressTicks == 0 {
		for id, t := range c.tickets {
			if t.running {
				c.node.Step(core.Progress{ID: id, Units: t.ticket.Units()}, now)
			}
		}
		v := c.node.View(now)
		c.view.Store(&v)
		c.watches.Store(v.Watches)
		c.ready.Store(v.Ready)
	}
	c.node.Tick(now)
	c.quarantined.publish(c.node.Quarantine())
}

// handleOutputs carries out the node's outputs.
func (c *AppController) handleOutputs(outs []core.Output) {
	for _, o := range outs {
		switch o := o.(type) {
		case core.Send:
			c.route.Send(o.To, o.Datagram)
		case core.Start:
			c.startRequest(o)
		case core.Refuse:
			c.refuseRequest(o)
		case core.Fetch:
			go c.fetchVersion(o)
		case core.Probe:
			go c.probe(o.Upstream)
		case core.Event:
			c.log.Info().Uint64("value", o.Value).Str("detail", o.Detail).Msg(o.Name)
		}
	}
}

func (c *AppController) startRequest(o core.Start) {
	t := c.tickets[o.ID]
	if t == nil {
		return
	}
	t.running = true
	t.ticket.Decide(request.Decision{Upstream: c.node.Upstream(o.Upstream), At: c.clock.Now()})
}

func (c *AppController) refuseRequest(o core.Refuse) {
	t := c.tickets[o.ID]
	if t == nil {
		return
	}
	delete(c.tickets, o.ID)
	t.ticket.Decide(request.Decision{At: c.clock.Now(), Refusal: o})
}

// fetchVersion fetches a version from a peer and offers it to the node.
func (c *AppController) fetchVersion(o core.Fetch) {
	raw, err := conn.Fetch(context.Background(), conn.Question{Method: conn.MethodVersion, Asker: string(c.id)}, string(o.From), c.sealer)
	if err != nil {
		c.log.Debug().Err(err).Msg("version-fetch-failed")
		return
	}
	c.OfferVersion(raw)
}

// OfferVersion checks a packed version from any source and passes it to the node.
func (c *AppController) OfferVersion(raw []byte) {
	p, err := version.Decode(raw)
	if err != nil {
		c.log.Warn().Err(err).Msg("value-is-no-version")
		return
	}
	num := version.NumberOf(raw, p.Revision)
	if cur := c.version.Load(); cur != nil && cur.Number == num {
		return
	}
	v, err := version.Load(raw)
	c.enqueue(func(now time.Time) {
		if err != nil {
			c.node.Step(core.BadVersion{Number: num, Why: err.Error()}, now)
			return
		}
		c.node.Step(core.NewVersion{Version: v}, now)
		c.version.Store(c.node.Version())
	})
}

// Step queues one input for the node.
func (c *AppController) Step(in core.Input) {
	c.enqueue(func(now time.Time) { c.node.Step(in, now) })
}

// View returns the control state as of the last publication, at most progressTicks ago, or
// nil before the first one.
func (c *AppController) View() *core.View { return c.view.Load() }

// Ready reports whether the load balancer may send requests here.
func (c *AppController) Ready() bool { return c.ready.Load() }

// Watches reports whether this router should read the configuration service itself.
func (c *AppController) Watches() bool { return c.watches.Load() }

// Version implements request.Control.
func (c *AppController) Version() *version.Version { return c.version.Load() }

// Place implements request.Control.
func (c *AppController) Place() string { return c.place }

// Redirect implements request.Control.
func (c *AppController) Redirect(places map[string]bool) string {
	answer := make(chan string, 1)
	c.enqueue(func(time.Time) { answer <- c.node.Redirect(places) })
	select {
	case url := <-answer:
		return url
	case <-c.done:
		return ""
	}
}

// Submit implements request.Control.
func (c *AppController) Submit(r entry.Request, key *claim.Key) *request.Ticket {
	t := request.NewTicket(c.nextID.Add(1))
	r.ID = t.ID
	r.Deadline = c.startTime.Add(r.Deadline.Sub(c.startTime))
	c.enqueue(func(now time.Time) {
		c.tickets[t.ID] = &ticketState{ticket: t}
		c.node.Step(core.Arrive{Request: r, Key: key}, now)
	})
	return t
}

// Cancel implements request.Control. A slot that was granted meanwhile is returned first,
// because nothing was sent.
func (c *AppController) Cancel(t *request.Ticket) {
	c.enqueue(func(now time.Time) {
		st := c.tickets[t.ID]
		if st == nil {
			return
		}
		delete(c.tickets, t.ID)
		if st.running {
			c.node.Step(core.Return{ID: t.ID}, now)
		}
		c.node.Step(core.Cancel{ID: t.ID}, now)
	})
}

// Return implements request.Control.
func (c *AppController) Return(t *request.Ticket, failed bool) {
	c.enqueue(func(now time.Time) {
		if st := c.tickets[t.ID]; st != nil {
			st.running = false
		}
		c.node.Step(core.Return{ID: t.ID, Failed: failed}, now)
	})
}

// Finish implements request.Control.
func (c *AppController) Finish(t *request.Ticket, s wire.Sample, answered bool) {
	c.enqueue(func(now time.Time) {
		delete(c.tickets, t.ID)
		c.node.Step(core.Finish{ID: t.ID, Units: t.Units(), Sample: s, Answered: answered}, now)
	})
}

// Leaving implements request.Control.
func (c *AppController) Leaving(id version.ID) { c.Step(core.Drain{Upstream: id}) }
