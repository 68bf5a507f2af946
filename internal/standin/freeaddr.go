package standin

import (
	"fmt"
	"net"
	"os"
	"sync/atomic"
)

// The ports lie below the range of ephemeral ports, so that no outgoing connection takes
// one before a process listens on it.
const (
	firstPort = 20000
	lastPort  = 32000
)

var nextPort atomic.Int64

// FreeAddr returns a loopback address whose port is free for TCP and UDP, and which this
// process has not returned before.
func FreeAddr() string {
	const span = lastPort - firstPort
	start := int64(os.Getpid()*97) % span
	for range span {
		port := firstPort + (start+nextPort.Add(1))%span
		addr := fmt.Sprintf("127.0.0.1:%d", port)
		if isFree(addr) {
			return addr
		}
	}
	panic("no free port on loopback")
}

// isFree reports whether an address is free for both TCP and UDP.
func isFree(addr string) bool {
	t, err := net.Listen("tcp", addr)
	if err != nil {
		return false
	}
	defer t.Close()
	u, err := net.ListenPacket("udp", addr)
	if err != nil {
		return false
	}
	u.Close()
	return true
}
