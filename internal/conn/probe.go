package conn

import (
	"context"
	"net"
	"time"
)

// exitAcceptWindow is how long an exiting process may accept connections after it has closed
// the others. An address that accepts a connection and closes it at once is probed again.
const exitAcceptWindow = 100 * time.Millisecond

// Refuses opens a connection to an address and reports whether it is refused, so that
// nothing listens there any more. An accepted connection is kept for the next request.
func (p *Exchanges) Refuses(ctx context.Context, addr string) bool {
	c, err := p.dial(ctx, addr)
	if err == nil && !staysOpen(ctx, c.Conn) {
		c.Close()
		c, err = p.dial(ctx, addr)
	}
	if err != nil {
		return IsRefused(err)
	}
	p.addIdle(c)
	return false
}

// Refuses is like Exchanges.Refuses, but closes an accepted connection.
func Refuses(ctx context.Context, addr string) bool {
	d := net.Dialer{Timeout: dialTimeout}
	c, err := d.DialContext(ctx, "tcp", addr)
	if err == nil && !staysOpen(ctx, c) {
		c.Close()
		c, err = d.DialContext(ctx, "tcp", addr)
	}
	if err != nil {
		return IsRefused(err)
	}
	c.Close()
	return false
}

// staysOpen reports whether a new connection is still open after exitAcceptWindow.
func staysOpen(ctx context.Context, c net.Conn) bool {
	select {
	case <-ctx.Done():
	case <-time.After(exitAcceptWindow):
	}
	return isOpenWithoutUnread(c)
}
