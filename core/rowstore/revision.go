package rowstore

import "cmp"

// Revision is a state of the store. The store may be restored from an older copy: then its
// era rises by one, its versions go back and are given out again. So versions order states
// within one era only. The zero value is before all others.
type Revision struct {
	Era     int64
	Version int64
}

// eraShift is the bit of an ordinal at which the era begins; versions stay below it for
// decades at hundreds of writes a second. MaxEra is the highest era that has ordinals.
const (
	eraShift = 40
	MaxEra   = 1<<(63-eraShift) - 1
)

// Compare returns -1, 0 or 1 as the revision is older than another, the same or newer.
func (r Revision) Compare(other Revision) int {
	return cmp.Or(cmp.Compare(r.Era, other.Era), cmp.Compare(r.Version, other.Version))
}

// Ordinal returns a number that orders revisions across eras, such as a fencing token. In
// era 0 it is the version.
func (r Revision) Ordinal() int64 {
	return r.Era<<eraShift + r.Version
}

// EraOf returns the era of the revision that has an ordinal.
func EraOf(ordinal int64) int64 {
	return ordinal >> eraShift
}
