package dispatch

import (
	"os"
	"runtime/debug"
	"testing"
)

// Simulations keep little and allocate much: the collector runs less often than by default.
func TestMain(m *testing.M) {
	debug.SetGCPercent(400)
	os.Exit(m.Run())
}
