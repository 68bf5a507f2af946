package forward

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// unframedStreamHeader begins a stream with neither a length nor chunks, which ends with its
// connection.
const unframedStreamHeader = okHeader + "Content-Type: text/event-stream\r\nConnection: close\r\n\r\n"

// Guards against an empty success: an upstream that ended after the header of a stream with neither
// a length nor chunks had answered whole, by the bytes, and the caller got 200 without an event.
func TestStreamThatEndsBeforeAnyEventIsNotWhole(t *testing.T) {
	ended, _ := scriptedUpstream(t, unframedStreamHeader+"\x00")
	r := newHarness(t, ended)
	res, _, err := r.do(t, "POST", "/single/x", "b")
	require.NoError(t, err)
	assert.Equal(t, http.StatusBadGateway, res.StatusCode)
	require.Len(t, r.control.incompleteAttempts, 1)
	assert.True(t, r.control.incompleteAttempts[0].Early)
	assert.True(t, r.control.incompleteAttempts[0].Lost, "the upstream may have ended")

	ended, _ = scriptedUpstream(t, unframedStreamHeader+"\x00")
	sound, _ := scriptedUpstream(t, eventStreamHeader+eventChunk(1)+lastChunk)
	r = newHarness(t, ended, sound)
	res, body, err := r.do(t, "POST", "/stream/x", "b")
	require.NoError(t, err)
	assert.Equal(t, http.StatusOK, res.StatusCode)
	assert.Equal(t, "id: 1\ndata: e1\n\n", body, "it is resumed from its beginning")
}

// A stream with neither a length nor chunks that ends after an event is passed on as whole, since
// nothing tells it from a whole one; one that ends inside an event has been broken off.
func TestUnframedStreamEndsWithItsConnection(t *testing.T) {
	whole, _ := scriptedUpstream(t, unframedStreamHeader+"id: 1\ndata: e1\n\n\x00")
	r := newHarness(t, whole)
	res, body, err := r.do(t, "POST", "/single/x", "b")
	require.NoError(t, err)
	assert.Equal(t, http.StatusOK, res.StatusCode)
	assert.Equal(t, "id: 1\ndata: e1\n\n", body)

	torn, _ := scriptedUpstream(t, unframedStreamHeader+"id: 1\ndata: e1\n\nid: 2\nda\x00")
	r = newHarness(t, torn)
	_, _, err = r.do(t, "POST", "/single/x", "b")
	assert.Error(t, err, "the caller's connection is cut")
}
