package rowstore

import (
	"time"

	"github.com/pkg/errors"
)

const (
	// baseBackoff is how long a failed relay is not called. It doubles with each further
	// failure up to maxBackoff, since each call to an unresponsive VM costs a timeout.
	baseBackoff = 2 * time.Second
	maxBackoff  = 16 * time.Second
	// noCopyBackoff is the back-off for a relay that answers but has no fresh copy. Its answer is
	// cheap, and the relay is among the first to see the store recover.
	noCopyBackoff = 200 * time.Millisecond
	// maxBackoffDoublings limits the doubling.
	maxBackoffDoublings = 3
)

// relayBackoffs holds the back-off state of relays that failed recently, by name. It is not safe
// for concurrent use.
type relayBackoffs map[string]backoff

// backoff is the state of a failed relay: the end of its back-off, and the number of consecutive
// failures, at most maxBackoffDoublings. An answer without a copy resets that number.
type backoff struct {
	until    time.Time
	failures int
}

// isBackedOff reports whether a relay must not be called now.
func (b relayBackoffs) isBackedOff(name string) bool {
	return !time.Now().After(b[name].until)
}

// record records the result of a call to a relay.
func (b relayBackoffs) record(name string, err error) {
	switch {
	case err == nil:
		delete(b, name)
	case errors.Is(err, ErrNoCopy):
		b[name] = backoff{
			until: time.Now().Add(noCopyBackoff),
		}
	case b.isBackedOff(name):
		// A daemon follows several tables, so several calls fail together; they count as one
		// failure.
	default:
		entry := b[name]
		entry.until = time.Now().Add(min(baseBackoff<<entry.failures, maxBackoff))
		entry.failures = min(entry.failures+1, maxBackoffDoublings)
		b[name] = entry
	}
}
