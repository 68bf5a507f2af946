package process

import (
	"context"
	"sync"
	"time"

	"github.com/joomcode/errorx"
	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"github.com/silverswitch/silverswitch/internal/clock"
	"github.com/silverswitch/silverswitch/internal/dispatch"
	"github.com/silverswitch/silverswitch/internal/routing"
)

// PrefixCacheReader reads which prompt parts an engine has in its prefix cache. Its methods
// may be called by any goroutine.
type PrefixCacheReader interface {
	// CachedParts returns all cached parts. The call delays the engine's work.
	CachedParts(ctx context.Context, engine routing.Instance) (PrefixCacheUpdate, error)
	// CachedPartsSince returns the changes since the position Next of an earlier update.
	CachedPartsSince(ctx context.Context, engine routing.Instance, since uint64) (PrefixCacheUpdate, error)
}

// PrefixCacheUpdate is an engine's report of its cached parts, full or as changes.
type PrefixCacheUpdate struct {
	Epoch   string // differs after a restart of the engine
	Next    uint64 // position for the next CachedPartsSince
	Lost    bool   // changes since the given position are missing
	Changes []dispatch.PartUpdate
}

// Timing of reading prefix caches. Each call costs as much as a probe. A full list delays the
// engine's work, so it is only read when a router becomes the scheduler and after gaps, at
// most once per prefixCacheRelistInterval.
const (
	prefixCachePollInterval      = 700 * time.Millisecond
	minPrefixCacheReadPause      = 5 * time.Millisecond  // between two reads, for any number of engines
	prefixCacheIdlePause         = 50 * time.Millisecond // while this router schedules no engine
	maxPrefixCacheFirstReadPause = 5 * time.Millisecond  // after an engine whose cache was never listed
	prefixCacheReadTimeout       = 400 * time.Millisecond
	prefixCacheRelistInterval    = 5 * time.Second
)

// prefixCachePoller reads the prefix caches of the engines that this router schedules.
type prefixCachePoller struct {
	reader PrefixCacheReader
	ctrl   *RoutedController
	log    zerolog.Logger
	calls  metrics.Counter
	lists  metrics.Counter
	// unreadable counts the reports of changes that could not be read.
	unreadable metrics.Counter

	mu     sync.Mutex
	states map[string]*prefixCacheState // by instance start
}

type prefixCacheState struct {
	epoch    string
	next     uint64
	listedAt time.Time
	complete bool // all changes up to next are known
	busy     bool
	failed   int // unreadable lists in a row
}

// maxRelistBackoff limits by how many doublings lists are further apart after unreadable ones: each
// delays the engine's work.
const maxRelistBackoff = 5

// listDue reports whether the full list is to be read.
func (s *prefixCacheState) listDue(now time.Time) bool {
	return !s.complete && now.Sub(s.listedAt) >= prefixCacheRelistInterval<<min(s.failed, maxRelistBackoff)
}

func newPrefixCachePoller(reader PrefixCacheReader, ctrl *RoutedController, log zerolog.Logger, reg metrics.Registry) *prefixCachePoller {
	return &prefixCachePoller{
		reader: reader, ctrl: ctrl, log: log,
		calls:      metrics.GetOrRegisterCounter("kept.calls", reg),
		lists:      metrics.GetOrRegisterCounter("kept.lists", reg),
		unreadable: metrics.GetOrRegisterCounter("kept.unreadable_answers", reg),
		states:     map[string]*prefixCacheState{},
	}
}

// run reads one engine after another, spread over prefixCachePollInterval.
func (p *prefixCachePoller) run(ctx context.Context) {
	for ctx.Err() == nil {
		engines := p.ctrl.ScheduledEngines()
		p.forgetOthers(engines)
		if len(engines) == 0 {
			sleep(ctx, prefixCacheIdlePause)
			continue
		}
		for _, e := range engines {
			pause := max(prefixCachePollInterval/time.Duration(len(engines)), minPrefixCacheReadPause)
			if s := p.acquireAvailable(e.StartID()); s != nil {
				if s.listedAt.IsZero() {
					pause = min(pause, maxPrefixCacheFirstReadPause)
				}
				go p.read(ctx, e, s)
			}
			sleep(ctx, pause)
		}
	}
}

// forgetOthers drops the state of engines that this router no longer schedules.
func (p *prefixCachePoller) forgetOthers(engines []routing.Instance) {
	p.mu.Lock()
	defer p.mu.Unlock()
	scheduled := map[string]bool{}
	for _, e := range engines {
		scheduled[e.StartID()] = true
	}
	for id := range p.states {
		if !scheduled[id] {
			delete(p.states, id)
		}
	}
}

// acquireAvailable acquires an engine's state if the engine may be called. It may have begun
// to leave, or asked for backoff, since the list of scheduled engines was published.
func (p *prefixCachePoller) acquireAvailable(id string) *prefixCacheState {
	if !p.ctrl.availability.status(id, p.ctrl.now()).mayCall() {
		return nil
	}
	return p.acquire(id)
}

// acquire marks an engine's state as busy and returns it, or nil while it is busy already.
func (p *prefixCachePoller) acquire(id string) *prefixCacheState {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.states[id]
	if s == nil {
		s = &prefixCacheState{}
		p.states[id] = s
	}
	if s.busy {
		return nil
	}
	s.busy = true
	return s
}

// read reads one engine once. A failure changes nothing: the engine's health is judged by
// the requests that it serves.
func (p *prefixCachePoller) read(ctx context.Context, e routing.Instance, s *prefixCacheState) {
	ctx, stop := context.WithTimeout(ctx, prefixCacheReadTimeout)
	defer stop()
	defer func() {
		p.mu.Lock()
		s.busy = false
		p.mu.Unlock()
	}()
	if s.listDue(clock.System.Now()) {
		p.list(ctx, e, s)
		return
	}
	p.calls.Inc(1)
	update, err := p.reader.CachedPartsSince(ctx, e, s.next)
	if errorx.IsOfType(err, ErrUnreadable) && s.complete {
		p.unreadable.Inc(1)
		p.log.Info().Err(err).Str("upstream", e.ID).Msg("kept-parts-unreadable")
		s.complete = false // the same changes may be unreadable for ever
	}
	if err != nil {
		p.log.Debug().Err(err).Str("upstream", e.ID).Msg("kept-parts-not-read")
		return
	}
	if update.Epoch != s.epoch || update.Lost {
		p.log.Info().Str("upstream", e.ID).Bool("gap", update.Lost).Msg("kept-parts-unknown")
		restarted := update.Epoch != s.epoch && s.epoch != ""
		s.epoch, s.complete = update.Epoch, false
		if restarted {
			p.ctrl.Step(dispatch.CacheUpdate{Instance: e.StartID(), Full: true})
		}
		return
	}
	s.next = update.Next
	p.ctrl.Step(dispatch.CacheUpdate{Instance: e.StartID(), Parts: update.Changes})
}

func (p *prefixCachePoller) list(ctx context.Context, e routing.Instance, s *prefixCacheState) {
	s.listedAt = clock.System.Now()
	p.lists.Inc(1)
	update, err := p.reader.CachedParts(ctx, e)
	if err != nil {
		if errorx.IsOfType(err, ErrUnreadable) {
			s.failed++
		}
		p.log.Debug().Err(err).Str("upstream", e.ID).Msg("kept-parts-not-listed")
		return
	}
	s.epoch, s.next, s.complete, s.failed = update.Epoch, update.Next, true, 0
	p.ctrl.Step(dispatch.CacheUpdate{Instance: e.StartID(), Full: true, Parts: update.Changes})
}
