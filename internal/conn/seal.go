// Package conn holds what lives as long as a connection: the sealed datagrams
// between routers, the reading of versions from peers, and the pools of
// connections to upstreams.
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
	// ErrSeal is a message that was not sealed with the fleet's key.
	ErrSeal = namespace.NewType("seal")
	// ErrPeer is a peer that could not be reached or answered wrongly.
	ErrPeer = namespace.NewType("peer")
)

// MinSecretBytes is the shortest fleet secret, in bytes.
const MinSecretBytes = 16

// Sealer encrypts and authenticates messages between routers with AES-256-GCM
// under a key derived from the fleet's secret. It may be used by any goroutine.
type Sealer struct{ aead cipher.AEAD }

// NewSealer derives the key of one purpose from the fleet's secret.
func NewSealer(secret, purpose string) (*Sealer, error) {
	if len(secret) < MinSecretBytes {
		return nil, ErrSeal.New("secret of %d bytes: allowed: %d or more", len(secret), MinSecretBytes)
	}
	key, err := hkdf.Key(sha256.New, []byte(secret), nil, "silverswitch/1 "+purpose, 32)
	if err != nil {
		return nil, ErrSeal.Wrap(err, "derive key")
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

// Seal returns the sealed message. bound is authenticated but not sent.
func (s *Sealer) Seal(message, bound []byte) []byte {
	return s.aead.Seal(nil, nil, message, bound)
}

// Open returns the message, or ErrSeal.
func (s *Sealer) Open(sealed, bound []byte) ([]byte, error) {
	raw, err := s.aead.Open(nil, nil, sealed, bound)
	if err != nil {
		return nil, ErrSeal.New("not sealed with this fleet's key")
	}
	return raw, nil
}
