package forward

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// A request whose body came too slowly was refused later than refusalWriteTimeout after its
// arrival, and its connection closed without a byte: the refusal's time had passed before it was
// written.
func TestRefusalAfterALongWaitIsWritten(t *testing.T) {
	t.Parallel()
	r := newHarness(t)
	c, err := net.Dial("tcp", strings.TrimPrefix(r.url, "http://"))
	require.NoError(t, err)
	defer c.Close()
	wait := refusalWriteTimeout + 200*time.Millisecond
	fmt.Fprintf(c, "POST /patient/x HTTP/1.1\r\nHost: h.example\r\nAuthorization: Bearer key-a\r\nX-Id: r1\r\nX-Left-Ms: %d\r\nContent-Length: 900\r\n\r\nslow", wait.Milliseconds())
	require.NoError(t, c.SetReadDeadline(time.Now().Add(wait+5*time.Second)))
	res, err := http.ReadResponse(bufio.NewReader(c), nil)
	require.NoError(t, err)
	assert.Equal(t, http.StatusRequestTimeout, res.StatusCode)
	assert.Equal(t, "r1", res.Header.Get("X-Id"))
}
