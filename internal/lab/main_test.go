package lab

import (
	"os"
	"runtime/debug"
	"testing"
)

// A world keeps little and allocates for every event: with the default, a quarter of the time goes
// to the collector.
func TestMain(m *testing.M) {
	debug.SetGCPercent(400)
	os.Exit(m.Run())
}
