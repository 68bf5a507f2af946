package routing

// Revisions of the platform's store. The store counts its changes, and counts some of them
// twice when it comes back from a copy: then it begins a new era. Everywhere else in this
// program a revision is one number that never goes back, era first: 3000000000042 is the
// 42nd change in era 3. Without eras it is the store's own.

const (
	// revisionsPerEra is a power of ten so that a revision in a log can be read.
	revisionsPerEra = 1_000_000_000_000

	// MaxRevision and MaxEra are the largest that a store may state.
	MaxRevision = revisionsPerEra - 1
	MaxEra      = 10_000_000 - 1
)

// RevisionIn returns the revision of the store's own count in an era. It returns false where
// one of them is too large.
func RevisionIn(era, count uint64) (rev uint64, ok bool) {
	return era*revisionsPerEra + count, era <= MaxEra && count <= MaxRevision
}

// EraOf returns the era of a revision.
func EraOf(rev uint64) uint64 { return rev / revisionsPerEra }

// CountOf returns the store's own count of a revision.
func CountOf(rev uint64) uint64 { return rev % revisionsPerEra }
