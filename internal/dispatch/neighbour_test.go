package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/silverswitch/silverswitch/internal/core/wire"
)

// Guards against connections that are relayed to another place, to this router itself, or to a
// router that is leaving.
func TestNeighbourPowersAreThoseOfTheOwnPlace(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	n := New(Settings{ID: "10.0.0.1:1", Inc: 1, Place: "p0", Power: 192, Retry: DefaultRetryRules}, now)
	n.Step(Receive{Datagram: &wire.Datagram{From: "10.0.0.2:1", Inc: 1, Updates: []wire.Update{
		{ID: "10.0.0.2:1", Inc: 1, Place: "p0", Power: 800},
		{ID: "10.0.0.3:1", Inc: 1, Place: "p0", Power: 192},
		{ID: "10.0.0.4:1", Inc: 1, Place: "p1", Power: 800},
		{ID: "10.0.0.5:1", Inc: 1, Place: "p0", Power: 800, State: wire.Leaving},
	}}}, now)
	assert.Equal(t, []RouterPower{{"10.0.0.2:1", 800}, {"10.0.0.3:1", 192}}, n.NeighbourPowers())
}
