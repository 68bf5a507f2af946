package conn

import (
	"net"
	"net/netip"

	"github.com/rcrowley/go-metrics"

	"github.com/silverswitch/silverswitch/internal/core/wire"
)

// PeerSocket is the UDP socket for the datagrams of all other routers. Send may be called
// by one goroutine and Receive by another.
type PeerSocket struct {
	self              wire.NodeID
	sock              *net.UDPConn
	sealer            *Sealer
	SentBytes         metrics.Counter // including UDP and IP headers
	SentDatagrams     metrics.Counter
	ReceivedBytes     metrics.Counter
	ReceivedDatagrams metrics.Counter
	Refused           metrics.Counter // datagrams not sealed by this fleet, or not decodable
	SendFailures      metrics.Counter
}

// ipUDPHeaderBytes is the size of the IPv4 and UDP headers of a datagram.
const ipUDPHeaderBytes = 28

// Listen opens the socket at an IP address and port.
func Listen(addr string, sealer *Sealer, reg metrics.Registry) (*PeerSocket, error) {
	ap, err := netip.ParseAddrPort(addr)
	if err != nil {
		return nil, ErrPeer.Wrap(err, "listen on %q", addr)
	}
	sock, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(ap))
	if err != nil {
		return nil, ErrPeer.Wrap(err, "listen on %q", addr)
	}
	counter := func(name string) metrics.Counter { return metrics.GetOrRegisterCounter(name, reg) }
	return &PeerSocket{
		self:              wire.NodeID(addr),
		sock:              sock,
		sealer:            sealer,
		SentBytes:         counter("control.sent.bytes"),
		SentDatagrams:     counter("control.sent.datagrams"),
		ReceivedBytes:     counter("control.received.bytes"),
		ReceivedDatagrams: counter("control.received.datagrams"),
		Refused:           counter("control.refused.datagrams"),
		SendFailures:      counter("control.send.failures"),
	}, nil
}

// Send seals and sends a datagram, and returns its size with UDP and IP headers. Failures
// are only counted, and 0 is returned: the sender's state is sent repeatedly, which makes
// up for lost datagrams.
func (s *PeerSocket) Send(to wire.NodeID, d *wire.Datagram) int {
	ap, err := netip.ParseAddrPort(string(to))
	if err != nil {
		s.SendFailures.Inc(1)
		return 0
	}
	raw, err := wire.Encode(d)
	if err != nil {
		s.SendFailures.Inc(1)
		return 0
	}
	sealed := s.sealer.Seal(raw, additionalData(s.self, to))
	if _, err := s.sock.WriteToUDPAddrPort(sealed, ap); err != nil {
		s.SendFailures.Inc(1)
		return 0
	}
	bytes := len(sealed) + ipUDPHeaderBytes
	s.SentDatagrams.Inc(1)
	s.SentBytes.Inc(int64(bytes))
	return bytes
}

// Receive returns the next datagram. Datagrams that are not sealed by this fleet for this
// router are counted and dropped. An error means that the socket is closed.
func (s *PeerSocket) Receive(buf []byte) (*wire.Datagram, error) {
	for {
		n, src, err := s.sock.ReadFromUDPAddrPort(buf)
		if err != nil {
			return nil, ErrPeer.Wrap(err, "receive")
		}
		s.ReceivedDatagrams.Inc(1)
		s.ReceivedBytes.Inc(int64(n + ipUDPHeaderBytes))
		from := wire.NodeID(netip.AddrPortFrom(src.Addr().Unmap(), src.Port()).String())
		raw, err := s.sealer.Open(buf[:n], additionalData(from, s.self))
		if err != nil {
			s.Refused.Inc(1)
			continue
		}
		d, err := wire.Decode(raw)
		if err != nil {
			s.Refused.Inc(1)
			continue
		}
		d.From = from
		return d, nil
	}
}

// HasUnread reports whether a datagram has arrived that was not read yet. It may be called
// by any goroutine.
func (s *PeerSocket) HasUnread() bool {
	n, _, known := peek(s.sock)
	return known && n > 0
}

// additionalData returns the additional authenticated data of a datagram: both ends, so that
// a recorded datagram cannot be replayed as that of another router.
func additionalData(from, to wire.NodeID) []byte {
	return []byte(string(from) + " " + string(to))
}

// Close closes the socket.
func (s *PeerSocket) Close() error { return s.sock.Close() }
