package process

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestReloadAppliesOnlyValidSettings(t *testing.T) {
	path := filepath.Join(t.TempDir(), "r.ini")
	write := func(from, to string) {
		require.Contains(t, Defaults, from)
		require.NoError(t, os.WriteFile(path, []byte(strings.Replace(Defaults, from, to, 1)), 0o600))
	}
	write("bound = 0s", "bound = 0s")
	set, err := LoadSettings(path)
	require.NoError(t, err)
	var log bytes.Buffer
	var applied []Settings
	step := func() {
		set = reloadSettings(path, set, func(s Settings) { applied = append(applied, s) }, zerolog.New(&log))
	}
	step()
	assert.Empty(t, applied, "nothing has changed")
	write("bound = 0s", "bound = 8s")
	step()
	require.Len(t, applied, 1)
	assert.Equal(t, 8*time.Second, applied[0].Bound)
	write("bound = 0s", "bound = x")
	step()
	assert.Len(t, applied, 1, "an invalid file changes nothing")
	assert.Equal(t, 8*time.Second, set.Bound)
	write("place = hakata-a", "place = kokura")
	step()
	assert.Contains(t, log.String(), `"after_restart":"Place"`)
}
