package rowstore

import (
	"sync"
	"time"

	"headcourse/core/boottime"
)

// Freshness tracks how old a view of the store is, without comparing clocks of different VMs.
//
// Every answer carries the store's monotonic clock. An answer is not produced before its call is
// sent. So a call sent at local time s whose answer shows n proves that the store's clock shows n
// no earlier than s, and n+d no earlier than s+d. The latest such proof dates every later answer,
// even one that was delayed on its way. A restore may also set back the store's clock, so proofs
// are valid within one era only. The zero value has no proof.
type Freshness struct {
	// Clock must include time for which the VM was suspended, as the store's clock does. Otherwise
	// each suspension would make later answers seem that much younger. Set it before use.
	Clock boottime.Clock

	mutex sync.Mutex
	// era is the newest era with a proof. clockZero is the latest proven local time at which the
	// store's clock was 0 in that era.
	era       int64
	clockZero time.Time
	// eraEnded is closed when a newer era is observed; nil if nothing waits for it.
	eraEnded chan struct{}
	hasProof bool
	viewAsOf time.Time
	// confirmed is closed at the next confirmation of the view; nil if nothing waits for it.
	confirmed chan struct{}
}

// Now returns the present time of Clock, by which all times of this type are measured.
func (f *Freshness) Now() time.Time {
	return f.Clock.Now()
}

// Since returns the time that has passed since t, a time of Clock.
func (f *Freshness) Since(t time.Time) time.Duration {
	return f.Clock.Since(t)
}

// ObserveClock records that a call sent at sent was answered when the store's clock showed
// storeTime in an era. It returns a local time as of which the answer is valid, or the zero time if
// a newer era is known.
func (f *Freshness) ObserveClock(era int64, sent time.Time, storeTime time.Duration) time.Time {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if era < f.era {
		return time.Time{}
	}
	clockZero := sent.Add(-storeTime)
	if f.hasProof && era > f.era && f.eraEnded != nil {
		close(f.eraEnded)
		f.eraEnded = nil
	}
	if !f.hasProof || era > f.era || clockZero.After(f.clockZero) {
		f.era = era
		f.clockZero = clockZero
		f.hasProof = true
	}
	return f.clockZero.Add(storeTime)
}

// LocalTime returns a local time at or slightly before the one at which the store's clock showed
// storeTime in an era. It returns the zero time if that is not the newest era with a proof.
func (f *Freshness) LocalTime(era int64, storeTime time.Duration) time.Time {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if !f.hasProof || era != f.era {
		return time.Time{}
	}
	return f.clockZero.Add(storeTime)
}

// Era returns the newest era with a proof; 0 if there is none.
func (f *Freshness) Era() int64 {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.era
}

// EraEnded returns a channel that is closed when an era newer than era is known. The very first
// proof does not close a channel that was returned before it.
func (f *Freshness) EraEnded(era int64) <-chan struct{} {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.hasProof && f.era > era {
		ended := make(chan struct{})
		close(ended)
		return ended
	}
	if f.eraEnded == nil {
		f.eraEnded = make(chan struct{})
	}
	return f.eraEnded
}

// MaxStoreTime returns an upper bound of the store's clock now in an era, and false if that is not
// the newest era with a proof. Another daemon that receives this bound in an answer can date answers
// without a call to the store of its own, because the store's clock showed no more when it sent its
// call.
func (f *Freshness) MaxStoreTime(era int64) (time.Duration, bool) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.Clock.Since(f.clockZero), f.hasProof && era == f.era
}

// ConfirmView records that the view is complete as of a time.
func (f *Freshness) ConfirmView(asOf time.Time) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if !asOf.After(f.viewAsOf) {
		return
	}
	f.viewAsOf = asOf
	if f.confirmed != nil {
		close(f.confirmed)
		f.confirmed = nil
	}
}

// Confirmed returns a channel that is closed when the view is next confirmed as of a later time.
func (f *Freshness) Confirmed() <-chan struct{} {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.confirmed == nil {
		f.confirmed = make(chan struct{})
	}
	return f.confirmed
}

// ViewAsOf returns the latest time as of which the view is known to be complete; zero if nothing was confirmed yet.
func (f *Freshness) ViewAsOf() time.Time {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.viewAsOf
}

// ViewAge returns the maximum age of the view, and false if nothing was confirmed yet.
func (f *Freshness) ViewAge() (time.Duration, bool) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.viewAsOf.IsZero() {
		return 0, false
	}
	return f.Clock.Since(f.viewAsOf), true
}
