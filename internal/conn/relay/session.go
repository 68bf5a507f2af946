package relay

import (
	"bufio"
	"net"
	"sync"
	"time"

	"github.com/hashicorp/yamux"
)

// session is what both sides of a session have in common: the multiplexer and the control
// stream.
type session struct {
	mux     *yamux.Session
	control *yamux.Stream
	sending sync.Mutex // orders messages
}

// newOriginSession starts the multiplexer on a connection on which the proofs are done.
func newOriginSession(c net.Conn) (*session, error) {
	mux, err := yamux.Client(newLink(c, nil), muxConfig())
	if err != nil {
		c.Close()
		return nil, ErrSession.Wrap(err, "start the multiplexer")
	}
	control, err := mux.OpenStream()
	if err != nil {
		mux.Close()
		return nil, ErrSession.Wrap(err, "open the control stream")
	}
	return &session{mux: mux, control: control}, nil
}

// newHelperSession is the helper's counterpart of newOriginSession.
func newHelperSession(c net.Conn, m *meter) (*session, error) {
	mux, err := yamux.Server(newLink(c, m), muxConfig())
	if err != nil {
		c.Close()
		return nil, ErrSession.Wrap(err, "start the multiplexer")
	}
	control, err := mux.AcceptStream()
	if err != nil {
		mux.Close()
		return nil, ErrSession.Wrap(err, "accept the control stream")
	}
	m.closed(control.StreamID()) // its messages are read at once and not counted
	return &session{mux: mux, control: control}, nil
}

// send sends a message. An error means that the session has ended or is about to.
func (s *session) send(m Message) error {
	s.sending.Lock()
	defer s.sending.Unlock()
	_, err := s.control.Write(encodeMessage(m))
	return err
}

// sendStatus sends a message every StatusInterval until the session ends.
func (s *session) sendStatus(status func() Message) {
	tick := time.NewTicker(StatusInterval)
	defer tick.Stop()
	for s.send(status()) == nil {
		select {
		case <-tick.C:
		case <-s.mux.CloseChan():
			return
		}
	}
	s.mux.Close()
}

// receive passes the other side's messages on until the session ends.
func (s *session) receive(handle func(Message)) {
	r := bufio.NewReaderSize(s.control, maxMessageBytes+2)
	for {
		m, err := readMessage(r)
		if err != nil {
			break
		}
		handle(m)
	}
	s.mux.Close()
}

// broken reports whether the session has ended.
func (s *session) broken() bool { return s.mux.IsClosed() }
