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
	deviations = 4
)

func (r *roundTrip) take(took time.Duration) {
	off := took - r.mean
	r.mean += off / roundTripWeight
	r.deviation += (off.Abs() - r.deviation) / deviationWeight
}

// giveUp is how long to wait for an answer.
func (r *roundTrip) giveUp() time.Duration {
	return min(max(r.mean+deviations*r.deviation, minPlacementTimeout), maxPlacementTimeout)
}

// again is how long to wait before an ask is repeated: until then the answer is expected.
func (r *roundTrip) again() time.Duration {
	return min(max(r.mean+deviations*r.deviation, minPlacementRetryDelay), maxPlacementTimeout)
}

// givenUp is an ask whose answer did not come in time.
type givenUp struct {
	try   uint32
	asked time.Time
}

// givenUpFor is how long an answer to it still tells how late answers are.
const givenUpFor = time.Second

// patience is how long a request waits for its scheduler's answer: no longer than half
// of what is left until its answer would be late.
func (n *Node) patience(f *flight) time.Duration {
	wait := n.replyRTT.giveUp()
	if left := f.req.TargetTime.Sub(f.asked) / 2; wait > left {
		wait = max(left, minPlacementTimeout)
	}
	return wait
}

// answerTook notes the time of an answer, in time or late.
func (n *Node) answerTook(no uint64, try uint32, f *flight, now time.Time) {
	if late, known := n.timedOutRequests[no]; known && late.try == try {
		delete(n.timedOutRequests, no)
		n.replyRTT.take(now.Sub(late.asked))
		return
	}
	if f != nil && f.placed == 0 && f.try == try {
		n.replyRTT.take(now.Sub(f.asked))
	}
}

// expireGivenUp forgets asks whose answers will not come any more.
func (n *Node) expireGivenUp(now time.Time) {
	for no, g := range n.timedOutRequests {
		if now.Sub(g.asked) >= givenUpFor {
			delete(n.timedOutRequests, no)
		}
	}
}
