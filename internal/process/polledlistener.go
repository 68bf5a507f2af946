package process

import (
	"net"
	"time"
)

const (
	// maxPollPause is how long connections are accepted without a poll of the network.
	maxPollPause = 10 * time.Millisecond
	// maxPollWait is how long a poll is waited for, while other goroutines keep the CPU busy.
	maxPollWait = maxAcceptDelay
)

// polledListener is a listener that has the network polled while connections are accepted without a
// break. Accept must not be called by more than one goroutine at a time.
type polledListener struct {
	net.Listener
	poll     *pollBarrier
	polledAt time.Time // when the network was last polled
}

func newPolledListener(l net.Listener) (*polledListener, error) {
	poll, err := newPollBarrier()
	if err != nil {
		return nil, err
	}
	return &polledListener{Listener: l, poll: poll}, nil
}

// Accept implements net.Listener. An Accept that has to wait for a connection polls the network itself.
func (l *polledListener) Accept() (net.Conn, error) {
	called := time.Now()
	if called.Sub(l.polledAt) >= maxPollPause {
		l.poll.wait(maxPollWait)
		called = time.Now()
		l.polledAt = called
	}
	c, err := l.Listener.Accept()
	if now := time.Now(); now.Sub(called) >= emptyBacklogWait {
		l.polledAt = now
	}
	return c, err
}

// Close implements net.Listener.
func (l *polledListener) Close() error {
	l.poll.close()
	return l.Listener.Close()
}
