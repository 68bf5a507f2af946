package forward

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// A flood from one organisation overloads a router. The router must not shed the requests
// of all organisations alike.
func TestFloodingOrganisationIsShedFirst(t *testing.T) {
	shedder := newLoadShedder()
	now := time.Unix(1_800_000_000, 0)
	const fraction = 0.5 // of all requests are to be refused
	refused, sent := map[string]int{}, map[string]int{}
	for i := range 20_000 {
		now = now.Add(time.Millisecond)
		org := "flood"
		if i%10 == 0 {
			org = "small"
		}
		sent[org]++
		if shedder.refuses(org, fraction, 1, now) {
			refused[org]++
		}
	}
	assert.Less(t, refused["small"], sent["small"]/20)
	all := float64(refused["flood"]+refused["small"]) / 20_000
	assert.InDelta(t, 0.5, all, 0.05)
	assert.False(t, shedder.refuses("flood", 0, 1, now), "a router that is not overloaded refuses nothing")
	shed := 0
	for range 100 {
		if shedder.refuses("flood", 0.9, 1, now) {
			shed++
		}
	}
	assert.Greater(t, shed, 70)
}

// Guards against a router that sends its scheduler a placement request for each of 2,000
// requests a second from an organisation whose share covers 25, and reads the replies too late.
// Requests beyond the shares are shed first; if that is enough, nothing else is refused.
func TestRequestsBeyondSharesAreShedFirst(t *testing.T) {
	shedder := newLoadShedder()
	now := time.Unix(1_800_000_000, 0)
	refused, sent := map[string]int{}, map[string]int{}
	for i := range 20_000 {
		now = now.Add(time.Millisecond)
		org, covered := "flood", 0.05
		if i%5 == 0 {
			org, covered = "large", 1
		}
		sent[org]++
		if shedder.refuses(org, 0.5, covered, now) {
			refused[org]++
		}
	}
	assert.InDelta(t, 0.95, float64(refused["flood"])/float64(sent["flood"]), 0.02)
	assert.Less(t, refused["large"], sent["large"]/20, "although it sends most of the requests within shares")
	assert.True(t, shedder.refuses("flood", 0, 0, now), "also while the CPU keeps up")
}

// What waits in a router until it is sent was not told: a router that had let in more than it could
// send looked like one that served as much with the same CPU.
func TestRequestsThatWaitInTheRouterAreCounted(t *testing.T) {
	h := newHarness(t)
	h.control.held = make(chan *Ticket, 3)
	done := make(chan int)
	for range 3 {
		go func() {
			res, _, err := h.do(t, "POST", "/stream/x", "body")
			assert.NoError(t, err)
			done <- res.StatusCode
		}()
	}
	var tickets []*Ticket
	for range 3 {
		tickets = append(tickets, <-h.control.held)
	}
	assert.EqualValues(t, 3, h.server.Unsent())
	for _, ticket := range tickets {
		h.control.decide(ticket)
		assert.Equal(t, http.StatusServiceUnavailable, <-done)
	}
	require.Eventually(t, func() bool { return h.server.Unsent() == 0 }, 5*time.Second, time.Millisecond)
}
