package lease_test

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"headcourse/core/lease"
)

func TestPausedHolderMayNotAct(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		held := lease.Held{
			Shard:   3,
			Epoch:   7,
			Expires: time.Now().Add(lease.Term),
		}
		qt.Assert(t, held.Check(lease.OrderMargin), qt.IsNil)
		time.Sleep(lease.Term - lease.OrderMargin + time.Millisecond)
		qt.Assert(t, held.Check(lease.OrderMargin), qt.ErrorIs, lease.ErrLapsed)
		qt.Assert(t, lease.Held{}.Check(0), qt.ErrorIs, lease.ErrLapsed)
	})
}

// TestOrderIsSentSoonOrNever: a daemon that was paused between deciding an
// order and sending it does not send it, though its lease still holds.
func TestOrderIsSentSoonOrNever(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		held := lease.Held{
			Epoch:   7,
			Expires: time.Now().Add(lease.Term),
		}
		order := held.WithOrder()
		time.Sleep(lease.SendWithin)
		qt.Assert(t, order.Check(lease.OrderMargin), qt.IsNil)
		time.Sleep(time.Millisecond)
		qt.Assert(t, order.Check(lease.OrderMargin), qt.ErrorIs, lease.ErrLapsed)
		qt.Assert(t, held.Check(lease.OrderMargin), qt.IsNil)
	})
}
