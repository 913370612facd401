package gateway

import (
	"sync"
	"time"
)

// successLines is how many lines a second are written of requests that ended
// well; others are only counted. Failures are always written.
const successLines = 20

// thinner lets a bounded number of lines a second through. The zero value
// works.
type thinner struct {
	mutex  sync.Mutex
	second int64
	lines  int
	left   int
}

// pass tells whether a line may be written, and how many were left out since
// the last one.
func (t *thinner) pass() (mayWrite bool, leftOut int) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	now := time.Now().Unix()
	if now != t.second {
		t.second = now
		t.lines = 0
	}
	if t.lines >= successLines {
		t.left++
		return false, 0
	}
	t.lines++
	leftOut = t.left
	t.left = 0
	return true, leftOut
}
