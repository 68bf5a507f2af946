package dispatch

import "time"

// roundTrip follows how long the scheduler's answers take until they are read here, late
// ones too, as TCP does for its retransmissions (RFC 6298), and says how long to wait for
// one.
//
// Load pattern: a router that is short of processor reads answers 70 ms after it asked.
// Giving up after 45 ms it used none of them: the scheduler placed for its callers what was
// never sent, counted it for them, and the router refused them for having had their share.
type roundTrip struct {
	mean, deviation time.Duration
}

// Weights of one answer in the averages.
const (
	roundTripWeight = 8
	deviationWeight = 4
	// deviations are how many times the deviation an answer may take beyond the mean.
	deviationFactor = 4
)

func (r *roundTrip) observe(took time.Duration) {
	off := took - r.mean
	r.mean += off / roundTripWeight
	r.deviation += (off.Abs() - r.deviation) / deviationWeight
}

// timeout is how long to wait for an answer.
func (r *roundTrip) timeout() time.Duration {
	return min(max(r.mean+deviationFactor*r.deviation, askGiveUp), askMost)
}

// again is how long to wait before an ask is repeated: until then the answer is expected.
func (r *roundTrip) resendDelay() time.Duration {
	return min(max(r.mean+deviationFactor*r.deviation, askAgain), askMost)
}

// timedOutRequest is an ask whose answer did not come in time.
type timedOutRequest struct {
	try         uint32
	requestedAt time.Time
}

// timedOutRequestTTL is how long an answer to it still tells how late answers are.
const timedOutRequestTTL = time.Second

// patience is how long a request waits for its scheduler's answer: no longer than half
// of what is left until its answer would be late.
func (n *Node) replyTimeout(f *inflightRequest) time.Duration {
	wait := n.trip.timeout()
	if left := f.req.Aim.Sub(f.requestedAt) / 2; wait > left {
		wait = max(left, askGiveUp)
	}
	return wait
}

// recordReplyTime notes the time of an answer, in time or late.
func (n *Node) recordReplyTime(no uint64, try uint32, f *inflightRequest, now time.Time) {
	if late, known := n.gaveUp[no]; known && late.try == try {
		delete(n.gaveUp, no)
		n.trip.observe(now.Sub(late.requestedAt))
		return
	}
	if f != nil && f.upstreamID == 0 && f.try == try {
		n.trip.observe(now.Sub(f.requestedAt))
	}
}

// expireTimedOutRequests forgets asks whose answers will not come any more.
func (n *Node) expireTimedOutRequests(now time.Time) {
	for no, g := range n.gaveUp {
		if now.Sub(g.requestedAt) >= timedOutRequestTTL {
			delete(n.gaveUp, no)
		}
	}
}
