// Package fingerprint identifies requests by their content, so that a request is recognised
// when it is repeated with another request ID, with other headers or at another router.
package fingerprint

import (
	"crypto/hkdf"
	"crypto/hmac"
	"crypto/sha256"
	"encoding/binary"
	"fmt"

	"github.com/joomcode/errorx"
)

// ErrKey is the type of errors for a fleet secret from which no key can be derived.
var ErrKey = errorx.NewNamespace("fingerprint").NewType("key")

// Fingerprint identifies the content of a request within the fleet. It has 64 bits: with
// 2,000 remembered fingerprints, one in 9e15 other requests collides with one of them.
type Fingerprint uint64

// String returns the fingerprint as shown in logs and status pages.
func (f Fingerprint) String() string { return fmt.Sprintf("%016x", uint64(f)) }

// Key computes fingerprints. It is derived from the fleet's secret, since the content of a
// short body could be guessed from a plain hash in the logs. It may be used by any
// goroutine.
type Key struct{ key []byte }

// NewKey derives the key from the fleet's secret.
func NewKey(secret string) (*Key, error) {
	key, err := hkdf.Key(sha256.New, []byte(secret), nil, "silverswitch/1 fingerprint", sha256.Size)
	if err != nil {
		return nil, ErrKey.Wrap(err, "derive the key from the secret")
	}
	return &Key{key}, nil
}

// Content is the part of a request by which repetitions are recognised. It includes the
// organisation, so that an organisation's requests do not affect those of another.
type Content struct {
	Organisation string
	Method       string
	Host         string
	Target       string   // path and query
	Body         [][]byte // in pieces
}

// Of returns the fingerprint of a request's content.
func (k *Key) Of(c Content) Fingerprint {
	h := hmac.New(sha256.New, k.key)
	for _, field := range []string{c.Organisation, c.Method, c.Host, c.Target} {
		var size [4]byte
		binary.BigEndian.PutUint32(size[:], uint32(len(field)))
		h.Write(size[:])
		h.Write([]byte(field))
	}
	for _, p := range c.Body {
		h.Write(p)
	}
	return Fingerprint(binary.BigEndian.Uint64(h.Sum(nil)))
}
