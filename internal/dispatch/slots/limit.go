package slots

import "time"

const (
	// limitRecovery is the time after which a learned limit grows by one request.
	limitRecovery = 500 * time.Millisecond
	// maxLimitRecovery bounds that time. It doubles with each rejection at a limit that has
	// grown: an upstream that has fewer slots for long then rejects one request in that time.
	maxLimitRecovery = 8 * time.Second
)

// Limit is the number of requests that an upstream is known to accept, where rejections have
// shown it to be lower than the entry says. The zero value restricts nothing.
type Limit struct {
	accepted int // 0 without a recent rejection
	at       time.Time
	recovery time.Duration
}

// Reject records a rejection while others requests were in flight at the upstream.
func (l *Limit) Reject(others int, now time.Time) {
	switch {
	case l.accepted == 0:
		l.recovery = limitRecovery
	case others >= l.accepted && now.Sub(l.at) >= l.recovery:
		l.recovery = min(2*l.recovery, maxLimitRecovery)
	}
	l.accepted = max(1, others)
	l.at = now
}

// Allowed returns how many requests may be in flight at the upstream: at most a number, and no
// more than recent rejections allow.
func (l *Limit) Allowed(most int, now time.Time) int {
	if l.accepted == 0 {
		return most
	}
	allowed := l.accepted + int(max(0, now.Sub(l.at))/l.recovery)
	if allowed >= most {
		l.accepted = 0
		return most
	}
	return allowed
}
