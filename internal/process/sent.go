package process

import (
	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"github.com/silverswitch/silverswitch/internal/core/wire"
)

// What this router sends to others, counted by what a datagram is for and by whether it
// leaves the place, so that on any fleet it can be seen what its control costs.

// purpose is what a datagram is for: the first of these that it holds.
type purpose int

const (
	forChanges purpose = iota // of the store's content
	forAnswers                // of a scheduler
	forAsks                   // to a scheduler
	forNotes                  // of the ends of requests
	forRegular                // regular messages
	forRest                   // membership and requests that crash upstreams
	purposes
)

// names of the purposes in metrics.
var purposeNames = [purposes]string{"changes", "answers", "asks", "notes", "regular", "membership"}

func purposeOf(d *wire.Datagram) purpose {
	w := d.Dispatch
	switch {
	case w == nil:
		return forRest
	case w.Delta != nil:
		return forChanges
	case len(w.PlacementReplies) > 0:
		return forAnswers
	case len(w.PlacementRequests) > 0:
		return forAsks
	case len(w.ProgressNotes) > 0:
		return forNotes
	}
	return forRegular
}

// sentCounts are the totals since the start.
type sentCounts struct {
	bytes, datagrams [purposes]metrics.Counter
	otherPlaces      metrics.Counter // bytes to routers of other places
}

func newSentCounts(reg metrics.Registry) sentCounts {
	var c sentCounts
	for p, name := range purposeNames {
		c.bytes[p] = metrics.GetOrRegisterCounter("control.sent."+name+".bytes", reg)
		c.datagrams[p] = metrics.GetOrRegisterCounter("control.sent."+name+".datagrams", reg)
	}
	c.otherPlaces = metrics.GetOrRegisterCounter("control.sent.other-places.bytes", reg)
	return c
}

// log writes the totals.
func (c *sentCounts) log(log zerolog.Logger) {
	e := log.Info()
	for p, name := range purposeNames {
		e.Int64(name+"_bytes", c.bytes[p].Count()).Int64(name, c.datagrams[p].Count())
	}
	e.Int64("other_places_bytes", c.otherPlaces.Count()).Msg("control-sent")
}

// count takes a datagram that was sent.
func (c *sentCounts) count(d *wire.Datagram, bytes int, near bool) {
	p := purposeOf(d)
	c.bytes[p].Inc(int64(bytes))
	c.datagrams[p].Inc(1)
	if !near {
		c.otherPlaces.Inc(int64(bytes))
	}
}
