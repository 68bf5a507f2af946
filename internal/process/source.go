package process

import (
	"context"
	"time"

	"github.com/joomcode/errorx"

	"github.com/silverswitch/silverswitch/internal/routing"
)

// ErrHistoryGone is a revision too old to watch from: the content is to be listed
// again.
var ErrHistoryGone = errorx.NewNamespace("source").NewType("history")

// Source reads the routing table and the list of instances where the platform
// publishes them.
type Source interface {
	// List returns the whole content.
	List(ctx context.Context) (Listing, error)
	// Watch returns the changes after a revision, or none after the wait.
	Watch(ctx context.Context, after uint64, wait time.Duration) (Listing, error)
	// Table decodes a table that another router passed on.
	Table(raw []byte) (*routing.Table, error)
}

// Listing is content, or changes, as of a revision (routing.RevisionIn).
type Listing struct {
	AsOf    uint64
	Changes []Change
}

// PlaceChange says whether a place is evacuated.
type PlaceChange struct {
	Place     string
	Evacuated bool
}

// Change is one change of the content: a table, an instance, its end, a place, or one
// that cannot be read.
type Change struct {
	Revision uint64
	Table    *routing.Table
	TableRaw []byte
	Put      *routing.Instance
	ColdFor  time.Duration // of Put: how much longer it is cold, as of its writing
	Place    *PlaceChange
	Removed  string // an instance's ID
	Rejected string // the same, where Err says why its entry cannot be used
	Err      error
}
