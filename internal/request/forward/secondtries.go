package forward

import (
	"cmp"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"
)

const (
	// secondTryPeriod is how long a refused request is remembered at least, and how often second
	// tries are logged. Callers come back within a third of the time that they have.
	secondTryPeriod = 4 * time.Second
	// secondTrySample is the number of requests of which one is followed.
	secondTrySample = 4
	// maxFollowedTries bounds the requests that are remembered in a period.
	maxFollowedTries = 4096
	// maxSecondTryLines bounds the lines of one period, those with the most refusals first.
	maxSecondTryLines = 8
)

// secondTries counts how often callers come back to this router after it has refused their
// request, by organisation and by the reason of the first refusal. Each attempt of a caller has an
// ID of its own, so a second try is known by its prompt; requests without one are not counted.
// The numbers are estimates from a sample. It is safe for concurrent use.
type secondTries struct {
	mu            sync.Mutex
	begin         time.Time // of the current period
	now, previous map[uint64]tryKey
	counts        map[tryKey]*tryCounts // of the current period
	back, refused metrics.Counter
}

// tryKey is an organisation, and why its first try was refused.
type tryKey struct{ org, reason string }

// tryCounts are numbers of requests: first tries refused, second tries, and those refused as well.
type tryCounts struct{ refused, back, refusedAgain int }

func newSecondTries(reg metrics.Registry) *secondTries {
	return &secondTries{now: map[uint64]tryKey{}, counts: map[tryKey]*tryCounts{},
		back: metrics.GetOrRegisterCounter("forward.tries.second", reg), refused: metrics.GetOrRegisterCounter("forward.tries.second_refused", reg)}
}

// followed is a request whose tries are counted.
type followed struct {
	content uint64 // 0 if it is not followed
	first   tryKey // of a second try, why the first one was refused
}

// arrived counts an arriving request, and returns what refused needs of it.
func (s *secondTries) arrived(d *Dialect, h http.Header, org string, now time.Time, log *requestLog) followed {
	parts := h.Get(d.PromptParts)
	if parts == "" {
		return followed{}
	}
	content := xxhash.Sum64String(org + "\x00" + parts)
	if content%secondTrySample != 0 {
		return followed{}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rotate(now, log)
	first, known := s.now[content]
	if !known {
		first, known = s.previous[content]
	}
	if !known {
		return followed{content: content}
	}
	delete(s.now, content)
	delete(s.previous, content)
	s.of(first).back++
	s.back.Inc(secondTrySample)
	return followed{content, first}
}

// refuse counts a refusal of a followed request.
func (s *secondTries) refuse(f followed, org, reason string) {
	if f.content == 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if f.first != (tryKey{}) {
		s.of(f.first).refusedAgain++
		s.refused.Inc(secondTrySample)
		return
	}
	k := tryKey{org, reason}
	s.of(k).refused++
	if len(s.now) < maxFollowedTries {
		s.now[f.content] = k
	}
}

func (s *secondTries) of(k tryKey) *tryCounts {
	c := s.counts[k]
	if c == nil {
		c = &tryCounts{}
		s.counts[k] = c
	}
	return c
}

// rotate logs the counts of a period that has ended, and forgets what was refused before it.
func (s *secondTries) rotate(now time.Time, log *requestLog) {
	age := now.Sub(s.begin)
	if age < secondTryPeriod {
		return
	}
	s.begin, s.previous, s.now = now, s.now, map[uint64]tryKey{}
	if age >= 2*secondTryPeriod {
		s.previous = nil
	}
	keys := make([]tryKey, 0, len(s.counts))
	for k := range s.counts {
		keys = append(keys, k)
	}
	slices.SortFunc(keys, func(a, b tryKey) int {
		return cmp.Or(cmp.Compare(s.counts[b].refused, s.counts[a].refused), cmp.Compare(a.org, b.org), cmp.Compare(a.reason, b.reason))
	})
	for _, k := range keys[:min(maxSecondTryLines, len(keys))] {
		s.counts[k].log(log.log.Info(), k)
	}
	clear(s.counts)
}

func (c *tryCounts) log(e *zerolog.Event, k tryKey) {
	e.Str("organisation", k.org).Str("gate", k.reason).Int("refused", secondTrySample*c.refused).Int("came_back", secondTrySample*c.back).Int("refused_again", secondTrySample*c.refusedAgain).Msg("second-tries")
}
