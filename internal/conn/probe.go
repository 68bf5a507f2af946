package conn

import (
	"context"
	"net"
	"time"
)

// exitAcceptWindow is how long after its other connections a process that ends may go on
// accepting. One that accepts and closes at once is looked at again.
const exitAcceptWindow = 100 * time.Millisecond

// Refuses opens a connection to an address and reports whether it is refused: nothing
// listens there any more. One that is accepted is kept for the next request.
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

// Refuses is the same for an address of which no connections are kept.
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

// staysOpen reports whether the other side keeps a new connection open for a while.
func staysOpen(ctx context.Context, c net.Conn) bool {
	select {
	case <-ctx.Done():
	case <-time.After(exitAcceptWindow):
	}
	return isOpenWithoutUnread(c)
}
