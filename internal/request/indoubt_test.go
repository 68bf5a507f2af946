package request

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/silverswitch/silverswitch/internal/standin"
)

// A request that may be repeated was cut at its first upstream, and the others did not take it: it was
// refused as one that has not run.
func TestRefusalAfterAnAttemptInDoubtPromisesNothing(t *testing.T) {
	c := newTornCalls(t)
	whole := "HTTP/1.1 200 OK\r\n" + identity + "Content-Length: 2\r\n\r\nok"
	full := standin.Tear{Raw: "HTTP/1.1 503 Service Unavailable\r\n" + identity + "X-Not-Started: true\r\nContent-Length: 0\r\n\r\n", Cut: standin.All, End: standin.Keep}
	r := c.call("look", standin.Tear{Raw: whole, Cut: len(whole) - 1}, full)
	assert.Equal(t, http.StatusBadGateway, r.Status)
	assert.Contains(t, r.Body, `"outcome":"unknown"`)
	r = c.call("look", full)
	assert.Equal(t, http.StatusServiceUnavailable, r.Status)
	assert.Contains(t, r.Body, `"outcome":"not-run"`)
}
