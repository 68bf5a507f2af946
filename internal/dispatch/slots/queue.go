package slots

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/silverswitch/silverswitch/internal/core/wire"
	"github.com/silverswitch/silverswitch/internal/version"
)

// Key identifies a waiting request in the whole fleet.
type Key struct {
	Node wire.NodeID
	No   uint64
}

// Item is a waiting request.
type Item struct {
	Key      Key
	Org      version.ID
	Priority int // the smallest is the most urgent
	// Repeated means that it has been sent before: it goes ahead of all others and is never
	// displaced.
	Repeated bool
	Target   time.Time // an answer after this is late
	Deadline time.Time
	Since    time.Time // when it began to wait
	Request  *wire.PlacementRequest
	Told     int // how often its router was told that it waits
}

// Queue holds the requests that wait for a slot. Its order is: repeated requests; requests that
// can still be in time; the organisation that has used the least slot time; the more urgent
// priority; the earlier deadline. Slot time counts in units of one request's service time, so
// that priorities and deadlines decide between organisations that have used about the same.
//
// Load pattern: one or several of 30 organisations send 3 to 14 times their usual rate for 6 to
// 11 s. In order of arrival, all organisations would wait behind the flood.
type Queue struct {
	items []*Item // by priority, deadline and key: the order within an organisation
	keys  map[Key]*Item

	ranks   map[version.ID]int // scratch space of one pass over the items
	scratch []position
}

// Len returns the number of waiting requests.
func (q *Queue) Len() int { return len(q.items) }

// Get returns a waiting request, or nil.
func (q *Queue) Get(k Key) *Item { return q.keys[k] }

// Items returns all waiting requests. The slice must not be modified.
func (q *Queue) Items() []*Item { return q.items }

// Push adds a request, in place of an earlier one with the same key.
func (q *Queue) Push(it *Item) {
	q.Remove(it.Key)
	if q.keys == nil {
		q.keys = map[Key]*Item{}
	}
	q.keys[it.Key] = it
	i, _ := slices.BinarySearchFunc(q.items, it, compareWithinOrg)
	q.items = slices.Insert(q.items, i, it)
}

// Remove removes and returns a request, nil if it does not wait.
func (q *Queue) Remove(k Key) *Item {
	it := q.keys[k]
	if it == nil {
		return nil
	}
	delete(q.keys, k)
	i, _ := slices.BinarySearchFunc(q.items, it, compareWithinOrg)
	q.items = slices.Delete(q.items, i, i+1)
	return it
}

// compareWithinOrg is a total order.
func compareWithinOrg(a, b *Item) int {
	return cmp.Or(cmp.Compare(a.Priority, b.Priority), a.Deadline.Compare(b.Deadline), a.Since.Compare(b.Since),
		cmp.Compare(a.Key.Node, b.Key.Node), cmp.Compare(a.Key.No, b.Key.No))
}

// Order has what the order of a queue depends on beyond its items.
type Order struct {
	Usage     *Usage
	ServiceMS float64 // of one request
	Now       time.Time
}

// Classes of requests, the first criterion of the order.
const (
	classRepeated = iota
	classInTime
	classLate // can no longer be answered in time
)

func (o Order) class(it *Item) int {
	switch {
	case it.Repeated:
		return classRepeated
	case o.Late(it):
		return classLate
	}
	return classInTime
}

// Late reports whether a request can no longer be answered in time.
func (o Order) Late(it *Item) bool {
	return o.Now.Add(time.Duration(o.ServiceMS * float64(time.Millisecond))).After(it.Target)
}

// units is the slot time of an organisation after some of its waiting requests were served, in
// units of one request.
func (o Order) units(org version.ID, served int) int {
	return int(min(o.Usage.Of(org)/max(o.ServiceMS, minMeanMS), 1e9)) + served
}

// position is an item's place in the order.
type position struct {
	class, units int
	item         *Item
}

func (p position) compare(other position) int {
	return cmp.Or(cmp.Compare(p.class, other.class), cmp.Compare(p.units, other.units), compareWithinOrg(p.item, other.item))
}

// each calls f with the position of each item. An organisation's later items count the earlier
// ones as served.
func (q *Queue) each(o Order, f func(position)) {
	if q.ranks == nil {
		q.ranks = map[version.ID]int{}
	}
	clear(q.ranks)
	for _, it := range q.items {
		f(position{o.class(it), o.units(it.Org, q.ranks[it.Org]), it})
		q.ranks[it.Org]++
	}
}

// Ahead returns how many waiting requests precede a request that does not wait yet.
func (q *Queue) Ahead(it *Item, o Order) int {
	served := 0
	for _, other := range q.items {
		if other.Org == it.Org && compareWithinOrg(other, it) < 0 {
			served++
		}
	}
	own := position{o.class(it), o.units(it.Org, served), it}
	ahead := 0
	q.each(o, func(p position) {
		if p.compare(own) < 0 {
			ahead++
		}
	})
	return ahead
}

// Displaced returns the request that has to leave the queue because it is full, nil if it is not:
// the last one in the order. Repeated requests do not leave. Requests that can no longer be in
// time neither count nor leave unless the queue is longer than a fixed bound: their refusal would
// be late too, and they run only while nothing else waits.
func (q *Queue) Displaced(o Order, limit int) *Item {
	var last, lastInTime position
	inTime := 0
	q.each(o, func(p position) {
		if p.class != classLate {
			inTime++
		}
		if p.class == classInTime && (lastInTime.item == nil || p.compare(lastInTime) > 0) {
			lastInTime = p
		}
		if p.class != classRepeated && (last.item == nil || p.compare(last) > 0) {
			last = p
		}
	})
	switch {
	case len(q.items) > maxQueueLen:
		return last.item
	case inTime > limit:
		return lastInTime.item
	}
	return nil
}

// First returns the first requests in the order, at most some number.
func (q *Queue) First(o Order, limit int) []*Item {
	all := q.scratch[:0]
	q.each(o, func(p position) { all = append(all, p) })
	q.scratch = all
	if limit < len(all) {
		// A partial selection: a pass over the items for each one is cheaper than sorting while
		// the number is small.
		for i := range limit {
			best := i
			for j := i + 1; j < len(all); j++ {
				if all[j].compare(all[best]) < 0 {
					best = j
				}
			}
			all[i], all[best] = all[best], all[i]
		}
		all = all[:limit]
	} else {
		slices.SortFunc(all, position.compare)
	}
	out := make([]*Item, len(all))
	for i, p := range all {
		out[i] = p.item
	}
	return out
}

// minRateRatio is the smallest part of the rate that an organisation is expected to get.
const minRateRatio = 0.1

// RateFor returns the rate at which slots become free for an organisation's requests: the rate of
// all slots, of which there is a number, less what the organisations use that precede it.
//
// Load pattern: while one organisation floods, requests of the others arrive all the time and go
// ahead of those that it has waiting. By their positions alone these seemed to be in time, and
// were displaced after their target.
func (o Order) RateFor(org version.ID, rate, slots float64) float64 {
	if !(slots > 0) {
		return rate
	}
	return rate * max(minRateRatio, 1-o.Usage.SlotsBelow(org)/slots)
}

// WaitMS returns the expected wait of a request behind others, in milliseconds, if slots become
// free at a rate per millisecond. Without any it is infinite.
func WaitMS(ahead int, rate float64) float64 {
	if !(rate > 0) {
		return math.Inf(1)
	}
	return float64(ahead+1) / rate
}

// Bounds on the number of waiting requests.
const (
	minQueueLen = 8
	maxQueueLen = 512
)

// MaxLen returns how many requests may wait: as many as are served within a time in
// milliseconds. Any beyond these would be answered late.
func MaxLen(rate, ms float64) int {
	n := rate * ms
	if !(n > minQueueLen) {
		return minQueueLen
	}
	return int(min(n, maxQueueLen))
}
