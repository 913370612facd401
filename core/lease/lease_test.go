package lease_test

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"headcourse/core/lease"
)

func TestLeaseExpiresWhileHolderIsPaused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		held := lease.Lease{
			Shard:   3,
			Epoch:   7,
			Expires: time.Now().Add(lease.Term),
		}
		qt.Assert(t, held.Check(lease.OrderMargin), qt.IsNil)
		time.Sleep(lease.Term - lease.OrderMargin + time.Millisecond)
		qt.Assert(t, held.Check(lease.OrderMargin), qt.ErrorIs, lease.ErrExpired)
		qt.Assert(t, lease.Lease{}.Check(0), qt.ErrorIs, lease.ErrExpired)
	})
}

// A daemon that was paused between deciding on an order and sending it must not send the
// order, even if its lease is still valid.
func TestOrderExpiresBeforeLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		held := lease.Lease{
			Epoch:   7,
			Expires: time.Now().Add(lease.Term),
		}
		orderLease := held.ForOrder()
		time.Sleep(lease.MaxSendDelay)
		qt.Assert(t, orderLease.Check(lease.OrderMargin), qt.IsNil)
		time.Sleep(time.Millisecond)
		qt.Assert(t, orderLease.Check(lease.OrderMargin), qt.ErrorIs, lease.ErrExpired)
		qt.Assert(t, held.Check(lease.OrderMargin), qt.IsNil)
	})
}
