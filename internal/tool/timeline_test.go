package tool

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const routerLogs = `12.3 front-1 {"level":"info","router":"a","time":"2026-01-01T00:00:02.000Z","request":"r1","upstream":"i-1","attempt":1,"cause":"EOF","message":"attempt-failed"}
not structured
{"level":"info","router":"a","time":"2026-01-01T00:00:02.100Z","request":"r1","status":502,"reason":"upstream-failed","message":"request-failed"}
{"level":"warn","router":"a","time":"2026-01-01T00:00:01.500Z","message":"source-lost"}
{"level":"info","router":"a","time":"2026-01-01T00:00:01.600Z","upstream":"i-1","message":"upstream-gone"}
{"level":"info","router":"a","time":"2026-01-01T00:00:01.600Z","upstream":"i-2","message":"upstream-gone"}
{"level":"info","router":"b","time":"2026-01-01T00:00:01.700Z","message":"source-lost"}
{"level":"info","router":"a","time":"2026-01-01T00:00:01.900Z","request":"r2","message":"request-answered"}
{"level":"info","router":"a","time":"2026-01-01T00:00:30.000Z","message":"readiness"}
`

const suspectLogs = `{"level":"info","router":"b","time":"2026-01-01T00:00:01.000Z","request":"r0","fingerprint":"00ff","message":"answer-broken"}
{"level":"info","router":"b","time":"2026-01-01T00:00:01.100Z","fingerprint":"00ff","crashes":3,"held_ms":600000,"message":"request-suspected"}
{"level":"info","router":"a","time":"2026-01-01T00:02:00.000Z","fingerprint":"00aa","crashes":2,"held_ms":0,"message":"request-suspected"}
{"level":"info","router":"a","time":"2026-01-01T00:02:00.100Z","request":"r1","fingerprint":"00ff","crashes":3,"status":503,"reason":"crashes-upstreams","message":"request-failed"}
{"level":"info","router":"a","time":"2026-01-01T00:02:00.200Z","request":"r2","fingerprint":"00ff","crashes":3,"status":503,"reason":"crashes-upstreams","message":"request-failed"}
`

// The cause of a refusal may lie long before the request: another attempt with the same
// content that crashed an upstream at another router.
func TestTimelineIncludesOtherAttemptsOfSameContent(t *testing.T) {
	path := filepath.Join(t.TempDir(), "log")
	require.NoError(t, os.WriteFile(path, []byte(suspectLogs), 0o600))
	code, out, _ := run("explain-request", "r1", path)
	require.Equal(t, ExitOK, code)
	assert.Equal(t, `00:00:01.000   b answer-broken fingerprint=00ff request=r0
00:00:01.100   b request-suspected crashes=3 fingerprint=00ff held_ms=600000
00:02:00.100 * a request-failed crashes=3 fingerprint=00ff reason=crashes-upstreams status=503
`, out)
}

func TestTimelineOfRequest(t *testing.T) {
	path := filepath.Join(t.TempDir(), "log")
	require.NoError(t, os.WriteFile(path, []byte(routerLogs), 0o600))
	code, out, _ := run("explain-request", "r1", path)
	require.Equal(t, ExitOK, code)
	assert.Equal(t, `00:00:01.500   a source-lost
00:00:01.600   a upstream-gone upstream=i-1
00:00:02.000 * a attempt-failed attempt=1 cause=EOF upstream=i-1
00:00:02.100 * a request-failed reason=upstream-failed status=502
`, out)
	code, _, errOut := run("explain-request", "r9", path)
	assert.Equal(t, ExitFailed, code)
	assert.Contains(t, errOut, "no line")
	code, _, _ = run("explain-request")
	assert.Equal(t, ExitUsage, code)
}
