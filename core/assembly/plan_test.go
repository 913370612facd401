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
			plan.Create = append(plan.Create, assembly.Record{
				Name: fmt.Sprint(i),
			})
		}
		plan.Remove = rapid.SliceOfN(rapid.String(), 0, 30).Draw(rt, "remove")
		plan.Cleared = rapid.SliceOfN(rapid.String(), 0, 30).Draw(rt, "cleared")
		rows := rapid.IntRange(2, 20).Draw(rt, "rows")
		var done assembly.Plan
		for rest := plan; rest.HasChanges(); {
			var first assembly.Plan
			first, rest = rest.Cut(rows)
			if !first.HasChanges() || len(first.Create)+2*len(first.Remove)+len(first.Cleared) > rows {
				rt.Fatalf("first part %+v does not fit %d rows", first, rows)
			}
			done.Create = append(done.Create, first.Create...)
			done.Remove = append(done.Remove, first.Remove...)
			done.Cleared = append(done.Cleared, first.Cleared...)
		}
		if len(done.Create) != len(plan.Create) || !slices.Equal(done.Remove, plan.Remove) || !slices.Equal(done.Cleared, plan.Cleared) {
			rt.Fatalf("plan %+v was split into parts of only %+v", plan, done)
		}
	})
}
