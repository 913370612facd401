package memory_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"headcourse/core/memory"
)

// Guards against a budget that is exceeded, or that loses bytes by a reservation that failed.
func TestBudgetHoldsItsLimit(t *testing.T) {
	var budget memory.Budget
	qt.Assert(t, budget.Reserve(1<<40), qt.IsTrue)
	budget.Release(1 << 40)
	budget.SetLimit(memory.AnswerLimit(50))
	qt.Assert(t, budget.Reserve(7), qt.IsTrue)
	qt.Assert(t, budget.Reserve(4), qt.IsFalse)
	qt.Assert(t, budget.Reserve(3), qt.IsTrue)
	qt.Assert(t, budget.Used(), qt.Equals, int64(10))
	budget.Release(10)
	qt.Assert(t, budget.Reserve(10), qt.IsTrue)
}
