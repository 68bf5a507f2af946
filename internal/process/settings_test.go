package process

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestDefaultsAreValid(t *testing.T) {
	s, err := ParseSettings("defaults", Defaults)
	require.NoError(t, err)
	assert.Equal(t, "hakata-a", s.Place)
	assert.Len(t, s.Seeds, 1)
}

func TestSettingsFaults(t *testing.T) {
	cases := map[string][3]string{
		"unknown key":        {"level = info", "level = info\nlevle = x", "levle"},
		"unknown section":    {"[log]", "[logs]\n[log]", "logs"},
		"host name":          {"peer_address = 127.0.0.1:7100", "peer_address = router-1:7100", "router-1:7100"},
		"bad seed":           {"seeds = 127.0.0.1:7101", "seeds = 127.0.0.1:7101, x", "seeds"},
		"short secret":       {"secret = change-this-secret-now", "secret = short", "at least 16"},
		"no unit":            {"balancer_wait = 5s", "balancer_wait = 5", "duration with its unit"},
		"bad level":          {"level = info", "level = loud", "debug, info, warn, error"},
		"bad exporter":       {"exporter = off", "exporter = jaeger", "off, stdout, otlp"},
		"bad ratio":          {"ratio = 0.01", "ratio = 2", "0 to 1"},
		"plain text outside": {"caller_address = 127.0.0.1:8100", "caller_address = 10.0.0.1:8100", "plain_text_allowed"},
		"half of TLS":        {"certificate =", "certificate = /x", "together"},
		"missing":            {"place = hakata-a", "", "required"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			require.Contains(t, Defaults, c[0])
			_, err := ParseSettings("r.ini", strings.Replace(Defaults, c[0], c[1], 1))
			require.Error(t, err)
			assert.ErrorContains(t, err, c[2])
			assert.ErrorContains(t, err, "r.ini")
		})
	}
}

// Guards against a router that fails only when it first needs to relay.
func TestInvalidRelayAddressIsRejected(t *testing.T) {
	const absent = "; router then relays none either. For the routed interface.\naddress ="
	require.Contains(t, Defaults, absent)
	for value, want := range map[string]string{"router-1:7101": "router-1:7101", "10.0.0.7": "10.0.0.7"} {
		_, err := ParseSettings("r.ini", strings.Replace(Defaults, absent, "address = "+value, 1))
		require.Error(t, err)
		for _, part := range []string{want, "r.ini", "relay", "address"} {
			assert.ErrorContains(t, err, part)
		}
	}
	s, err := ParseSettings("r.ini", strings.Replace(Defaults, absent, "address = 127.0.0.1:7102", 1))
	require.NoError(t, err)
	assert.Equal(t, "127.0.0.1:7102", s.Relay)
}

func TestSecretIsNotInItsFault(t *testing.T) {
	_, err := ParseSettings("r.ini", strings.Replace(Defaults, "change-this-secret-now", "hunter2", 1))
	assert.NotContains(t, err.Error(), "hunter2")
}

func FuzzSettings(f *testing.F) {
	f.Add(Defaults)
	f.Fuzz(func(_ *testing.T, text string) { _, _ = ParseSettings("fuzz", text) })
}
