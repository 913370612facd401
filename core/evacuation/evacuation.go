// Package evacuation holds the availability zones that operators have evacuated. The backend
// servers of an evacuated zone get no new requests until the evacuation ends.
//
// Operators set a bound on the time until an evacuated zone gets no more requests. A daemon
// keeps sending requests there for a share of the bound, while groups form in other zones. The
// daemons stop one after the other, so that the load moves to the other zones gradually. The
// bound starts when the store acknowledges the evacuation, which no daemon observes. A daemon
// therefore counts from the last time at which the zone was known not to be evacuated.
package evacuation

import (
	"maps"
	"slices"
	"time"
)

// Shares of the bound between which each daemon draws the time at which it leaves a zone. The rest
// is reserve for connections that open slowly and for daemons that are late.
const (
	minBoundShare = 0.3
	maxBoundShare = 0.6
)

// Evacuation is the evacuation of one zone.
type Evacuation struct {
	// LeaveAt is the time from which the daemon sends no request to the zone, by its clock that
	// includes suspensions.
	LeaveAt time.Time
	// Version is the version of the row with which the operator requested the evacuation.
	Version int64
}

// LeaveSchedule determines when this daemon stops sending requests to an evacuated zone.
type LeaveSchedule struct {
	// Bound counts from the acknowledgement by the store; 0 means at once.
	Bound time.Duration
	// Position is where between the first daemon (0) and the last one (1) this daemon leaves. Each
	// daemon draws it at random.
	Position float64
}

// LeaveAt returns the time from which a zone gets no requests. lastOpenAt is the latest time at
// which the zone was known not to be evacuated; zero means unknown, and since the bound may have
// passed then, the zone is left at once.
func (s LeaveSchedule) LeaveAt(lastOpenAt time.Time) time.Time {
	if lastOpenAt.IsZero() {
		return time.Time{}
	}
	share := minBoundShare + (maxBoundShare-minBoundShare)*s.Position
	return lastOpenAt.Add(time.Duration(share * float64(s.Bound)))
}

// Zones is an immutable set of evacuated zones. The zero value is empty.
type Zones struct {
	byName map[string]Evacuation
}

// With returns the zones with one more. A zone that is already evacuated keeps its LeaveAt if
// that is earlier: a row that is read again or was written again does not extend the time.
func (z Zones) With(name string, next Evacuation) Zones {
	if previous, ok := z.byName[name]; ok {
		next.LeaveAt = earlier(previous.LeaveAt, next.LeaveAt)
	}
	changed := maps.Clone(z.byName)
	if changed == nil {
		changed = map[string]Evacuation{}
	}
	changed[name] = next
	return Zones{
		byName: changed,
	}
}

// earlier returns the earlier of two times.
func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// Without returns the zones without one.
func (z Zones) Without(name string) Zones {
	changed := maps.Clone(z.byName)
	delete(changed, name)
	return Zones{
		byName: changed,
	}
}

// IsEmpty reports whether no zone is evacuated.
func (z Zones) IsEmpty() bool {
	return len(z.byName) == 0
}

// Contains reports whether a zone is evacuated, even if it still gets requests.
func (z Zones) Contains(name string) bool {
	_, ok := z.byName[name]
	return ok
}

// HasLeft reports whether a zone gets no more requests at a time.
func (z Zones) HasLeft(name string, now time.Time) bool {
	entry, ok := z.byName[name]
	return ok && !now.Before(entry.LeaveAt)
}

// Get returns the evacuation of a zone; ok is false if it is not evacuated.
func (z Zones) Get(name string) (entry Evacuation, ok bool) {
	entry, ok = z.byName[name]
	return entry, ok
}

// Names returns the sorted names of the evacuated zones.
func (z Zones) Names() []string {
	return slices.Sorted(maps.Keys(z.byName))
}
