package process

import (
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/silverswitch/silverswitch/internal/dispatch"
	"github.com/silverswitch/silverswitch/internal/routing"
)

// Before the first publication, and for a service that is not in the table, the placement
// decides. Guards against a router that refuses all requests just after its start.
func TestUnknownServicesAreNotUnservable(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	rc := NewRoutedController(dispatch.Settings{ID: "10.0.0.1:1"}, failingSource{}, nil, nil, nil, zerolog.Nop())
	_, unservable := rc.Unservable("s", nil)
	assert.False(t, unservable)
	rc.publishServiceStates(now)
	_, unservable = rc.Unservable("s", nil)
	assert.False(t, unservable)
}

// A service is unservable from the publication of the store's content that says so, and
// servable again from the one that takes it back.
func TestServiceStatesArePublishedWithTheStoresContent(t *testing.T) {
	rc := NewRoutedController(dispatch.Settings{ID: "10.0.0.1:1"}, failingSource{}, nil, nil, nil, zerolog.Nop())
	rc.view.Table = costTable(t)
	rc.publish(rc.now())
	refusal, unservable := rc.Unservable("s", nil)
	require.True(t, unservable)
	assert.Equal(t, dispatch.ReasonNoUpstream, refusal.Reason)
	rc.node.Step(dispatch.Catalogue{Table: rc.view.Table, Incremental: true, Instances: []routing.Instance{{ID: "i", Service: "s", Address: "127.0.0.1:1", Place: "p"}}}, rc.now())
	rc.publish(rc.now())
	_, unservable = rc.Unservable("s", nil)
	assert.False(t, unservable)
}
