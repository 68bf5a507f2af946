package relay

import (
	"encoding/binary"
	"sync"
)

// meter counts, from the frames that arrive on a helper's link, the bytes of each stream that
// the server has not read yet. The multiplexer does not tell. It sees bytes before the
// multiplexer does, so that a stream without unread bytes has none on this router.
type meter struct {
	mu     sync.Mutex
	unread map[uint32]int // by open stream
	total  int
	header [frameHeaderBytes]byte
	have   int // bytes of the header that have arrived
	skip   int // bytes of the body that have not
}

func newMeter() *meter { return &meter{unread: map[uint32]int{}} }

// arrived handles bytes that were read from the link.
func (m *meter) arrived(b []byte) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for len(b) > 0 {
		if m.skip > 0 {
			n := min(m.skip, len(b))
			m.skip -= n
			b = b[n:]
			continue
		}
		n := copy(m.header[m.have:], b)
		m.have += n
		b = b[n:]
		if m.have == frameHeaderBytes {
			m.have = 0
			m.frame()
		}
	}
}

// frame handles a header.
func (m *meter) frame() {
	kind, flags := m.header[1], binary.BigEndian.Uint16(m.header[2:])
	id, length := binary.BigEndian.Uint32(m.header[4:]), binary.BigEndian.Uint32(m.header[8:])
	if kind != frameData && kind != frameWindow {
		return
	}
	if flags&flagSYN != 0 {
		m.unread[id] = 0
	}
	if kind != frameData {
		return
	}
	m.skip = int(min(length, streamWindow+1)) // the multiplexer ends the session on a longer frame
	if _, open := m.unread[id]; open {
		m.unread[id] += m.skip
		m.total += m.skip
	}
}

// read records that bytes of a stream were read by the server.
func (m *meter) read(id uint32, n int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if _, open := m.unread[id]; open {
		m.unread[id] -= n
		m.total -= n
	}
}

// closed records that the server reads nothing more from a stream.
func (m *meter) closed(id uint32) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.total -= m.unread[id]
	delete(m.unread, id)
}

func (m *meter) of(id uint32) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.unread[id]
}

// largest returns streams with the most unread bytes, so many that the others have at most
// limit together.
func (m *meter) largest(limit int) []uint32 {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []uint32
	taken := map[uint32]bool{}
	for rest := m.total; rest > limit; {
		most, id := 0, uint32(0)
		for s, n := range m.unread {
			if n > most && !taken[s] {
				most, id = n, s
			}
		}
		if most == 0 {
			break
		}
		taken[id] = true
		out = append(out, id)
		rest -= most
	}
	return out
}
