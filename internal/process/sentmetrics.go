package process

import (
	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"github.com/silverswitch/silverswitch/internal/core/wire"
)

// The datagrams that this router sends to others are counted by their purpose and by whether
// they leave the place, so that the cost of a fleet's control traffic can be measured.

// purpose is the purpose of a datagram: the first of these constants that applies.
type purpose int

const (
	purposeChanges    purpose = iota // changes of the store's content
	purposeReplies                   // placement replies of a scheduler
	purposeRequests                  // placement requests to a scheduler
	purposeProgress                  // notifications of progress to a scheduler
	purposeHeartbeat                 // heartbeats
	purposeMembership                // membership, and the quarantine of requests that crash upstreams
	purposeCount
)

// purposeNames are the names of the purposes in metrics and logs.
var purposeNames = [purposeCount]string{"changes", "answers", "asks", "notes", "regular", "membership"}

func purposeOf(d *wire.Datagram) purpose {
	w := d.Dispatch
	switch {
	case w == nil:
		return purposeMembership
	case w.Delta != nil:
		return purposeChanges
	case len(w.PlacementReplies) > 0:
		return purposeReplies
	case len(w.PlacementRequests) > 0:
		return purposeRequests
	case len(w.ProgressNotes) > 0:
		return purposeProgress
	}
	return purposeHeartbeat
}

// sentMetrics counts sent datagrams since the start of the process.
type sentMetrics struct {
	bytes, datagrams [purposeCount]metrics.Counter
	otherPlaces      metrics.Counter // bytes to routers in other places
}

func newSentMetrics(reg metrics.Registry) sentMetrics {
	var m sentMetrics
	for p, name := range purposeNames {
		m.bytes[p] = metrics.GetOrRegisterCounter("control.sent."+name+".bytes", reg)
		m.datagrams[p] = metrics.GetOrRegisterCounter("control.sent."+name+".datagrams", reg)
	}
	m.otherPlaces = metrics.GetOrRegisterCounter("control.sent.other-places.bytes", reg)
	return m
}

// log logs the totals.
func (m *sentMetrics) log(log zerolog.Logger) {
	e := log.Info()
	for p, name := range purposeNames {
		e.Int64(name+"_bytes", m.bytes[p].Count()).Int64(name, m.datagrams[p].Count())
	}
	e.Int64("other_places_bytes", m.otherPlaces.Count()).Msg("control-sent")
}

// count counts a datagram of the given size. samePlace means that its receiver is in this
// router's place.
func (m *sentMetrics) count(d *wire.Datagram, bytes int, samePlace bool) {
	p := purposeOf(d)
	m.bytes[p].Inc(int64(bytes))
	m.datagrams[p].Inc(1)
	if !samePlace {
		m.otherPlaces.Inc(int64(bytes))
	}
}
