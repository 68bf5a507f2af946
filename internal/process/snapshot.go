package process

import (
	"context"
	"time"

	"github.com/silverswitch/silverswitch/internal/conn"
	"github.com/silverswitch/silverswitch/internal/core/wire"
	"github.com/silverswitch/silverswitch/internal/dispatch"
)

// A scheduler's state is transferred to its standbys by JSON-RPC between peers, because for
// hundreds of organisations and engines it is too large for a datagram.

// snapshotTimeout bounds the wait of a peer's snapshot request for the control goroutine.
const snapshotTimeout = time.Second

// PackedSnapshot returns the encoded state of the services for which this router is the
// scheduler or a standby, or nil.
func (rc *RoutedController) PackedSnapshot(q conn.Query) []byte {
	state, answered := query(&rc.controlLoop, snapshotTimeout, func(now time.Time) *wire.Snapshot { return rc.node.Snapshot(wire.NodeID(q.Requester), now) })
	if !answered {
		return nil
	}
	raw, err := wire.EncodeSnapshot(state)
	if err != nil {
		rc.log.Error().Err(err).Msg("snapshot-not-encoded")
		return nil
	}
	rc.log.Info().Str("peer", q.Requester).Int("services", len(state.Services)).Int("bytes", len(raw)).Msg("snapshot-told")
	return raw
}

// fetchSnapshot fetches a service's scheduler state from a member of its scheduler group.
func (rc *RoutedController) fetchSnapshot(o dispatch.FetchSnapshot) {
	raw, err := conn.Fetch(context.Background(), conn.Query{Method: conn.MethodSnapshot, Requester: string(rc.id)}, string(o.From), rc.sealer)
	if err != nil {
		rc.log.Info().Err(err).Str("peer", string(o.From)).Str("service", o.Service).Msg("snapshot-fetch-failed")
		return
	}
	state, err := wire.DecodeSnapshot(raw)
	if err != nil {
		rc.log.Warn().Err(err).Str("peer", string(o.From)).Str("service", o.Service).Msg("snapshot-unreadable")
		return
	}
	rc.Step(dispatch.SnapshotFetched{From: o.From, Snapshot: state})
}
