package process

import (
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"

	"github.com/silverswitch/silverswitch/internal/dispatch"
)

// Admission ratios must stay in force for admissionHoldDuration after an overload: if they
// ended with it, the flood that they keep out would overload the router again.
func TestAdmitRatiosStayInForceAfterOverload(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	rc := &RoutedController{node: dispatch.New(dispatch.Settings{ID: "10.0.0.1:1"}, now), log: zerolog.Nop()}
	assert.Equal(t, 1.0, rc.AdmitRatio("engines", "flood"))
	rc.overloaded = true
	rc.publishAdmitRatios(now)
	assert.NotNil(t, rc.admitRatios.Load())
	assert.Equal(t, 1.0, rc.AdmitRatio("engines", "flood"), "no ratio is known for the organisation")
	rc.admitRatios.Store(&map[serviceOrg]float64{{"engines", "flood"}: 0.1})
	assert.Equal(t, 0.1, rc.AdmitRatio("engines", "flood"))
	assert.Equal(t, 1.0, rc.AdmitRatio("engines", "small"))
	rc.overloaded = false
	rc.publishAdmitRatios(now.Add(admissionHoldDuration))
	assert.NotNil(t, rc.admitRatios.Load())
	rc.publishAdmitRatios(now.Add(admissionHoldDuration + time.Millisecond))
	assert.Nil(t, rc.admitRatios.Load())
}
