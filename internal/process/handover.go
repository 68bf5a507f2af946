package process

import (
	"context"
	"time"

	"github.com/silverswitch/silverswitch/internal/conn"
	"github.com/silverswitch/silverswitch/internal/core/wire"
	"github.com/silverswitch/silverswitch/internal/dispatch"
)

// What a scheduler knows passes to routers that may take over by JSON-RPC between peers:
// for hundreds of organisations and engines it is too large for a datagram.

// snapshotWait is how long a peer's question for the state waits for the control goroutine.
const snapshotWait = time.Second

// PackedSnapshot returns the state of the services of which this router is an heir, or nil.
func (s *Steerer) PackedSnapshot(q conn.Query) []byte {
	state, answered := ask(&s.controlLoop, snapshotWait, func(now time.Time) *wire.Snapshot { return s.node.Snapshot(wire.NodeID(q.Requester), now) })
	if !answered {
		return nil
	}
	raw, err := wire.EncodeSnapshot(state)
	if err != nil {
		s.log.Error().Err(err).Msg("snapshot-not-encoded")
		return nil
	}
	s.log.Info().Str("peer", q.Requester).Int("services", len(state.Services)).Int("bytes", len(raw)).Msg("snapshot-told")
	return raw
}

// fetchSnapshot reads a scheduler's state from an heir.
func (s *Steerer) fetchSnapshot(o dispatch.FetchSnapshot) {
	raw, err := conn.Fetch(context.Background(), conn.Query{Method: conn.MethodSnapshot, Requester: string(s.id)}, string(o.From), s.sealer)
	if err != nil {
		s.log.Info().Err(err).Str("peer", string(o.From)).Str("service", o.Service).Msg("snapshot-fetch-failed")
		return
	}
	state, err := wire.DecodeSnapshot(raw)
	if err != nil {
		s.log.Warn().Err(err).Str("peer", string(o.From)).Str("service", o.Service).Msg("snapshot-unreadable")
		return
	}
	s.Step(dispatch.Inherit{From: o.From, Snapshot: state})
}
