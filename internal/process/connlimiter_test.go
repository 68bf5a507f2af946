package process

import (
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// Guards against running out of descriptors: callers that open a connection for each request
// leave idle ones behind, and a router without free descriptors accepts no connection for
// seconds.
func TestLongestIdleConnectionIsClosedForANewOne(t *testing.T) {
	c := newConnLimiter(reservedDescriptors + 10) // close hint above 3 connections, idle ones closed above 6
	var ours, theirs []net.Conn
	for range 9 {
		a, b := net.Pipe()
		ours, theirs = append(ours, a), append(theirs, b)
	}
	closed := func(i int) bool {
		_ = theirs[i].SetReadDeadline(pastDeadline)
		_, err := theirs[i].Read(make([]byte, 1))
		nerr, ok := err.(net.Error)
		return !ok || !nerr.Timeout()
	}
	for i := range 6 {
		c.connState(ours[i], http.StateNew)
		c.connState(ours[i], http.StateActive)
		assert.Equal(t, i+1 > 3, c.closeHint())
		c.connState(ours[i], http.StateIdle)
	}
	c.connState(ours[0], http.StateActive) // in use again
	c.connState(ours[6], http.StateNew)
	assert.True(t, closed(1), "the longest idle connection")
	assert.False(t, closed(0), "a connection in use")
	assert.False(t, closed(2))
	c.connState(ours[1], http.StateClosed)
	assert.Equal(t, 6, c.open)
	unbounded := newConnLimiter(0)
	unbounded.connState(ours[7], http.StateNew)
	assert.False(t, unbounded.closeHint())
}

var pastDeadline = time.Unix(1, 0)
