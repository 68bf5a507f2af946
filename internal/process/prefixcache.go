package process

import (
	"context"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"github.com/silverswitch/silverswitch/internal/clock"
	"github.com/silverswitch/silverswitch/internal/dispatch"
	"github.com/silverswitch/silverswitch/internal/routing"
)

// PrefixCacheReader reads which prompt parts an engine keeps. Its methods may be called
// by any goroutine.
type PrefixCacheReader interface {
	// CachedParts returns everything; it costs the engine time.
	CachedParts(ctx context.Context, engine routing.Instance) (PrefixCacheUpdate, error)
	// CachedPartsSince returns what changed after a position of an earlier answer.
	CachedPartsSince(ctx context.Context, engine routing.Instance, since uint64) (PrefixCacheUpdate, error)
}

// PrefixCacheUpdate is what an engine says of its kept parts.
type PrefixCacheUpdate struct {
	Epoch   string // another one: the engine has started anew
	Next    uint64 // position to go on from
	Lost    bool   // changes in between are missing
	Changes []dispatch.KeptPart
}

// Timing of reading kept parts. Each call is priced like a probe; a list delays
// the engine's work, so it is read when a router becomes scheduler, and after
// gaps no more often than prefixCacheRelistInterval.
const (
	prefixCachePollInterval      = 700 * time.Millisecond
	minPrefixCacheReadPause      = 5 * time.Millisecond  // between two reads, however many engines are in use
	prefixCacheIdlePause         = 50 * time.Millisecond // while this router schedules nothing
	maxPrefixCacheFirstReadPause = 5 * time.Millisecond  // between two engines of which nothing is known
	prefixCacheReadTimeout       = 400 * time.Millisecond
	prefixCacheRelistInterval    = 5 * time.Second
)

// prefixCachePoller reads the kept parts of the engines that this router schedules.
type prefixCachePoller struct {
	reader PrefixCacheReader
	ctrl   *RoutedController
	log    zerolog.Logger
	calls  metrics.Counter
	lists  metrics.Counter
	mu     sync.Mutex
	states map[string]*prefixCacheState // by start of an instance
}

type prefixCacheState struct {
	epoch    string
	next     uint64
	listedAt time.Time
	complete bool // everything up to next is known
	busy     bool
}

func newPrefixCachePoller(reader PrefixCacheReader, ctrl *RoutedController, log zerolog.Logger, reg metrics.Registry) *prefixCachePoller {
	return &prefixCachePoller{
		reader: reader, ctrl: ctrl, log: log,
		calls:  metrics.GetOrRegisterCounter("kept.calls", reg),
		lists:  metrics.GetOrRegisterCounter("kept.lists", reg),
		states: map[string]*prefixCacheState{},
	}
}

// run reads one engine after the other, spread over the period.
func (f *prefixCachePoller) run(ctx context.Context) {
	for ctx.Err() == nil {
		engines := f.ctrl.ScheduledEngines()
		f.forgetOthers(engines)
		if len(engines) == 0 {
			sleep(ctx, prefixCacheIdlePause)
			continue
		}
		for _, e := range engines {
			pause := max(prefixCachePollInterval/time.Duration(len(engines)), minPrefixCacheReadPause)
			if s := f.acquireAvailable(e.Start()); s != nil {
				if s.listedAt.IsZero() {
					pause = min(pause, maxPrefixCacheFirstReadPause)
				}
				go f.read(ctx, e, s)
			}
			sleep(ctx, pause)
		}
	}
}

// forget drops what is known of engines that this router no longer schedules.
func (f *prefixCachePoller) forgetOthers(engines []routing.Instance) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := map[string]bool{}
	for _, e := range engines {
		now[e.Start()] = true
	}
	for id := range f.states {
		if !now[id] {
			delete(f.states, id)
		}
	}
}

// acquireAvailable is take for an engine that may be asked: it may have come to leave, or to back
// off, since the list of those to read was made.
func (f *prefixCachePoller) acquireAvailable(id string) *prefixCacheState {
	if !f.ctrl.availability.of(id, f.ctrl.now()).mayCall() {
		return nil
	}
	return f.acquire(id)
}

// take returns an engine's state, or nil while it is being read.
func (f *prefixCachePoller) acquire(id string) *prefixCacheState {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.states[id]
	if s == nil {
		s = &prefixCacheState{}
		f.states[id] = s
	}
	if s.busy {
		return nil
	}
	s.busy = true
	return s
}

// read asks one engine once. A failure is no news; the engine's health is judged
// by the requests it serves.
func (f *prefixCachePoller) read(ctx context.Context, e routing.Instance, s *prefixCacheState) {
	ctx, stop := context.WithTimeout(ctx, prefixCacheReadTimeout)
	defer stop()
	defer func() {
		f.mu.Lock()
		s.busy = false
		f.mu.Unlock()
	}()
	if !s.complete && clock.System.Since(s.listedAt) >= prefixCacheRelistInterval {
		f.list(ctx, e, s)
		return
	}
	f.calls.Inc(1)
	news, err := f.reader.CachedPartsSince(ctx, e, s.next)
	if err != nil {
		f.log.Debug().Err(err).Str("upstream", e.ID).Msg("kept-parts-not-read")
		return
	}
	if news.Epoch != s.epoch || news.Lost {
		f.log.Info().Str("upstream", e.ID).Bool("gap", news.Lost).Msg("kept-parts-unknown")
		restarted := news.Epoch != s.epoch && s.epoch != ""
		s.epoch, s.complete = news.Epoch, false
		if restarted {
			f.ctrl.Step(dispatch.Kept{Instance: e.Start(), Full: true})
		}
		return
	}
	s.next = news.Next
	f.ctrl.Step(dispatch.Kept{Instance: e.Start(), Parts: news.Changes})
}

func (f *prefixCachePoller) list(ctx context.Context, e routing.Instance, s *prefixCacheState) {
	s.listedAt = clock.System.Now()
	f.lists.Inc(1)
	news, err := f.reader.CachedParts(ctx, e)
	if err != nil {
		f.log.Debug().Err(err).Str("upstream", e.ID).Msg("kept-parts-not-listed")
		return
	}
	s.epoch, s.next, s.complete = news.Epoch, news.Next, true
	f.ctrl.Step(dispatch.Kept{Instance: e.Start(), Full: true, Parts: news.Changes})
}
