package standin_test

import (
	"bytes"
	"encoding/json"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sourcegraph/conc"

	"headcourse/lab/standin"
	"headcourse/platform/wire"
)

// stuckAfter is far longer than the calls of a test take.
const stuckAfter = 30 * time.Second

// Guards against a deadlock between lists of servers and servers that carry out orders.
func TestServersAreListedWhileOrdersAreCarriedOut(t *testing.T) {
	const orders = 2000
	platform, err := standin.Start(t.TempDir(), standin.Size{
		Domains:   1,
		PerDomain: 4,
		Plain:     1,
	})
	qt.Assert(t, err, qt.IsNil)
	isDone := make(chan struct{})
	go func() {
		defer close(isDone)
		var calls conc.WaitGroup
		hasEnded := make(chan struct{})
		calls.Go(func() {
			for {
				select {
				case <-hasEnded:
					return
				default:
					platform.Servers(standin.ServiceModel)
				}
			}
		})
		giveOrders(t, platform, orders)
		close(hasEnded)
		calls.Wait()
	}()
	select {
	case <-isDone:
		platform.Close()
	case <-time.After(stuckAfter):
		// Close would wait for the same mutexes.
		t.Fatal("servers are not listed any more")
	}
}

// giveOrders has servers join groups one after the other, each under an epoch of its own.
func giveOrders(t *testing.T, platform *standin.Platform, orders int) {
	t.Helper()
	servers := platform.Servers(standin.ServiceModel)
	for i := range orders {
		one := servers[i%len(servers)]
		encoded, err := json.Marshal(wire.Order{
			Operation: wire.OperationJoin,
			Group:     "g",
			Epoch:     int64(i + 1),
			Model:     standin.ModelSmall,
			Members:   []string{servers[0].ID(), one.ID()},
		})
		qt.Check(t, err, qt.IsNil)
		answer, err := http.Post("http://"+one.Address()+wire.PathOrder, "application/json", bytes.NewReader(encoded))
		if qt.Check(t, err, qt.IsNil) {
			qt.Check(t, answer.Body.Close(), qt.IsNil)
		}
	}
}
