package tool

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestLoadCountsOutcomes(t *testing.T) {
	var n atomic.Int64
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch {
		case r.Host != "h.example" || r.Header.Get("Authorization") != "Bearer k" || r.Header.Get("X-Request-Id") == "":
			w.WriteHeader(http.StatusNotFound)
		case n.Add(1) == 1:
			w.Header().Set("Retry-After", "0.01")
			w.WriteHeader(http.StatusServiceUnavailable)
		default:
			w.Header().Set("Content-Type", "text/event-stream")
			fmt.Fprint(w, "id: 1\ndata: x\n\n")
		}
	}))
	defer s.Close()
	code, out, _ := run("load", "-routers", s.URL, "-host", "h.example", "-keys", "k", "-rate", "200", "-for", "300ms")
	assert.Equal(t, ExitOK, code)
	assert.Regexp(t, `answered +\d+`, out)
	assert.Regexp(t, `refused and sent again +1\n`, out)
	assert.NotContains(t, out, "status")
	code, out, _ = run("load", "-routers", s.URL, "-host", "other", "-rate", "100", "-for", "50ms")
	assert.Equal(t, ExitFailed, code)
	assert.Contains(t, out, "status 404")
}

func TestLoadIsBounded(t *testing.T) {
	for _, args := range [][]string{{"-rate", "0"}, {"-rate", "99999"}, {"-for", "24h"}, {"-things", "0"}} {
		code, _, errOut := run(append([]string{"load", "-routers", "http://127.0.0.1:1"}, args...)...)
		assert.Equal(t, ExitFailed, code)
		assert.Contains(t, errOut, "at most")
	}
	code, _, _ := run("load")
	assert.Equal(t, ExitUsage, code)
}
