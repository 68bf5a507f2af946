package relay

import (
	"bytes"
	"net"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"
)

func decodingTestMarshal(v any) ([]byte, error) { return cbor.Marshal(v) }

// Every message is decoded or rejected, and a decoded one survives its encoding.
func FuzzMessage(f *testing.F) {
	f.Add(encodeMessage(Message{Spare: 500, Accepting: true}))
	f.Add(encodeMessage(Message{Stopping: true, CloseHint: true, Reset: 9}))
	f.Add([]byte{0, 1, 0xff})
	f.Fuzz(func(t *testing.T, raw []byte) {
		m, err := readMessage(bytes.NewReader(raw))
		if err != nil {
			return
		}
		again, err := readMessage(bytes.NewReader(encodeMessage(m)))
		require.NoError(t, err)
		require.Equal(t, m, again)
	})
}

// Nothing that is sent without the secret opens a session, on either side.
func FuzzProof(f *testing.F) {
	f.Add([]byte(magic), true)
	f.Add(make([]byte, nonceBytes+2+maxProofBytes), false)
	f.Fuzz(func(t *testing.T, raw []byte, origin bool) {
		s, err := NewSealer(testSecret)
		require.NoError(t, err)
		a, b := net.Pipe()
		defer a.Close()
		go func() {
			buf := make([]byte, 1<<10)
			_ = b.SetDeadline(time.Now().Add(time.Second))
			go func() {
				for {
					if _, err := b.Read(buf); err != nil {
						return
					}
				}
			}()
			_, _ = b.Write(raw)
			b.Close()
		}()
		if origin {
			require.Error(t, prove(a, s))
		} else {
			require.Error(t, verify(a, s))
		}
	})
}

// No bytes on the link make the meter fail, and what it counts does not depend on how they are
// cut.
func FuzzMeter(f *testing.F) {
	f.Add([]byte{0, 1, 0, 1, 0, 0, 0, 3, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 3, 0, 0, 0, 2, 1, 1}, 5)
	f.Fuzz(func(t *testing.T, raw []byte, cut int) {
		whole, parts := newMeter(), newMeter()
		whole.arrived(raw)
		cut = max(0, min(cut, len(raw)))
		parts.arrived(raw[:cut])
		parts.arrived(raw[cut:])
		require.Equal(t, whole.total, parts.total)
		require.Equal(t, whole.unread, parts.unread)
		require.GreaterOrEqual(t, whole.total, 0)
		require.Empty(t, whole.largest(whole.total))
	})
}
