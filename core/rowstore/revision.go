package rowstore

import "cmp"

// Revision identifies a state of the store. If the store is restored from an older copy, its era
// increases by one, and its versions go back and are assigned again. So versions order states
// within one era only. The zero value is before all others.
type Revision struct {
	Era     int64
	Version int64
}

// eraShift is the bit of an ordinal at which the era begins. Versions stay below 2^40 for decades
// at hundreds of writes a second. MaxEra is the highest era that fits into an ordinal.
const (
	eraShift = 40
	MaxEra   = 1<<(63-eraShift) - 1
)

// Compare returns -1, 0 or 1 if the revision is older than, the same as or newer than another.
func (r Revision) Compare(other Revision) int {
	return cmp.Or(cmp.Compare(r.Era, other.Era), cmp.Compare(r.Version, other.Version))
}

// Ordinal returns a number that orders revisions across eras, for example for a fencing token. In
// era 0 it is the version.
func (r Revision) Ordinal() int64 {
	return r.Era<<eraShift + r.Version
}

// EraOfOrdinal returns the era of an ordinal.
func EraOfOrdinal(ordinal int64) int64 {
	return ordinal >> eraShift
}
