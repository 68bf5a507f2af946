package process

import (
	"io"
	"net/http"
	"sort"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// The difference between these two benchmarks of one run is the cost that a router adds to a
// request on loopback. Both include the allocations of the caller and the upstream.

func BenchmarkCallDirect(b *testing.B) {
	f := benchFleet(b)
	benchCall(b, "http://"+f.plainAddr()+"/x")
}

func BenchmarkCallThroughRouter(b *testing.B) {
	f := benchFleet(b)
	benchCall(b, f.url(0)+"/v1/apps/check/x")
}

func benchFleet(b *testing.B) *testFleet {
	f := newTestFleet(b)
	f.files["templates/t.ini"] += "[application check]\nservice = counter\nidempotent = true\n"
	f.publish()
	f.waitForRevision(2)
	return f
}

func (f *testFleet) plainAddr() string {
	for _, u := range f.daemons[0].ctrl.Version().Upstreams {
		if u.Name == "c" {
			return u.Address
		}
	}
	return ""
}

func benchCall(b *testing.B, url string) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4}}
	call := func() {
		req, err := http.NewRequest(http.MethodPost, url, strings.NewReader(`{"item":7}`))
		require.NoError(b, err)
		req.Header.Set("Authorization", "Bearer wide-key")
		res, err := client.Do(req)
		require.NoError(b, err)
		_, err = io.Copy(io.Discard, res.Body)
		require.NoError(b, err)
		res.Body.Close()
		require.Equal(b, http.StatusOK, res.StatusCode)
	}
	for range 50 {
		call() // connections, scheduler, credits
	}
	var took []time.Duration
	b.ReportAllocs()
	for b.Loop() {
		began := time.Now()
		call()
		took = append(took, time.Since(began))
	}
	sort.Slice(took, func(i, j int) bool { return took[i] < took[j] })
	b.ReportMetric(float64(took[len(took)/2].Microseconds()), "µs/median")
	b.ReportMetric(float64(took[len(took)*99/100].Microseconds()), "µs/99th")
}
