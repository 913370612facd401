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

// deadlockTimeout is far longer than the calls of a test take.
const deadlockTimeout = 30 * time.Second

// Guards against a deadlock between listing servers and servers that carry out orders: the
// platform's mutex and the mutex of a server were acquired in different orders.
func TestListingServersDuringOrdersDoesNotDeadlock(t *testing.T) {
	const orders = 2000
	platform, err := standin.Start(t.TempDir(), standin.Size{
		Domains:          1,
		ServersPerDomain: 4,
		PlainServers:     1,
	})
	qt.Assert(t, err, qt.IsNil)
	done := make(chan struct{})
	go func() {
		defer close(done)
		var calls conc.WaitGroup
		ordersDone := make(chan struct{})
		calls.Go(func() {
			for {
				select {
				case <-ordersDone:
					return
				default:
					platform.Servers(standin.ServiceModel)
				}
			}
		})
		sendOrders(t, platform, orders)
		close(ordersDone)
		calls.Wait()
	}()
	select {
	case <-done:
		platform.Close()
	case <-time.After(deadlockTimeout):
		// Close would wait for the same mutexes.
		t.Fatal("listing servers did not return")
	}
}

// sendOrders makes servers join groups one after the other, each in an epoch of its own.
func sendOrders(t *testing.T, platform *standin.Platform, orders int) {
	t.Helper()
	servers := platform.Servers(standin.ServiceModel)
	for i := range orders {
		server := servers[i%len(servers)]
		encoded, err := json.Marshal(wire.Order{
			Operation: wire.OperationJoin,
			Group:     "g",
			Epoch:     int64(i + 1),
			Model:     standin.ModelSmall,
			Members:   []string{servers[0].ID(), server.ID()},
		})
		qt.Check(t, err, qt.IsNil)
		answer, err := http.Post("http://"+server.Address()+wire.PathOrder, "application/json", bytes.NewReader(encoded))
		if qt.Check(t, err, qt.IsNil) {
			qt.Check(t, answer.Body.Close(), qt.IsNil)
		}
	}
}
