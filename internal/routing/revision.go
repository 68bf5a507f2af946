package routing

// Revisions of the platform's store. The store counts its changes, and reuses some of the
// numbers after it was restored from a copy: then it begins a new era. Everywhere else in
// this program a revision is a single number that never decreases and begins with the era:
// 3000000000042 is the 42nd change in era 3. Without eras it equals the store's own count.

const (
	// revisionsPerEra is a power of ten so that revisions are readable in logs.
	revisionsPerEra = 1_000_000_000_000

	// MaxRevision and MaxEra are the largest count and era that a store may report.
	MaxRevision = revisionsPerEra - 1
	MaxEra      = 10_000_000 - 1
)

// RevisionIn returns the revision for a count of the store in an era. It returns false when
// either is too large.
func RevisionIn(era, count uint64) (rev uint64, ok bool) {
	return era*revisionsPerEra + count, era <= MaxEra && count <= MaxRevision
}

// EraOf returns the era of a revision.
func EraOf(rev uint64) uint64 { return rev / revisionsPerEra }

// CountOf returns the store's own count in a revision.
func CountOf(rev uint64) uint64 { return rev % revisionsPerEra }
