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

// What waits in a router for a decision was not told: a router that had let in more than it could
// send looked like one that served as much with the same CPU. Requests for plain services may
// wait for a free slot, which takes no CPU.
func TestRequestsThatWaitInTheRouterAreCounted(t *testing.T) {
	h := newHarness(t)
	h.control.held = make(chan *Ticket, 3)
	done := make(chan int)
	for range 3 {
		go func() {
			res, _, err := h.do(t, "POST", "/engine/x", "body")
			assert.NoError(t, err)
			done <- res.StatusCode
		}()
	}
	var tickets []*Ticket
	for range 3 {
		tickets = append(tickets, <-h.control.held)
	}
	assert.EqualValues(t, 3, h.server.Undecided())
	plain := make(chan struct{})
	go func() {
		_, _, err := h.do(t, "POST", "/stream/x", "body")
		assert.NoError(t, err)
		close(plain)
	}()
	h.control.decide(<-h.control.held)
	<-plain
	assert.EqualValues(t, 3, h.server.Undecided())
	for _, ticket := range tickets {
		h.control.decide(ticket)
		assert.Equal(t, http.StatusServiceUnavailable, <-done)
	}
	require.Eventually(t, func() bool { return h.server.Undecided() == 0 }, 5*time.Second, time.Millisecond)
}

// A flood at a router short of CPU. What was let in before the shed ratio had risen waited in the
// router until its callers had left, and so did all that came after it.
func TestRouterShortOfCPURefusesWhatItCannotSend(t *testing.T) {
	h := newHarness(t)
	h.control.held, h.control.maxUndecided = make(chan *Ticket, 100), 2
	done := make(chan int)
	call := func() {
		res, _, err := h.do(t, "POST", "/engine/x", "body")
		assert.NoError(t, err)
		done <- res.StatusCode
	}
	go call()
	go call()
	tickets := []*Ticket{<-h.control.held, <-h.control.held}
	refused := 0
	for range 200 { // 4 of 200 are let in by the ratio
		go call()
		select {
		case status := <-done:
			assert.Equal(t, http.StatusServiceUnavailable, status)
			refused++
		case ticket := <-h.control.held:
			tickets = append(tickets, ticket)
		}
	}
	assert.Greater(t, refused, 180)
	for _, ticket := range tickets {
		h.control.decide(ticket)
		<-done
	}
	require.Eventually(t, func() bool { return h.server.Undecided() == 0 }, 5*time.Second, time.Millisecond)
	go call()
	ticket := <-h.control.held // what waited has been sent
	h.control.decide(ticket)
	<-done
}
