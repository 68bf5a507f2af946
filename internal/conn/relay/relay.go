// Package relay passes new connections of callers from a router that is short of CPU to
// routers with spare CPU. The bytes of many callers are multiplexed over one TCP connection
// between two routers, the session. The router that accepted the callers is the origin; the
// router that serves them is the helper.
//
// Decider decides when connections are relayed and to whom; it is pure. Origin and Helper
// are the two sides of the sessions.
package relay

import (
	"io"
	"log"
	"time"

	"github.com/hashicorp/yamux"
	"github.com/joomcode/errorx"
)

var (
	namespace = errorx.NewNamespace("relay")
	// ErrSession is the type of errors of opening a session.
	ErrSession = namespace.NewType("session")
	// ErrMessage is the type of errors of a message that cannot be decoded.
	ErrMessage = namespace.NewType("message")
)

const (
	// StatusInterval is how often each side of a session sends its status.
	StatusInterval = 200 * time.Millisecond
	// silenceTimeout is the time without any byte from the other side after which a session
	// counts as broken. Four statuses are missing by then.
	silenceTimeout = 800 * time.Millisecond
	// writeTimeout bounds one write to the link.
	writeTimeout = 800 * time.Millisecond
	// handshakeTimeout bounds connecting and the proofs of both sides.
	handshakeTimeout = time.Second
	// streamWindow is the number of bytes that the multiplexer buffers for each stream and
	// direction. It is the smallest that yamux allows.
	streamWindow = 256 << 10
	// maxUnacknowledged is the number of streams that the helper may not have accepted yet.
	// Acknowledgements are sent at least every StatusInterval: this suffices for 5,000 new
	// connections per second.
	maxUnacknowledged = 1024
)

// muxConfig returns the multiplexer's configuration. Its keep-alive is off, because both
// sides send their status regularly and the link enforces silenceTimeout. Half-closed
// streams have no time limit: both sides always close theirs.
func muxConfig() *yamux.Config {
	c := yamux.DefaultConfig()
	c.AcceptBacklog = maxUnacknowledged
	c.EnableKeepAlive = false
	c.ConnectionWriteTimeout = writeTimeout
	c.MaxStreamWindowSize = streamWindow
	c.StreamOpenTimeout = 0
	c.StreamCloseTimeout = 0
	c.LogOutput = nil
	c.Logger = log.New(io.Discard, "", 0)
	return c
}
