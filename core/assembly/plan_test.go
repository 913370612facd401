package assembly_test

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"headcourse/core/assembly"
)

// Guards against plans that exceed a transaction of the store. With 3,002 servers the first
// plan creates 400 groups; the store rejected it repeatedly, and no group ever formed.
func TestPlanIsSplitToTransactionSize(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		var plan assembly.Plan
		for i := range rapid.IntRange(0, 30).Draw(rt, "create") {
			plan.NewRecords = append(plan.NewRecords, assembly.Record{
				Name: fmt.Sprint(i),
			})
		}
		plan.RemovedGroups = rapid.SliceOfN(rapid.String(), 0, 30).Draw(rt, "remove")
		plan.ClearedSuspicions = rapid.SliceOfN(rapid.String(), 0, 30).Draw(rt, "cleared")
		rows := rapid.IntRange(2, 20).Draw(rt, "rows")
		var done assembly.Plan
		for rest := plan; rest.HasChanges(); {
			var first assembly.Plan
			first, rest = rest.Split(rows)
			if !first.HasChanges() || len(first.NewRecords)+2*len(first.RemovedGroups)+len(first.ClearedSuspicions) > rows {
				rt.Fatalf("first part %+v does not fit %d rows", first, rows)
			}
			done.NewRecords = append(done.NewRecords, first.NewRecords...)
			done.RemovedGroups = append(done.RemovedGroups, first.RemovedGroups...)
			done.ClearedSuspicions = append(done.ClearedSuspicions, first.ClearedSuspicions...)
		}
		if len(done.NewRecords) != len(plan.NewRecords) || !slices.Equal(done.RemovedGroups, plan.RemovedGroups) || !slices.Equal(done.ClearedSuspicions, plan.ClearedSuspicions) {
			rt.Fatalf("plan %+v was split into parts of only %+v", plan, done)
		}
	})
}
