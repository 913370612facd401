package gateway

import (
	"sync"
	"time"
)

// maxSuccessLinesPerSecond bounds the log lines of successful requests; further ones are only
// counted. Failures are always logged.
const maxSuccessLinesPerSecond = 20

// successThrottle limits the log lines of successful requests per second. The zero value is
// ready to use.
type successThrottle struct {
	mutex      sync.Mutex
	second     int64
	lines      int
	suppressed int
}

// allow reports whether a line may be written, and how many were suppressed since the last one.
func (t *successThrottle) allow() (mayWrite bool, suppressed int) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	now := time.Now().Unix()
	if now != t.second {
		t.second = now
		t.lines = 0
	}
	if t.lines >= maxSuccessLinesPerSecond {
		t.suppressed++
		return false, 0
	}
	t.lines++
	suppressed = t.suppressed
	t.suppressed = 0
	return true, suppressed
}
