package tool

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/silverswitch/silverswitch/internal/version"
)

const demoFleet = "../../demo/fleet"

func run(args ...string) (code int, out, errOut string) {
	var o, e bytes.Buffer
	code = Main(args, &o, &e)
	return code, o.String(), e.String()
}

func TestExitCodes(t *testing.T) {
	cases := []struct {
		args []string
		code int
		want string
	}{
		{nil, ExitUsage, "COMMAND"},
		{[]string{"-h"}, ExitOK, "Exit codes"},
		{[]string{"check", "-h"}, ExitOK, "silverswitch check DIR"},
		{[]string{"nope"}, ExitUsage, "no such command"},
		{[]string{"check"}, ExitUsage, "check DIR"},
		{[]string{"check", demoFleet}, ExitOK, "ok: 2 organisations"},
		{[]string{"check", "/does-not-exist"}, ExitFailed, "does-not-exist"},
		{[]string{"pack", demoFleet}, ExitUsage, "-revision"},
		{[]string{"render", demoFleet, "nishi-school"}, ExitOK, "application print-order"},
		{[]string{"render", demoFleet, "nobody"}, ExitFailed, "chaya-temple"},
		{[]string{"explain", "-place", "kokura", demoFleet, "nishi-school", "quiz-hints"}, ExitOK, "redirected"},
		{[]string{"explain", "-place", "nowhere", demoFleet, "nishi-school", "quiz-hints"}, ExitFaults, "allowed"},
		{[]string{"diff", demoFleet, demoFleet}, ExitOK, ""},
		{[]string{"status", "http://127.0.0.1:1"}, ExitFailed, "refused"},
		{[]string{"call", "-app", "x", "http://127.0.0.1:1"}, ExitFailed, "refused"},
	}
	for _, c := range cases {
		code, out, errOut := run(c.args...)
		assert.Equal(t, c.code, code, "%v: %s%s", c.args, out, errOut)
		assert.Contains(t, out+errOut, c.want, "%v", c.args)
	}
}

func TestCheckReportsFault(t *testing.T) {
	dir := t.TempDir()
	require.NoError(t, os.CopyFS(dir, os.DirFS(demoFleet)))
	path := filepath.Join(dir, "organisations", "nishi.ini")
	raw, err := os.ReadFile(path)
	require.NoError(t, err)
	require.NoError(t, os.WriteFile(path, []byte(strings.Replace(string(raw), "share = 1", "share = lots", 1)), 0o600))
	code, _, errOut := run("check", dir)
	assert.Equal(t, ExitFaults, code)
	for _, want := range []string{"organisations/nishi.ini", "share", "lots", "0.01 to 1000"} {
		assert.Contains(t, errOut, want)
	}
}

func TestPackOutputIsLoadable(t *testing.T) {
	code, out, _ := run("pack", "-revision", "7", demoFleet)
	require.Equal(t, ExitOK, code)
	v, err := version.Load([]byte(out))
	require.NoError(t, err)
	assert.Equal(t, uint64(7), v.Number.Revision)
}
