package relay

import (
	"bytes"
	"crypto/rand"
	"encoding/binary"
	"io"
	"net"
	"time"

	"github.com/silverswitch/silverswitch/internal/conn"
)

// A session opens with proofs that both sides have the fleet's secret:
//
//	helper to origin: magic, nonce H
//	origin to helper: nonce O, sealed(originProof) with H and O as additional data
//	helper to origin: sealed(helperProof) with O and H as additional data
//
// Both nonces are fresh, so a recorded proof is of no use. A sealed message is preceded by its
// length in two bytes. What follows is not encrypted, as the callers' bytes are not.
const (
	magic          = "silverswitch-relay/1\n"
	nonceBytes     = 16
	maxProofBytes  = 128
	originProof    = "origin"
	helperProof    = "helper"
	sealingPurpose = "relay"
)

// NewSealer returns the sealer of the proofs.
func NewSealer(secret string) (*conn.Sealer, error) { return conn.NewSealer(secret, sealingPurpose) }

// prove performs the origin's side of the opening of a session.
func prove(c net.Conn, s *conn.Sealer) error {
	if err := c.SetDeadline(time.Now().Add(handshakeTimeout)); err != nil {
		return ErrSession.Wrap(err, "set a deadline")
	}
	hello := make([]byte, len(magic)+nonceBytes)
	if _, err := io.ReadFull(c, hello); err != nil {
		return ErrSession.Wrap(err, "read the helper's greeting")
	}
	theirs := hello[len(magic):]
	if string(hello[:len(magic)]) != magic {
		return ErrSession.New("not a relay address")
	}
	own := newNonce()
	if _, err := c.Write(append(own, sealed(s, originProof, theirs, own)...)); err != nil {
		return ErrSession.Wrap(err, "send the proof")
	}
	if err := readProof(c, s, helperProof, own, theirs); err != nil {
		return err
	}
	return c.SetDeadline(time.Time{})
}

// verify performs the helper's side of the opening of a session.
func verify(c net.Conn, s *conn.Sealer) error {
	if err := c.SetDeadline(time.Now().Add(handshakeTimeout)); err != nil {
		return ErrSession.Wrap(err, "set a deadline")
	}
	own := newNonce()
	if _, err := c.Write(append([]byte(magic), own...)); err != nil {
		return ErrSession.Wrap(err, "send the greeting")
	}
	theirs := make([]byte, nonceBytes)
	if _, err := io.ReadFull(c, theirs); err != nil {
		return ErrSession.Wrap(err, "read the origin's nonce")
	}
	if err := readProof(c, s, originProof, own, theirs); err != nil {
		return err
	}
	if _, err := c.Write(sealed(s, helperProof, theirs, own)); err != nil {
		return ErrSession.Wrap(err, "send the proof")
	}
	return c.SetDeadline(time.Time{})
}

func newNonce() []byte {
	n := make([]byte, nonceBytes)
	rand.Read(n)
	return n
}

func sealed(s *conn.Sealer, proof string, nonces ...[]byte) []byte {
	m := s.Seal([]byte(proof), bytes.Join(nonces, nil))
	return append(binary.BigEndian.AppendUint16(nil, uint16(len(m))), m...)
}

func readProof(r io.Reader, s *conn.Sealer, want string, nonces ...[]byte) error {
	m, err := readBlock(r, maxProofBytes)
	if err != nil {
		return ErrSession.Wrap(err, "read the proof")
	}
	if got, err := s.Open(m, bytes.Join(nonces, nil)); err != nil || string(got) != want {
		return ErrSession.New("not opened with this fleet's secret")
	}
	return nil
}

// readBlock reads a block that is preceded by its length.
func readBlock(r io.Reader, limit int) ([]byte, error) {
	var head [2]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return nil, err
	}
	n := int(binary.BigEndian.Uint16(head[:]))
	if n > limit {
		return nil, ErrMessage.New("block of %d bytes: allowed: %d", n, limit)
	}
	b := make([]byte, n)
	_, err := io.ReadFull(r, b)
	return b, err
}
