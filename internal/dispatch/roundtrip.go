package dispatch

import "time"

// roundTrip estimates how long it takes until the scheduler's replies are read here, late
// ones included, as TCP does for its retransmissions (RFC 6298), and derives how long to
// wait for a reply.
//
// Load pattern: a router that is short of CPU reads replies 70 ms after its requests. With
// a fixed timeout of 45 ms it used none of them: the scheduler placed requests for its
// callers that were never sent, counted them as used, and the router then refused those
// callers for having used up their shares.
type roundTrip struct {
	mean, deviation time.Duration
}

// Weights of one reply in the averages.
const (
	roundTripWeight = 8
	deviationWeight = 4
	// deviationFactor is how many times the mean deviation a reply may take beyond the
	// mean.
	deviationFactor = 4
)

func (r *roundTrip) observe(took time.Duration) {
	off := took - r.mean
	r.mean += off / roundTripWeight
	r.deviation += (off.Abs() - r.deviation) / deviationWeight
}

// timeout is how long to wait for a reply.
func (r *roundTrip) timeout() time.Duration {
	return min(max(r.mean+deviationFactor*r.deviation, minPlacementTimeout), maxPlacementTimeout)
}

// resendDelay is how long to wait before a placement request is sent again: until then the
// reply is expected.
func (r *roundTrip) resendDelay() time.Duration {
	return min(max(r.mean+deviationFactor*r.deviation, minPlacementRetryDelay), maxPlacementTimeout)
}

// timedOutRequest is a placement request that was not answered in time.
type timedOutRequest struct {
	try         uint32
	requestedAt time.Time
}

// timedOutRequestTTL is how long a late reply to such a request still counts for the
// estimate.
const timedOutRequestTTL = time.Second

// replyTimeout is how long a request waits for its scheduler's reply: at most half of the
// time left to its target, but never less than the minimum timeout.
func (n *Node) replyTimeout(f *inflightRequest) time.Duration {
	wait := n.replyRTT.timeout()
	if left := f.req.TargetTime.Sub(f.requestedAt) / 2; wait > left {
		wait = max(left, minPlacementTimeout)
	}
	return wait
}

// recordReplyTime counts the time of a reply, whether it came in time or late.
func (n *Node) recordReplyTime(no uint64, try uint32, f *inflightRequest, now time.Time) {
	if late, known := n.timedOutRequests[no]; known && late.try == try {
		delete(n.timedOutRequests, no)
		n.replyRTT.observe(now.Sub(late.requestedAt))
		return
	}
	if f != nil && f.upstreamID == 0 && f.try == try && !f.queued {
		n.replyRTT.observe(now.Sub(f.requestedAt))
	}
}

// expireTimedOutRequests forgets requests whose replies are no longer expected.
func (n *Node) expireTimedOutRequests(now time.Time) {
	for no, g := range n.timedOutRequests {
		if now.Sub(g.requestedAt) >= timedOutRequestTTL {
			delete(n.timedOutRequests, no)
		}
	}
}
