package rowstore

import (
	"time"

	"github.com/pkg/errors"
)

// Figures of avoidance.
const (
	// avoidTime is how long a relay that failed is not asked again, twice as long
	// with each further failure, up to longestAvoid: asking one whose VM is gone
	// costs the wait for it.
	avoidTime    = 2 * time.Second
	longestAvoid = 16 * time.Second
	// noCopyAvoid is the same for a relay that answers but has no young copy: its
	// word costs little, and it is the first to hear when the store is back.
	noCopyAvoid = 200 * time.Millisecond
	// mostFailures bounds the doubling.
	mostFailures = 3
)

// avoidance knows which relays failed lately, by name. Its owner guards it.
type avoidance map[string]avoided

// avoided is a relay that failed: until when it is not asked, and how often it
// failed in a row.
type avoided struct {
	until time.Time
	times int
}

// has tells whether a relay is avoided now.
func (a avoidance) has(relay string) bool {
	return !time.Now().After(a[relay].until)
}

// note notes how a call to a relay ended.
func (a avoidance) note(relay string, err error) {
	switch {
	case err == nil:
		delete(a, relay)
	case errors.Is(err, ErrNoCopy):
		a[relay] = avoided{
			until: time.Now().Add(noCopyAvoid),
		}
	case a.has(relay):
		// A daemon follows several tables; calls that failed together are one failure.
	default:
		known := a[relay]
		known.until = time.Now().Add(min(avoidTime<<known.times, longestAvoid))
		known.times = min(known.times+1, mostFailures)
		a[relay] = known
	}
}
