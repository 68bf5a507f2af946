// Package conn implements the connections of a router: the sealed datagrams between
// routers, the fetching of versions and state from peers, and the connection pools to
// upstreams.
package conn

import (
	"crypto/aes"
	"crypto/cipher"
	"crypto/hkdf"
	"crypto/sha256"

	"github.com/joomcode/errorx"
)

// Errors of this package.
var (
	namespace = errorx.NewNamespace("conn")
	// ErrSeal is the type of errors for messages not sealed with the fleet's key.
	ErrSeal = namespace.NewType("seal")
	// ErrPeer is the type of errors for a peer that cannot be reached or answers wrongly.
	ErrPeer = namespace.NewType("peer")
)

// MinSecretBytes is the minimum length of the fleet secret.
const MinSecretBytes = 16

// Sealer encrypts and authenticates messages between routers with AES-256-GCM
// under a key derived from the fleet's secret. It may be used by any goroutine.
type Sealer struct{ aead cipher.AEAD }

// NewSealer returns a sealer whose key is derived from the fleet's secret for one purpose.
func NewSealer(secret, purpose string) (*Sealer, error) {
	if len(secret) < MinSecretBytes {
		return nil, ErrSeal.New("secret of %d bytes: allowed: %d or more", len(secret), MinSecretBytes)
	}
	key, err := hkdf.Key(sha256.New, []byte(secret), nil, "silverswitch/1 "+purpose, 32)
	if err != nil {
		return nil, ErrSeal.Wrap(err, "derive the key from the secret")
	}
	block, err := aes.NewCipher(key)
	if err != nil {
		return nil, ErrSeal.Wrap(err, "cipher")
	}
	aead, err := cipher.NewGCMWithRandomNonce(block)
	if err != nil {
		return nil, ErrSeal.Wrap(err, "mode")
	}
	return &Sealer{aead}, nil
}

// Seal returns the sealed message. aad (additional authenticated data) is authenticated but
// not included in it.
func (s *Sealer) Seal(message, aad []byte) []byte {
	return s.aead.Seal(nil, nil, message, aad)
}

// Open returns the message of a sealed one, or an ErrSeal.
func (s *Sealer) Open(sealed, aad []byte) ([]byte, error) {
	raw, err := s.aead.Open(nil, nil, sealed, aad)
	if err != nil {
		return nil, ErrSeal.New("not sealed with this fleet's key")
	}
	return raw, nil
}
