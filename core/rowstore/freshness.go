package rowstore

import (
	"sync"
	"time"

	"headcourse/core/boottime"
)

// Freshness tells how old a view of the store is, without comparing clocks.
//
// Every answer carries the store's steady clock. An answer cannot have been
// produced before its call was sent; so a call sent at s whose answer shows n
// proves that the store's clock shows n no earlier than s, and that it shows
// n+d no earlier than s+d. The latest such proof dates every later answer, also
// one that was long on its way. The zero value knows nothing.
type Freshness struct {
	// Clock goes on while the machine is suspended, as the store's does: by one that does
	// not, each sleep would make later answers seem as much younger. Set it before use.
	Clock boottime.Clock

	mutex sync.Mutex
	// zero is the latest proven local time at which the store's clock was 0.
	zero    time.Time
	isKnown bool
	asOf    time.Time
}

// Now returns the present, by the clock that all of its times are of.
func (f *Freshness) Now() time.Time {
	return f.Clock.Now()
}

// Since returns how long ago such a time is.
func (f *Freshness) Since(t time.Time) time.Duration {
	return f.Clock.Since(t)
}

// Prove notes that a call sent at sent was answered when the store's clock
// showed now, and returns a local time at which the answer was surely true.
func (f *Freshness) Prove(sent time.Time, now time.Duration) time.Time {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	zero := sent.Add(-now)
	if !f.isKnown || zero.After(f.zero) {
		f.zero = zero
		f.isKnown = true
	}
	return f.zero.Add(now)
}

// When returns the local time at which the store's clock showed now, or a little
// before it; the zero time where no call has proved anything yet.
func (f *Freshness) When(now time.Duration) time.Time {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if !f.isKnown {
		return time.Time{}
	}
	return f.zero.Add(now)
}

// Latest returns what the store's clock shows now at the latest, and false if nothing
// was proved yet. Another daemon that is told so in an answer can date answers as well
// without a call to the store of its own: when it asked, the clock showed no more.
func (f *Freshness) Latest() (time.Duration, bool) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.Clock.Since(f.zero), f.isKnown
}

// Confirm notes that the view is complete as of a time.
func (f *Freshness) Confirm(asOf time.Time) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if asOf.After(f.asOf) {
		f.asOf = asOf
	}
}

// Age returns how old the view may be, and false if nothing was ever confirmed.
func (f *Freshness) Age() (time.Duration, bool) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.asOf.IsZero() {
		return 0, false
	}
	return f.Clock.Since(f.asOf), true
}
