// Package fingerprint names a request by what it asks, so that it is known again when
// it comes with another request ID, at another router or with other headers.
package fingerprint

import (
	"crypto/hkdf"
	"crypto/hmac"
	"crypto/sha256"
	"encoding/binary"
	"fmt"

	"github.com/joomcode/errorx"
)

// ErrKey is a fleet secret from which no key can be derived.
var ErrKey = errorx.NewNamespace("fingerprint").NewType("key")

// Fingerprint names the content of a request inside the fleet. 64 bits: of 2,000 that are
// remembered, one in 9e15 others is taken for one of them.
type Fingerprint uint64

// String returns it as logs and status pages show it.
func (f Fingerprint) String() string { return fmt.Sprintf("%016x", uint64(f)) }

// Key makes fingerprints. It is derived from the fleet's secret: a plain hash of a short
// body could be guessed by whoever reads logs. It may be used by any goroutine.
type Key struct{ key []byte }

// NewKey derives the key from the fleet's secret.
func NewKey(secret string) (*Key, error) {
	key, err := hkdf.Key(sha256.New, []byte(secret), nil, "silverswitch/1 fingerprint", sha256.Size)
	if err != nil {
		return nil, ErrKey.Wrap(err, "derive key")
	}
	return &Key{key}, nil
}

// Content is what two requests have in common that are the same. The organisation is part
// of it, so that no organisation's requests are judged by another's.
type Content struct {
	Organisation string
	Method       string
	Host         string
	Target       string // path and query
	Body         []byte
}

// Of returns the fingerprint of a content.
func (k *Key) Of(c Content) Fingerprint {
	h := hmac.New(sha256.New, k.key)
	for _, field := range []string{c.Organisation, c.Method, c.Host, c.Target} {
		var size [4]byte
		binary.BigEndian.PutUint32(size[:], uint32(len(field)))
		h.Write(size[:])
		h.Write([]byte(field))
	}
	h.Write(c.Body)
	return Fingerprint(binary.BigEndian.Uint64(h.Sum(nil)))
}
