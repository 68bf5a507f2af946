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

// KeptReader reads which prompt parts an engine keeps. Its methods may be called
// by any goroutine.
type KeptReader interface {
	// KeptList returns everything; it costs the engine time.
	KeptList(ctx context.Context, engine routing.Instance) (KeptNews, error)
	// KeptSince returns what changed after a position of an earlier answer.
	KeptSince(ctx context.Context, engine routing.Instance, since uint64) (KeptNews, error)
}

// KeptNews is what an engine says of its kept parts.
type KeptNews struct {
	Epoch   string // another one: the engine has started anew
	Next    uint64 // position to go on from
	Lost    bool   // changes in between are missing
	Changes []dispatch.KeptPart
}

// Timing of reading kept parts. Each call is priced like a probe; a list delays
// the engine's work, so it is read when a router becomes scheduler, and after
// gaps no more often than keptListAgain.
const (
	keptEvery     = 700 * time.Millisecond
	keptLeast     = 5 * time.Millisecond  // between two reads, however many engines are in use
	keptIdle      = 50 * time.Millisecond // while this router schedules nothing
	keptFirst     = 5 * time.Millisecond  // between two engines of which nothing is known
	keptTimeout   = 400 * time.Millisecond
	keptListAgain = 5 * time.Second
)

// keptFollower reads the kept parts of the engines that this router schedules.
type keptFollower struct {
	src   KeptReader
	st    *Steerer
	log   zerolog.Logger
	calls metrics.Counter
	lists metrics.Counter
	mu    sync.Mutex
	known map[string]*keptState // by start of an instance
}

type keptState struct {
	epoch  string
	next   uint64
	listed time.Time
	whole  bool // everything up to next is known
	busy   bool
}

func newKeptFollower(src KeptReader, st *Steerer, log zerolog.Logger, reg metrics.Registry) *keptFollower {
	return &keptFollower{
		src: src, st: st, log: log,
		calls: metrics.GetOrRegisterCounter("kept.calls", reg),
		lists: metrics.GetOrRegisterCounter("kept.lists", reg),
		known: map[string]*keptState{},
	}
}

// run reads one engine after the other, spread over the period.
func (f *keptFollower) run(ctx context.Context) {
	for ctx.Err() == nil {
		engines := f.st.Scheduled()
		f.forget(engines)
		if len(engines) == 0 {
			sleep(ctx, keptIdle)
			continue
		}
		for _, e := range engines {
			pause := max(keptEvery/time.Duration(len(engines)), keptLeast)
			if s := f.takeUsable(e.StartID()); s != nil {
				if s.listed.IsZero() {
					pause = min(pause, keptFirst)
				}
				go f.read(ctx, e, s)
			}
			sleep(ctx, pause)
		}
	}
}

// forget drops what is known of engines that this router no longer schedules.
func (f *keptFollower) forget(engines []routing.Instance) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := map[string]bool{}
	for _, e := range engines {
		now[e.StartID()] = true
	}
	for id := range f.known {
		if !now[id] {
			delete(f.known, id)
		}
	}
}

// takeUsable is take for an engine that may be asked: it may have come to leave, or to back
// off, since the list of those to read was made.
func (f *keptFollower) takeUsable(id string) *keptState {
	if !f.st.usable.of(id, f.st.now()).mayAsk() {
		return nil
	}
	return f.take(id)
}

// take returns an engine's state, or nil while it is being read.
func (f *keptFollower) take(id string) *keptState {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.known[id]
	if s == nil {
		s = &keptState{}
		f.known[id] = s
	}
	if s.busy {
		return nil
	}
	s.busy = true
	return s
}

// read asks one engine once. A failure is no news; the engine's health is judged
// by the requests it serves.
func (f *keptFollower) read(ctx context.Context, e routing.Instance, s *keptState) {
	ctx, stop := context.WithTimeout(ctx, keptTimeout)
	defer stop()
	defer func() {
		f.mu.Lock()
		s.busy = false
		f.mu.Unlock()
	}()
	if !s.whole && clock.System.Since(s.listed) >= keptListAgain {
		f.list(ctx, e, s)
		return
	}
	f.calls.Inc(1)
	news, err := f.src.KeptSince(ctx, e, s.next)
	if err != nil {
		f.log.Debug().Err(err).Str("upstream", e.ID).Msg("kept-parts-not-read")
		return
	}
	if news.Epoch != s.epoch || news.Lost {
		f.log.Info().Str("upstream", e.ID).Bool("gap", news.Lost).Msg("kept-parts-unknown")
		restarted := news.Epoch != s.epoch && s.epoch != ""
		s.epoch, s.whole = news.Epoch, false
		if restarted {
			f.st.Step(dispatch.Kept{Instance: e.StartID(), Full: true})
		}
		return
	}
	s.next = news.Next
	f.st.Step(dispatch.Kept{Instance: e.StartID(), Parts: news.Changes})
}

func (f *keptFollower) list(ctx context.Context, e routing.Instance, s *keptState) {
	s.listed = clock.System.Now()
	f.lists.Inc(1)
	news, err := f.src.KeptList(ctx, e)
	if err != nil {
		f.log.Debug().Err(err).Str("upstream", e.ID).Msg("kept-parts-not-listed")
		return
	}
	s.epoch, s.next, s.whole = news.Epoch, news.Next, true
	f.st.Step(dispatch.Kept{Instance: e.StartID(), Full: true, Parts: news.Changes})
}
