package process

import (
	"os"
	"time"
)

// pollBarrier waits until the runtime has polled the network. With one CPU the runtime polls it when
// no goroutine is ready to run, and otherwise by a background thread, which may get no CPU for
// seconds on a VM with a fraction of a core.
//
// Load pattern: thousands of new connections a second at a router with 0.12 cores. Accepting and
// refusing them needs no poll, as each has sent its request when it is accepted, and always leaves
// a goroutine ready. Replies of the scheduler, events of streams and the ends of callers'
// connections were read up to 4.7 s late, all at once.
type pollBarrier struct {
	r, w   *os.File
	polled chan struct{}
}

func newPollBarrier() (*pollBarrier, error) {
	r, w, err := os.Pipe()
	if err != nil {
		return nil, err
	}
	b := &pollBarrier{r: r, w: w, polled: make(chan struct{}, 1)}
	go b.run()
	return b, nil
}

// run reads what wait writes. It blocks in the poller in between, so it goes on only after a poll.
func (b *pollBarrier) run() {
	buf := make([]byte, 64)
	for {
		if _, err := b.r.Read(buf); err != nil {
			return
		}
		select {
		case b.polled <- struct{}{}:
		default:
		}
	}
}

// wait returns true once the network was polled, or false after a time.
func (b *pollBarrier) wait(most time.Duration) bool {
	select {
	case <-b.polled: // of an earlier call that did not wait for it
	default:
	}
	if _, err := b.w.Write([]byte{0}); err != nil {
		return false // closed
	}
	timer := time.NewTimer(most)
	defer timer.Stop()
	select {
	case <-b.polled:
		return true
	case <-timer.C:
		return false
	}
}

func (b *pollBarrier) close() {
	b.w.Close()
	b.r.Close()
}
