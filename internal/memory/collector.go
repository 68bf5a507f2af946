package memory

import (
	"context"
	"runtime"
	"runtime/debug"
	"runtime/metrics"
)

const (
	// collectorRatio is the fraction of the VM's memory that is set as the collector's limit;
	// the rest is for C library stacks and socket buffers.
	collectorRatio = 0.7
	// gcPercent is the heap growth in percent that starts a collection. It is higher than
	// Go's default: below collectorRatio memory is cheaper than CPU time.
	gcPercent = 200
	// liveRatio is the fraction of the collector's limit that may be live. The rest is garbage
	// between two collections: without it the collector would run all the time.
	liveRatio = 0.85
	// maxRequestRatio and minRequestRatio bound the limit of the account as fractions of the
	// VM's memory. The lower one leaves room for two bodies of 4 MB in a VM of 88 MB, whatever
	// else the process holds.
	maxRequestRatio = 0.5
	minRequestRatio = 1.0 / 8
	// unknownMB applies where the VM's memory is unknown.
	unknownMB = 1024
)

// ForVM returns an account for a VM with mb megabytes of memory, 0 for unknown, and sets the
// collector's limit. Until ctx ends, the account's limit follows what the process holds for
// anything but requests, such as connections and the list of upstreams: both together stay below
// liveRatio of the collector's limit.
func ForVM(ctx context.Context, mb int) *Account {
	if mb > 0 {
		debug.SetMemoryLimit(int64(collectorRatio * float64(mb) * (1 << 20)))
		debug.SetGCPercent(gcPercent)
	} else {
		mb = unknownMB
	}
	a := NewAccount(limitFor(mb, 0))
	afterEachCollection(ctx, func() {
		a.collected(liveBytes(), func(base int64) int64 { return limitFor(mb, base) })
	})
	return a
}

// limitFor returns the limit of the account in bytes for a VM with mb megabytes, whose process
// holds base bytes for anything but requests.
func limitFor(mb int, base int64) int64 {
	bytes := float64(mb) * (1 << 20)
	limit := liveRatio*collectorRatio*bytes - float64(base)
	return int64(min(max(limit, minRequestRatio*bytes), maxRequestRatio*bytes))
}

// liveMetrics are the parts of the process's memory that a collection does not free.
var liveMetrics = []string{
	"/gc/heap/live:bytes",
	"/memory/classes/heap/stacks:bytes",
	"/memory/classes/metadata/mcache/inuse:bytes",
	"/memory/classes/metadata/mspan/inuse:bytes",
	"/memory/classes/metadata/other:bytes",
	"/memory/classes/os-stacks:bytes",
	"/memory/classes/other:bytes",
}

// liveBytes returns what the process held after the last collection.
func liveBytes() int64 {
	samples := make([]metrics.Sample, len(liveMetrics))
	for i, name := range liveMetrics {
		samples[i].Name = name
	}
	metrics.Read(samples)
	sum := int64(0)
	for _, s := range samples {
		if s.Value.Kind() == metrics.KindUint64 {
			sum += int64(s.Value.Uint64())
		}
	}
	return sum
}

// sentinel is freed by each collection.
type sentinel struct{ _ [16]byte }

// afterEachCollection calls f after each collection until ctx ends. f must not block.
func afterEachCollection(ctx context.Context, f func()) {
	var rearm func(*sentinel)
	rearm = func(*sentinel) {
		if ctx.Err() != nil {
			return
		}
		f()
		runtime.SetFinalizer(&sentinel{}, rearm)
	}
	runtime.SetFinalizer(&sentinel{}, rearm)
}
