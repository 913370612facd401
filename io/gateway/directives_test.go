package gateway_test

import (
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sourcegraph/conc"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"headcourse/core/config"
	"headcourse/platform/wire"
)

// pauseAsked is the pause that the tests' servers ask for: longer than any test takes.
const pauseAsked = 20 * time.Minute

// ownRest is longer than a daemon rests a server by itself after its first refusal.
const ownRest = 500 * time.Millisecond

// turnAway says that the server did not run the request and wants none for a while.
func turnAway(w http.ResponseWriter, r *http.Request, pause time.Duration) {
	w.Header().Set(wire.HeaderID, r.Header.Get(wire.HeaderID))
	w.Header().Set(wire.HeaderNotExecuted, "1")
	w.Header().Set("Retry-After", strconv.Itoa(int(pause.Seconds())))
	w.WriteHeader(http.StatusServiceUnavailable)
}

// answerEvent answers with a stream of one event, and leaves it open.
func answerEvent(t *testing.T, w http.ResponseWriter, r *http.Request) {
	t.Helper()
	answerWhole(w, r)
	w.Header().Set("Content-Type", "text/event-stream")
	_, err := io.WriteString(w, "id: 1\ndata: first\n\n")
	qt.Check(t, err, qt.IsNil)
	w.(http.Flusher).Flush()
}

// askMany sends some requests and returns the statuses of their answers.
func askMany(t *testing.T, address string, count int) []int {
	t.Helper()
	var statuses []int
	for i := range count {
		status, _ := ask(t, address, "many"+strconv.Itoa(i), 10*pauseAsked)
		statuses = append(statuses, status)
	}
	return statuses
}

// Servers that turned requests away, and asked with each answer for three seconds without
// any, got up to six from one daemon in that time. Daemons did not read the time: they rested
// a server that refused by a figure of their own, 0.4 s and more, which a success of what was
// under way before ended at once, and which was no more than a preference: a server at rest
// was asked again where no other was left. Lines of sends in a pause showed all three.
func TestServerThatAskedForAPauseIsSentNothingBeforeItsEnd(t *testing.T) {
	t.Run("when the daemon's own rest is over", func(t *testing.T) {
		var asked atomic.Int64
		paused := backends(t, 1, func(w http.ResponseWriter, r *http.Request) {
			asked.Add(1)
			turnAway(w, r, pauseAsked)
		})
		well := backends(t, 1, answerWhole)
		core, logs := observer.New(zap.InfoLevel)
		used := options(newSource(someServers(config.Safe, paused[0], well[0])))
		used.Log = zap.New(core)
		server := start(t, used)
		for asked.Load() == 0 {
			askMany(t, server.Address(), 1)
		}
		for range 2 {
			time.Sleep(ownRest)
			for _, status := range askMany(t, server.Address(), 20) {
				qt.Assert(t, status, qt.Equals, http.StatusOK)
			}
		}
		for _, line := range logs.FilterMessage("clients: sent to a server that asked for a pause").All() {
			t.Log(line.ContextMap())
		}
		qt.Assert(t, asked.Load(), qt.Equals, int64(1))
	})
	t.Run("when a request that began before ends well", func(t *testing.T) {
		var began, turned atomic.Int64
		endStream := make(chan struct{})
		paused := backends(t, 1, func(w http.ResponseWriter, r *http.Request) {
			if began.Add(1) > 1 {
				turned.Add(1)
				turnAway(w, r, pauseAsked)
				return
			}
			answerEvent(t, w, r)
			<-endStream
		})
		well := backends(t, 1, func(w http.ResponseWriter, r *http.Request) {
			// As long as it has requests, others are better off elsewhere.
			time.Sleep(50 * time.Millisecond)
			answerEvent(t, w, r)
		})
		_, address := listen(t, newSource(someServers(config.Stream, paused[0], well[0])), time.Minute)
		var clients conc.WaitGroup
		for turned.Load() == 0 {
			clients.Go(func() { askMany(t, address, 1) })
			time.Sleep(10 * time.Millisecond)
		}
		close(endStream)
		clients.Wait()
		// Some may have been on their way together.
		before := turned.Load()
		for range 20 {
			clients.Go(func() { askMany(t, address, 1) })
		}
		clients.Wait()
		qt.Assert(t, turned.Load(), qt.Equals, before)
	})
	t.Run("when no other server is left", func(t *testing.T) {
		var asked atomic.Int64
		paused := backends(t, 2, func(w http.ResponseWriter, r *http.Request) {
			asked.Add(1)
			turnAway(w, r, pauseAsked)
		})
		_, address := listen(t, newSource(someServers(config.Safe, paused...)), time.Minute)
		for _, status := range askMany(t, address, 5) {
			qt.Assert(t, status, qt.Equals, http.StatusServiceUnavailable)
		}
		qt.Assert(t, asked.Load(), qt.Equals, int64(2))
	})
}

// Clients that were told to come back sooner found no server again, and lost their last try;
// all at one moment, they would be turned away together.
func TestClientsReturnAfterTheFirstPauseOfAllServersIsOver(t *testing.T) {
	var asked atomic.Int64
	longer := backends(t, 1, func(w http.ResponseWriter, r *http.Request) {
		asked.Add(1)
		turnAway(w, r, 2*pauseAsked)
	})
	shorter := backends(t, 1, func(w http.ResponseWriter, r *http.Request) {
		asked.Add(1)
		turnAway(w, r, pauseAsked)
	})
	_, address := listen(t, newSource(someServers(config.Safe, longer[0], shorter[0])), time.Minute)
	drawn := map[time.Duration]bool{}
	for i := range 20 {
		status, header := ask(t, address, "r"+strconv.Itoa(i), 10*pauseAsked)
		qt.Assert(t, status, qt.Equals, http.StatusServiceUnavailable)
		pause := comesBack(t, header)
		// The tests themselves take less than a minute.
		qt.Assert(t, pause >= pauseAsked-time.Minute && pause < 2*pauseAsked-time.Minute, qt.IsTrue, qt.Commentf("%s", pause))
		drawn[pause] = true
	}
	qt.Assert(t, len(drawn) > 10, qt.IsTrue)
	qt.Assert(t, asked.Load(), qt.Equals, int64(2))
}
