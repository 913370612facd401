package urgency_test

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"headcourse/core/urgency"
)

// After a loss of power of all daemons, 1,150 requests came within half a second, all
// of them late already; the next ones found every place taken for two seconds.
func TestLateRequestsEnterAFewAtATime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var lane urgency.Lane
		const limit, sent = 3, 10
		entered := make(chan func(), sent)
		for range sent {
			go func() {
				entered <- lane.Enter("engines/large", limit, time.Second)
			}()
		}
		synctest.Wait()
		qt.Assert(t, entered, qt.HasLen, limit)

		// One leaves, one enters; leaving twice lets in no more.
		leave := <-entered
		leave()
		leave()
		synctest.Wait()
		qt.Assert(t, entered, qt.HasLen, limit)

		// Nobody waits longer than its patience.
		time.Sleep(time.Second)
		synctest.Wait()
		qt.Assert(t, entered, qt.HasLen, sent-1)
	})
}

func TestKindsHaveLanesOfTheirOwn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var lane urgency.Lane
		began := time.Now()
		leave := lane.Enter("engines/large", 1, time.Second)
		lane.Enter("engines/small", 1, time.Second)
		qt.Assert(t, time.Since(began), qt.Equals, time.Duration(0))
		leave()
		lane.Enter("engines/large", 1, time.Second)
		qt.Assert(t, time.Since(began), qt.Equals, time.Duration(0))
		lane.Enter("engines/large", 1, time.Second)
		qt.Assert(t, time.Since(began), qt.Equals, time.Second)
	})
}
