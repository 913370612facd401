package standin

import (
	"io"
	"strings"
	"time"
)

// slowBody is the body of a request that pauses before its second half.
type slowBody struct {
	first, second io.Reader
	pause         time.Duration
	hasPaused     bool
	// onResume is called after the pause.
	onResume func()
}

// newSlowBody returns a body that pauses once, and then calls onResume.
func newSlowBody(body string, pause time.Duration, onResume func()) *slowBody {
	middle := len(body) / 2
	return &slowBody{
		first:  strings.NewReader(body[:middle]),
		second: strings.NewReader(body[middle:]),
		pause:  pause,

		onResume: onResume,
	}
}

// Read reads the next bytes.
func (b *slowBody) Read(target []byte) (int, error) {
	if !b.hasPaused {
		n, err := b.first.Read(target)
		if n > 0 || err == nil {
			return n, nil
		}
		b.hasPaused = true
		time.Sleep(b.pause)
		b.onResume()
	}
	return b.second.Read(target)
}
