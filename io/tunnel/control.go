package tunnel

import (
	"time"

	"headcourse/io/tcp"
)

// controlTimeout bounds connecting to a server in a check of the daemon's own links.
const controlTimeout = 60 * time.Millisecond

// hasWorkingLinks reports whether a direct connect to one of a few servers succeeds, so that the
// failure of another server is that server's own.
func hasWorkingLinks(dialer tcp.Dialer, servers []string) bool {
	results := make(chan bool, len(servers))
	for _, address := range servers {
		go func() {
			conn, err := dialer.Dial(address, controlTimeout)
			if err == nil {
				_ = conn.Close()
			}
			results <- err == nil
		}()
	}
	for range servers {
		if <-results {
			return true
		}
	}
	return false
}
