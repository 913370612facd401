package logline

import (
	"sync"
	"time"
)

// Rarely lets one line in a while through for each subject, such as a table whose calls
// fail. The zero value lets all through; set Every before use.
type Rarely struct {
	// Every is the time between two lines of one subject.
	Every time.Duration

	mutex    sync.Mutex
	subjects map[string]subject
}

// subject is when a line was last let through, and how many were left out since.
type subject struct {
	at   time.Time
	left int
}

// Pass tells whether a line may be written, and how many were left out since the last
// one.
func (r *Rarely) Pass(name string) (mayWrite bool, leftOut int) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	known, ok := r.subjects[name]
	if ok && time.Since(known.at) < r.Every {
		known.left++
		r.subjects[name] = known
		return false, 0
	}
	if r.subjects == nil {
		r.subjects = map[string]subject{}
	}
	r.subjects[name] = subject{
		at: time.Now(),
	}
	return true, known.left
}

// End forgets a subject, so that its next line is let through at once, and tells how
// many lines were left out since the last one.
func (r *Rarely) End(name string) int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	left := r.subjects[name].left
	delete(r.subjects, name)
	return left
}
