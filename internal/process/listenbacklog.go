package process

import (
	"context"
	"net"
	"net/netip"
	"os"
	"syscall"
)

const (
	// backlogPerCore is the length of the kernel's queue of new connections for each core: what a
	// router refuses in some tenths of a second.
	backlogPerCore = 1300
	minBacklog     = 128
)

// listenCallers listens for callers. Where the cores of this router are known, 0 if not, they bound
// the kernel's queue of new connections: callers wait a second for a new connection, so a longer
// queue holds only connections that they have given up. The kernel's own bound applies as well.
//
// Load pattern: 2,200 new connections a second at a router with 0.12 cores. It was always at the end
// of a queue of seconds and took none of the connections whose callers still waited.
func listenCallers(addr string, cores float64) (net.Listener, error) {
	at, err := netip.ParseAddrPort(addr)
	if err != nil || !at.Addr().Is4() || cores <= 0 {
		// Callers that vanish without closing are detected by the limits on idle time and
		// requests. Keep-alive probes would cost four system calls per connection.
		config := net.ListenConfig{KeepAlive: -1}
		return config.Listen(context.Background(), "tcp", addr)
	}
	return listenWithBacklog(at, max(minBacklog, int(backlogPerCore*cores)))
}

// listenWithBacklog listens on an IPv4 address with a queue of a stated length. Package net always
// asks for the longest one.
func listenWithBacklog(at netip.AddrPort, backlog int) (net.Listener, error) {
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_NONBLOCK|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, os.NewSyscallError("socket", err)
	}
	f := os.NewFile(uintptr(fd), "callers")
	defer f.Close()
	if err := syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1); err != nil {
		return nil, os.NewSyscallError("setsockopt", err)
	}
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Port: int(at.Port()), Addr: at.Addr().As4()}); err != nil {
		return nil, os.NewSyscallError("bind", err)
	}
	if err := syscall.Listen(fd, backlog); err != nil {
		return nil, os.NewSyscallError("listen", err)
	}
	return net.FileListener(f)
}
