package process

import (
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"

	"github.com/silverswitch/silverswitch/internal/dispatch"
)

// The door goes on refusing what shares do not cover for a while after the processor has
// caught up: the flood that it is spared would make it short again.
func TestDoorIsToldWhatSharesCoverWhileShortOfProcessor(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	s := &Steerer{node: dispatch.New(dispatch.Settings{ID: "10.0.0.1:1"}, now), log: zerolog.Nop()}
	assert.Equal(t, 1.0, s.AdmitRatio("engines", "flood"))
	s.strained = true
	s.publishCovered(now)
	assert.NotNil(t, s.covered.Load())
	assert.Equal(t, 1.0, s.AdmitRatio("engines", "flood"), "nothing is known of it")
	s.covered.Store(&map[serviceOrg]float64{{"engines", "flood"}: 0.1})
	assert.Equal(t, 0.1, s.AdmitRatio("engines", "flood"))
	assert.Equal(t, 1.0, s.AdmitRatio("engines", "small"))
	s.strained = false
	s.publishCovered(now.Add(coverFor))
	assert.NotNil(t, s.covered.Load())
	s.publishCovered(now.Add(coverFor + time.Millisecond))
	assert.Nil(t, s.covered.Load())
}
