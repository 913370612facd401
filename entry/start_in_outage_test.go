package entry_test

import (
	"testing"
	"time"

	"headcourse/lab/standin"
)

// Guards against daemons that never lead because they started while the store was unavailable: no
// group was formed anew until a later outage ended. The former leader does not come back, since
// it tries for its own lease during an outage too.
func TestDaemonsThatStartDuringAnOutageLeadAfterIt(t *testing.T) {
	for _, names := range [][]string{{"front-b"}, {"front-b", "front-c", "front-d"}} {
		s := newSite(t, 1)
		s.standin.Store.SetFault(standin.Unavailable)
		s.daemons[0].Kill()
		s.daemons = nil
		for _, name := range names {
			s.daemons = append(s.daemons, s.startDaemon(name))
		}
		const outage = 2 * time.Second
		time.Sleep(outage)
		former := s.logs.FilterMessage("control: lease changed").Len()
		s.standin.Store.SetFault(standin.NoFault)
		s.awaitTrue(func() bool {
			for _, line := range s.logs.FilterMessage("control: lease changed").All()[former:] {
				if isLeader, _ := line.ContextMap()["is_leader"].(bool); isLeader {
					return true
				}
			}
			return false
		})
	}
}
