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
// one that was long on its way. A store that is restored may have its clock back too, so
// proofs count within one era. The zero value knows nothing.
type Freshness struct {
	// Clock goes on while the machine is suspended, as the store's does: by one that does
	// not, each sleep would make later answers seem as much younger. Set it before use.
	Clock boottime.Clock

	mutex sync.Mutex
	// era is the newest era of which a proof is known, zero the latest proven local
	// time at which the store's clock was 0 in it.
	era  int64
	zero time.Time
	// eraEnded is closed when a newer era is known; nil: nobody waits for it.
	eraEnded chan struct{}
	isKnown  bool
	asOf     time.Time
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
// showed now in an era, and returns a local time at which the answer was surely true;
// the zero time where a newer era is known.
func (f *Freshness) Prove(era int64, sent time.Time, now time.Duration) time.Time {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if era < f.era {
		return time.Time{}
	}
	zero := sent.Add(-now)
	if f.isKnown && era > f.era && f.eraEnded != nil {
		close(f.eraEnded)
		f.eraEnded = nil
	}
	if !f.isKnown || era > f.era || zero.After(f.zero) {
		f.era = era
		f.zero = zero
		f.isKnown = true
	}
	return f.zero.Add(now)
}

// When returns the local time at which the store's clock showed now in an era, or a little
// before it; the zero time where no call has proved anything of that era yet.
func (f *Freshness) When(era int64, now time.Duration) time.Time {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if !f.isKnown || era != f.era {
		return time.Time{}
	}
	return f.zero.Add(now)
}

// Era returns the newest era of which a proof is known.
func (f *Freshness) Era() int64 {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.era
}

// EraEnded returns a channel that is closed when an era is known that is newer than one.
func (f *Freshness) EraEnded(era int64) <-chan struct{} {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.isKnown && f.era > era {
		ended := make(chan struct{})
		close(ended)
		return ended
	}
	if f.eraEnded == nil {
		f.eraEnded = make(chan struct{})
	}
	return f.eraEnded
}

// Latest returns what the store's clock shows now at the latest in an era, and false if
// nothing was proved of it. Another daemon that is told so in an answer can date answers as
// well without a call to the store of its own: when it asked, the clock showed no more.
func (f *Freshness) Latest(era int64) (time.Duration, bool) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.Clock.Since(f.zero), f.isKnown && era == f.era
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
