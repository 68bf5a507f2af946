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
	purposeChanges    purpose = iota // of the store's content
	purposeReplies                   // of a scheduler
	purposeRequests                  // to a scheduler
	purposeProgress                  // of the ends of requests
	purposeHeartbeat                 // regular messages
	purposeMembership                // membership and requests that crash upstreams
	purposeCount
)

// names of the purposes in metrics.
var purposeNames = [purposeCount]string{"changes", "answers", "asks", "notes", "regular", "membership"}

func purposeOf(d *wire.Datagram) purpose {
	w := d.Work
	switch {
	case w == nil:
		return purposeMembership
	case w.Delta != nil:
		return purposeChanges
	case len(w.Answers) > 0:
		return purposeReplies
	case len(w.Asks) > 0:
		return purposeRequests
	case len(w.Notes) > 0:
		return purposeProgress
	}
	return purposeHeartbeat
}

// sentMetrics are the totals since the start.
type sentMetrics struct {
	bytes, datagrams [purposeCount]metrics.Counter
	otherPlaces      metrics.Counter // bytes to routers of other places
}

func newSentMetrics(reg metrics.Registry) sentMetrics {
	var c sentMetrics
	for p, name := range purposeNames {
		c.bytes[p] = metrics.GetOrRegisterCounter("control.sent."+name+".bytes", reg)
		c.datagrams[p] = metrics.GetOrRegisterCounter("control.sent."+name+".datagrams", reg)
	}
	c.otherPlaces = metrics.GetOrRegisterCounter("control.sent.other-places.bytes", reg)
	return c
}

// log writes the totals.
func (c *sentMetrics) log(log zerolog.Logger) {
	e := log.Info()
	for p, name := range purposeNames {
		e.Int64(name+"_bytes", c.bytes[p].Count()).Int64(name, c.datagrams[p].Count())
	}
	e.Int64("other_places_bytes", c.otherPlaces.Count()).Msg("control-sent")
}

// count takes a datagram that was sent.
func (c *sentMetrics) count(d *wire.Datagram, bytes int, near bool) {
	p := purposeOf(d)
	c.bytes[p].Inc(int64(bytes))
	c.datagrams[p].Inc(1)
	if !near {
		c.otherPlaces.Inc(int64(bytes))
	}
}
