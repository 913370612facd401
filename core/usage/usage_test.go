package usage_test

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"headcourse/core/usage"
)

func TestMeanFollowsRecordedSizes(t *testing.T) {
	var sizes usage.SizeEstimator
	fallback := usage.Size{
		Prompt: 1000,
		Answer: 100,
	}
	qt.Assert(t, sizes.MeanSize("large", fallback), qt.Equals, fallback)
	for range 400 {
		sizes.Record("large", usage.Size{
			Prompt: 2000,
			Answer: 20,
		})
		sizes.Record("large", usage.Size{
			Prompt: 1000,
			Answer: 120,
		})
	}
	mean := sizes.MeanSize("large", fallback)
	qt.Assert(t, mean.Prompt > 1450 && mean.Prompt < 1550, qt.IsTrue, qt.Commentf("%v", mean))
	qt.Assert(t, mean.Answer > 65 && mean.Answer < 75, qt.IsTrue, qt.Commentf("%v", mean))
	// Each model has an estimate of its own.
	qt.Assert(t, sizes.MeanSize("small", fallback), qt.Equals, fallback)
}

func TestNewModelClearsAFullMap(t *testing.T) {
	var sizes usage.SizeEstimator
	for i := range 10_000 {
		sizes.Record(fmt.Sprint(i), usage.Size{
			Prompt: 1,
		})
	}
	for range 4 {
		sizes.Record("9999", usage.Size{
			Prompt: 1,
		})
	}
	// The last model is known, and the first one was discarded.
	qt.Assert(t, sizes.MeanSize("9999", usage.Size{}).Prompt, qt.Equals, 1.0)
	qt.Assert(t, sizes.MeanSize("0", usage.Size{}).Prompt, qt.Equals, 0.0)
}

// Guards against a first request that sets the mean. A daemon among 295 gets a request for the
// larger model every two seconds. The first one to end, usually a short one, determined the
// mean through the day, and the estimate halved the groups that the model needed.
func TestFirstRequestDoesNotSetTheMean(t *testing.T) {
	var sizes usage.SizeEstimator
	fallback := usage.Size{
		Prompt: 1000,
		Answer: 100,
	}
	sizes.Record("large", usage.Size{
		Prompt: 40,
		Answer: 8,
	})
	qt.Assert(t, sizes.MeanSize("large", fallback), qt.Equals, fallback)
	for range 9 {
		sizes.Record("large", usage.Size{
			Prompt: 1540,
			Answer: 158,
		})
	}
	mean := sizes.MeanSize("large", fallback)
	qt.Assert(t, mean.Answer > 130 && mean.Answer < 150, qt.IsTrue, qt.Commentf("%v", mean))
}
