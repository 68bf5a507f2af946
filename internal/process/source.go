package process

import (
	"context"
	"time"

	"github.com/joomcode/errorx"

	"github.com/silverswitch/silverswitch/internal/routing"
)

// ErrHistoryGone is the error of Watch for a revision whose later history the source has
// dropped. The content must be listed again.
var ErrHistoryGone = errorx.NewNamespace("source").NewType("history")

// ErrUnreadable is the error of a call whose answer began and cannot be used. The same call may get
// the same answer again.
var ErrUnreadable = errorx.NewNamespace("source").NewType("unreadable")

// ErrLate is the error of a call whose answer did not begin in time. The source may be silent, or the
// answer too long for it to make in that time.
var ErrLate = errorx.NewNamespace("source").NewType("late")

// Source reads the routing table and the list of instances from the platform's store.
type Source interface {
	// List returns the full content.
	List(ctx context.Context) (Listing, error)
	// Watch returns the changes after a revision, or the first of them. It waits for at most wait,
	// and then returns no changes.
	Watch(ctx context.Context, after uint64, wait time.Duration) (Listing, error)
	// Table decodes a table in its published form, as received from another router.
	Table(raw []byte) (*routing.Table, error)
}

// HistorySource is a source that can tell what its upstreams were before the present.
type HistorySource interface {
	// History returns the changes of instances after a revision, or ErrHistoryGone.
	History(ctx context.Context, after uint64) (Listing, error)
	// ListLagging returns the instances of a listing that may be some seconds old.
	ListLagging(ctx context.Context) (Listing, error)
}

// Listing is the full content, or changes, as of a revision (routing.RevisionIn).
type Listing struct {
	AsOf    uint64
	Changes []Change
	// Partial states that the answer had further changes, which were not read.
	Partial bool
	// Unreadable is how many values could not be used. Changes holds the errors of the first.
	Unreadable int
}

// PlaceChange states whether a place is evacuated.
type PlaceChange struct {
	Place     string
	Evacuated bool
}

// Change is one change of the content: a table, an instance, the removal of an instance, a
// place, or an entry that cannot be used.
type Change struct {
	Revision uint64
	Created  uint64 // revision at which the entry was first written, 0 if unknown
	Table    *routing.Table
	TableRaw []byte
	Put      *routing.Instance
	ColdFor  time.Duration // remaining cold period of Put when the entry was written
	Place    *PlaceChange
	Removed  string // ID of the removed instance
	Rejected string // ID of the instance whose entry cannot be used
	Err      error  // why a value cannot be used, to be logged
}

// IsEmpty reports whether the change is of a value that nobody uses.
func (c *Change) IsEmpty() bool {
	return c.Table == nil && c.Put == nil && c.Place == nil && c.Removed == "" && c.Rejected == "" && c.Err == nil
}
