package fingerprint

import (
	"bytes"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func key(t testing.TB, secret string) *Key {
	t.Helper()
	k, err := NewKey(secret)
	require.NoError(t, err)
	return k
}

func TestFingerprintDependsOnlyOnContent(t *testing.T) {
	k := key(t, "a secret of the fleet")
	c := Content{Organisation: "alpha", Method: "POST", Host: "h.example", Target: "/a/b", Body: [][]byte{[]byte("body")}}
	same := k.Of(c)
	assert.Equal(t, same, key(t, "a secret of the fleet").Of(c), "every router of the fleet computes the same")
	assert.NotEqual(t, same, key(t, "another secret").Of(c), "the content cannot be guessed without the secret")
	for name, other := range map[string]Content{
		"organisation": {Organisation: "beta", Method: "POST", Host: "h.example", Target: "/a/b", Body: [][]byte{[]byte("body")}},
		"method":       {Organisation: "alpha", Method: "PUT", Host: "h.example", Target: "/a/b", Body: [][]byte{[]byte("body")}},
		"host":         {Organisation: "alpha", Method: "POST", Host: "i.example", Target: "/a/b", Body: [][]byte{[]byte("body")}},
		"path":         {Organisation: "alpha", Method: "POST", Host: "h.example", Target: "/a/c", Body: [][]byte{[]byte("body")}},
		"body":         {Organisation: "alpha", Method: "POST", Host: "h.example", Target: "/a/b", Body: [][]byte{[]byte("bodz")}},
		"bounds":       {Organisation: "alpha", Method: "POST", Host: "h.example/", Target: "a/b", Body: [][]byte{[]byte("body")}},
	} {
		assert.NotEqual(t, same, k.Of(other), name)
	}
}

// BenchmarkFingerprint measures the fingerprint of a request with a body of 40 KB. Routers
// compute none while no request of the organisation is suspected.
func BenchmarkFingerprint(b *testing.B) {
	k := key(b, "a secret of the fleet")
	c := Content{Organisation: "alpha", Method: "POST", Host: "h.example", Target: "/a/b", Body: [][]byte{bytes.Repeat([]byte("x"), 40<<10)}}
	for b.Loop() {
		k.Of(c)
	}
}
