package tokens

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Guards against streams that go on at another software version than the one that began them,
// while engines are replaced, routers are killed, and callers take their streams up at others;
// and against refusing such streams, of which half as many must go on as new ones begin.
func TestStreamsKeepTheirVersionThroughReleases(t *testing.T) {
	t.Parallel()
	for seed := range uint64(3) {
		s := Scenario{Duration: shortRun, LoadFactor: 0.9, Routers: 8, Releases: true, Seed: 4 + seed}
		r, err := s.Run()
		require.NoError(t, err)
		t.Logf("seed %d: %+v", s.Seed, r.Release)
		assert.Zero(t, r.Release.Mixed, "seed %d", s.Seed)
		assert.Greater(t, r.Release.AskedToGoOn, 500, "seed %d", s.Seed)
		begin := float64(r.Release.Began) / float64(r.Release.AskedToBegin)
		goOn := float64(r.Release.WentOn) / float64(r.Release.AskedToGoOn)
		assert.GreaterOrEqual(t, goOn, begin/2, "seed %d", s.Seed)
	}
}
