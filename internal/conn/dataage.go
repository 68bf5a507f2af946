package conn

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// SinceLastData returns how long ago the kernel received the last bytes on a TCP connection,
// whether or not they have been read, in steps of the kernel's timer tick (1 to 10 ms). It
// returns false for other connections, or where the kernel does not report it. It takes one
// system call.
func SinceLastData(c net.Conn) (time.Duration, bool) {
	s, ok := c.(syscall.Conn)
	if !ok {
		return 0, false
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return 0, false
	}
	var info *unix.TCPInfo
	var infoErr error
	err = raw.Control(func(fd uintptr) {
		info, infoErr = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
	})
	if err != nil || infoErr != nil {
		return 0, false
	}
	return time.Duration(info.Last_data_recv) * time.Millisecond, true
}
