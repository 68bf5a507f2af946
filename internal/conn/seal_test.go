package conn

import (
	"context"
	"testing"

	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/silverswitch/silverswitch/internal/core/wire"
	"github.com/silverswitch/silverswitch/internal/standin"
)

const secret = "a-secret-for-tests-only"

func sealer(t testing.TB, secret string) *Sealer {
	t.Helper()
	s, err := NewSealer(secret, "route")
	require.NoError(t, err)
	return s
}

func TestSealedMessageOpensOnlyForItsReceiver(t *testing.T) {
	s := sealer(t, secret)
	sealed := s.Seal([]byte("hello"), []byte("a b"))
	raw, err := s.Open(sealed, []byte("a b"))
	require.NoError(t, err)
	assert.Equal(t, "hello", string(raw))
	_, err = s.Open(sealed, []byte("a c"))
	assert.Error(t, err, "sealed for another receiver")
	sealed[20] ^= 1
	_, err = s.Open(sealed, []byte("a b"))
	assert.Error(t, err, "modified in transit")
	_, err = sealer(t, "another-secret-of-a-fleet").Open(s.Seal([]byte("x"), nil), nil)
	assert.Error(t, err, "sealed by another fleet")
	_, err = NewSealer("short", "route")
	assert.ErrorContains(t, err, "16 or more")
}

func TestDatagramOfAnotherFleetIsDropped(t *testing.T) {
	reg := metrics.NewRegistry()
	a, err := Listen(standin.FreeAddr(), sealer(t, secret), reg)
	require.NoError(t, err)
	defer a.Close()
	b, err := Listen(standin.FreeAddr(), sealer(t, secret), metrics.NewRegistry())
	require.NoError(t, err)
	defer b.Close()
	x, err := Listen(standin.FreeAddr(), sealer(t, "another-secret-of-a-fleet"), metrics.NewRegistry())
	require.NoError(t, err)
	defer x.Close()
	x.Send(a.self, &wire.Datagram{Inc: 1})
	b.Send(a.self, &wire.Datagram{Inc: 2})
	d, err := a.Receive(make([]byte, 65536))
	require.NoError(t, err)
	assert.Equal(t, wire.Incarnation(2), d.Inc)
	assert.Equal(t, b.self, d.From)
	assert.Equal(t, int64(1), a.Refused.Count())
}

func TestFetchRequiresFleetKey(t *testing.T) {
	addr := standin.FreeAddr()
	packed := []byte("packed")
	s, err := ServeFetch(addr, sealer(t, secret), Handlers{MethodVersion: func(Query) []byte { return packed }})
	require.NoError(t, err)
	defer s.Close()
	raw, err := Fetch(context.Background(), Query{Method: MethodVersion, Requester: "asker"}, addr, sealer(t, secret))
	require.NoError(t, err)
	assert.Equal(t, "packed", string(raw))
	_, err = Fetch(context.Background(), Query{Method: MethodVersion, Requester: "asker"}, addr, sealer(t, "another-secret-of-a-fleet"))
	assert.ErrorContains(t, err, "not sealed with this fleet's key")
	packed = nil
	_, err = Fetch(context.Background(), Query{Method: MethodVersion, Requester: "asker"}, addr, sealer(t, secret))
	assert.ErrorContains(t, err, "version.get: there is none")
	_, err = Fetch(context.Background(), Query{Method: MethodSnapshot, Requester: "asker"}, addr, sealer(t, secret))
	assert.ErrorContains(t, err, "unknown method")
}

func FuzzOpen(f *testing.F) {
	s := sealer(f, secret)
	f.Add(s.Seal([]byte("x"), nil))
	f.Add([]byte{})
	f.Fuzz(func(_ *testing.T, raw []byte) { _, _ = s.Open(raw, nil) })
}

func TestDecompressIsBounded(t *testing.T) {
	raw, err := decompress(compress([]byte("packed")))
	require.NoError(t, err)
	assert.Equal(t, "packed", string(raw))
	_, err = decompress(compress(make([]byte, maxFetchedBytes+1)))
	assert.ErrorContains(t, err, "more than")
	_, err = decompress([]byte("no gzip"))
	assert.Error(t, err)
}
