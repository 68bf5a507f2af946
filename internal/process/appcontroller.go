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
	id         wire.NodeID
	node       *core.Node // control goroutine only
	place      string
	peerSocket *conn.PeerSocket
	sealer     *conn.Sealer
	log        zerolog.Logger
	nextID     atomic.Uint64
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
func NewAppController(set core.Settings, peerSocket *conn.PeerSocket, sealer *conn.Sealer, log zerolog.Logger) *AppController {
	now := clock.System.Now()
	ac := &AppController{
		id:         set.ID,
		node:       core.New(set, now),
		place:      set.Place,
		peerSocket: peerSocket,
		sealer:     sealer,
		log:        log,
		tickets:    map[uint64]*ticketState{},

		controlLoop: newControlLoop(now),
	}
	ac.watches.Store(true)
	return ac
}

// Run runs the control goroutine until the context ends.
func (ac *AppController) Run(ctx context.Context) { ac.run(ctx, core.TickInterval, ac, ac.log) }

func (ac *AppController) receive(m *wire.Datagram, now time.Time) {
	ac.node.Step(core.Receive{Datagram: m}, now)
}

func (ac *AppController) flush(now time.Time) { ac.handleOutputs(ac.node.Ready(now)) }

func (ac *AppController) tick(now time.Time) {
	ac.ticks++
	if ac.ticks%progressTicks == 0 {
		for id, t := range ac.tickets {
			if t.running {
				ac.node.Step(core.Progress{ID: id, Units: t.ticket.Units()}, now)
			}
		}
		v := ac.node.View(now)
		ac.view.Store(&v)
		ac.watches.Store(v.Watches)
		ac.ready.Store(v.Ready)
	}
	ac.node.Tick(now)
	ac.quarantined.publish(ac.node.Quarantine())
}

// handleOutputs carries out the node's outputs.
func (ac *AppController) handleOutputs(outs []core.Output) {
	for _, o := range outs {
		switch o := o.(type) {
		case core.Send:
			ac.peerSocket.Send(o.To, o.Datagram)
		case core.Start:
			ac.startRequest(o)
		case core.Refuse:
			ac.refuseRequest(o)
		case core.Fetch:
			go ac.fetchVersion(o)
		case core.Probe:
			go ac.probe(o.Upstream)
		case core.Event:
			ac.log.Info().Uint64("value", o.Value).Str("detail", o.Detail).Msg(o.Name)
		}
	}
}

func (ac *AppController) startRequest(o core.Start) {
	t := ac.tickets[o.ID]
	if t == nil {
		return
	}
	t.running = true
	t.ticket.Decide(request.Decision{Upstream: ac.node.Upstream(o.Upstream), At: ac.clock.Now()})
}

func (ac *AppController) refuseRequest(o core.Refuse) {
	t := ac.tickets[o.ID]
	if t == nil {
		return
	}
	delete(ac.tickets, o.ID)
	t.ticket.Decide(request.Decision{At: ac.clock.Now(), Refusal: o})
}

// fetchVersion fetches a version from a peer and offers it to the node.
func (ac *AppController) fetchVersion(o core.Fetch) {
	raw, err := conn.Fetch(context.Background(), conn.Query{Method: conn.MethodVersion, Requester: string(ac.id)}, string(o.From), ac.sealer)
	if err != nil {
		ac.log.Debug().Err(err).Msg("version-fetch-failed")
		return
	}
	ac.OfferVersion(raw)
}

// OfferVersion checks a packed version from any source and passes it to the node.
func (ac *AppController) OfferVersion(raw []byte) {
	p, err := version.Decode(raw)
	if err != nil {
		ac.log.Warn().Err(err).Msg("value-is-no-version")
		return
	}
	num := version.NumberOf(raw, p.Revision)
	if cur := ac.version.Load(); cur != nil && cur.Number == num {
		return
	}
	v, err := version.Load(raw)
	ac.enqueue(func(now time.Time) {
		if err != nil {
			ac.node.Step(core.BadVersion{Number: num, Reason: err.Error()}, now)
			return
		}
		ac.node.Step(core.NewVersion{Version: v}, now)
		ac.version.Store(ac.node.Version())
	})
}

// Step queues one input for the node.
func (ac *AppController) Step(in core.Input) {
	ac.enqueue(func(now time.Time) { ac.node.Step(in, now) })
}

// View returns the control state as of the last publication, at most progressTicks ago, or
// nil before the first one.
func (ac *AppController) View() *core.View { return ac.view.Load() }

// Ready reports whether the load balancer may send requests here.
func (ac *AppController) Ready() bool { return ac.ready.Load() }

// Watches reports whether this router should read the configuration service itself.
func (ac *AppController) Watches() bool { return ac.watches.Load() }

// Version implements request.Control.
func (ac *AppController) Version() *version.Version { return ac.version.Load() }

// Place implements request.Control.
func (ac *AppController) Place() string { return ac.place }

// Redirect implements request.Control.
func (ac *AppController) Redirect(places map[string]bool) string {
	answer := make(chan string, 1)
	ac.enqueue(func(time.Time) { answer <- ac.node.Redirect(places) })
	select {
	case url := <-answer:
		return url
	case <-ac.done:
		return ""
	}
}

// Submit implements request.Control.
func (ac *AppController) Submit(r entry.Request, key *claim.Key) *request.Ticket {
	t := request.NewTicket(ac.nextID.Add(1))
	r.ID = t.ID
	r.Deadline = ac.startTime.Add(r.Deadline.Sub(ac.startTime))
	ac.enqueue(func(now time.Time) {
		ac.tickets[t.ID] = &ticketState{ticket: t}
		ac.node.Step(core.Arrive{Request: r, Key: key}, now)
	})
	return t
}

// Cancel implements request.Control. A slot that was granted meanwhile is returned first,
// because nothing was sent.
func (ac *AppController) Cancel(t *request.Ticket) {
	ac.enqueue(func(now time.Time) {
		st := ac.tickets[t.ID]
		if st == nil {
			return
		}
		delete(ac.tickets, t.ID)
		if st.running {
			ac.node.Step(core.Return{ID: t.ID}, now)
		}
		ac.node.Step(core.Cancel{ID: t.ID}, now)
	})
}

// Return implements request.Control.
func (ac *AppController) Return(t *request.Ticket, failed bool) {
	ac.enqueue(func(now time.Time) {
		if st := ac.tickets[t.ID]; st != nil {
			st.running = false
		}
		ac.node.Step(core.Return{ID: t.ID, Failed: failed}, now)
	})
}

// Finish implements request.Control.
func (ac *AppController) Finish(t *request.Ticket, s wire.Sample, answered bool) {
	ac.enqueue(func(now time.Time) {
		delete(ac.tickets, t.ID)
		ac.node.Step(core.Finish{ID: t.ID, Units: t.Units(), Sample: s, Answered: answered}, now)
	})
}

// UpstreamLeaving implements request.Control.
func (ac *AppController) UpstreamLeaving(id version.ID) { ac.Step(core.Drain{Upstream: id}) }
