// Package evacuation holds which availability zones operators have evacuated: the backend
// servers there get no new request until the zone is taken back.
//
// Operators set a bound on the time until an evacuated zone gets nothing more. A daemon uses
// a part of it: its requests go on while groups form elsewhere, and the daemons leave the
// zone one after the other, so that its load reaches the other zones gradually. The bound
// counts from when the store acknowledged the evacuation, which no daemon sees; a daemon
// counts from the last time at which it knew that the zone was not evacuated.
package evacuation

import (
	"maps"
	"slices"
	"time"
)

// Parts of the bound within which daemons leave a zone: each draws a time between them. The
// rest is for connections that are slow to come up and for daemons that run late.
const (
	earliestPart = 0.3
	latestPart   = 0.6
)

// Evacuation is the evacuation of one zone.
type Evacuation struct {
	// LeaveAt is from when on the zone gets no request of this daemon, by the daemon's clock
	// that counts suspensions.
	LeaveAt time.Time
	// Version is that of the row by which the operator asked for it.
	Version int64
}

// Bound is how soon an evacuated zone must get no more requests.
type Bound struct {
	// Within counts from the acknowledgement; 0: at once.
	Within time.Duration
	// Draw is this daemon's place among all, from 0 to 1: who leaves early, and who late.
	Draw float64
}

// LeaveAt returns from when on a zone gets no request. notBefore is the latest time at which
// the zone was surely not evacuated; zero: not known, so that the bound may be over.
func (b Bound) LeaveAt(notBefore time.Time) time.Time {
	if notBefore.IsZero() {
		return time.Time{}
	}
	part := earliestPart + (latestPart-earliestPart)*b.Draw
	return notBefore.Add(time.Duration(part * float64(b.Within)))
}

// Zones are the evacuated zones. The zero value has none; With methods return the next state.
type Zones struct {
	byName map[string]Evacuation
}

// With returns the zones with one more. One that is evacuated already is left as before: the
// operator asked for it no later.
func (z Zones) With(name string, next Evacuation) Zones {
	if former, ok := z.byName[name]; ok {
		next.LeaveAt = earlier(former.LeaveAt, next.LeaveAt)
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

// IsEmpty tells whether no zone is evacuated.
func (z Zones) IsEmpty() bool {
	return len(z.byName) == 0
}

// Has tells whether a zone is evacuated, also where requests may still go there.
func (z Zones) Has(name string) bool {
	_, ok := z.byName[name]
	return ok
}

// IsLeft tells whether a zone gets no more requests at a time.
func (z Zones) IsLeft(name string, now time.Time) bool {
	one, ok := z.byName[name]
	return ok && !now.Before(one.LeaveAt)
}

// Of returns the evacuation of a zone; ok is false where it is not evacuated.
func (z Zones) Of(name string) (one Evacuation, ok bool) {
	one, ok = z.byName[name]
	return one, ok
}

// Names returns the evacuated zones in their order.
func (z Zones) Names() []string {
	return slices.Sorted(maps.Keys(z.byName))
}
