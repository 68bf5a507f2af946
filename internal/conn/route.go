package conn

import (
	"net"
	"net/netip"

	"github.com/rcrowley/go-metrics"

	"github.com/silverswitch/silverswitch/internal/core/wire"
)

// Route is the UDP socket to all other routers. Send may be called by one
// goroutine, Receive by another.
type Route struct {
	self     wire.NodeID
	sock     *net.UDPConn
	sealer   *Sealer
	SentB    metrics.Counter // bytes with UDP and IP headers
	SentN    metrics.Counter
	RecvB    metrics.Counter
	RecvN    metrics.Counter
	Refused  metrics.Counter // not sealed by this fleet, or not decodable
	SendFail metrics.Counter
}

// headerBytes is what IPv4 and UDP add to each datagram.
const headerBytes = 28

// Listen opens the socket at an address with an IP number.
func Listen(addr string, sealer *Sealer, reg metrics.Registry) (*Route, error) {
	ap, err := netip.ParseAddrPort(addr)
	if err != nil {
		return nil, ErrPeer.Wrap(err, "listen on %q", addr)
	}
	sock, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(ap))
	if err != nil {
		return nil, ErrPeer.Wrap(err, "listen on %q", addr)
	}
	counter := func(name string) metrics.Counter { return metrics.GetOrRegisterCounter(name, reg) }
	return &Route{
		self:     wire.NodeID(addr),
		sock:     sock,
		sealer:   sealer,
		SentB:    counter("control.sent.bytes"),
		SentN:    counter("control.sent.datagrams"),
		RecvB:    counter("control.received.bytes"),
		RecvN:    counter("control.received.datagrams"),
		Refused:  counter("control.refused.datagrams"),
		SendFail: counter("control.send.failures"),
	}, nil
}

// Send seals and sends a datagram, and returns its bytes with UDP and IP headers. A lost one
// is repeated by the sender's state, so failures are counted and not returned: they are 0
// bytes.
func (r *Route) Send(to wire.NodeID, d *wire.Datagram) int {
	ap, err := netip.ParseAddrPort(string(to))
	if err != nil {
		r.SendFail.Inc(1)
		return 0
	}
	raw, err := wire.Encode(d)
	if err != nil {
		r.SendFail.Inc(1)
		return 0
	}
	sealed := r.sealer.Seal(raw, bound(r.self, to))
	if _, err := r.sock.WriteToUDPAddrPort(sealed, ap); err != nil {
		r.SendFail.Inc(1)
		return 0
	}
	bytes := len(sealed) + headerBytes
	r.SentN.Inc(1)
	r.SentB.Inc(int64(bytes))
	return bytes
}

// Receive returns the next datagram. Whatever is not sealed by this
// fleet for this router is counted and dropped. The error is the socket's end.
func (r *Route) Receive(buf []byte) (*wire.Datagram, error) {
	for {
		n, src, err := r.sock.ReadFromUDPAddrPort(buf)
		if err != nil {
			return nil, ErrPeer.Wrap(err, "receive")
		}
		r.RecvN.Inc(1)
		r.RecvB.Inc(int64(n + headerBytes))
		from := wire.NodeID(netip.AddrPortFrom(src.Addr().Unmap(), src.Port()).String())
		raw, err := r.sealer.Open(buf[:n], bound(from, r.self))
		if err != nil {
			r.Refused.Inc(1)
			continue
		}
		d, err := wire.Decode(raw)
		if err != nil {
			r.Refused.Inc(1)
			continue
		}
		d.From = from
		return d, nil
	}
}

// Waiting reports whether a datagram has arrived that was not read yet. Any goroutine may
// ask.
func (r *Route) Waiting() bool {
	n, _, known := peek(r.sock)
	return known && n > 0
}

// bound is what sealing a datagram binds beside its content: both ends, so that
// one recorded elsewhere cannot be sent on as another router's.
func bound(from, to wire.NodeID) []byte {
	return []byte(string(from) + " " + string(to))
}

// Close ends the socket.
func (r *Route) Close() error { return r.sock.Close() }
