package order_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"headcourse/core/order"
)

func TestFenceRejectsOlderOrders(t *testing.T) {
	fence := order.Fence{
		Generation: 3,
		Sequence:   10,
	}
	accepts := func(generation, sequence uint64) bool {
		return fence.Accepts(order.Order{
			Generation: generation,
			Sequence:   sequence,
		})
	}
	qt.Assert(t, accepts(3, 10), qt.IsTrue)
	qt.Assert(t, accepts(3, 11), qt.IsTrue)
	qt.Assert(t, accepts(4, 1), qt.IsTrue)
	qt.Assert(t, accepts(3, 9), qt.IsFalse)
	qt.Assert(t, accepts(2, 99), qt.IsFalse)
}
