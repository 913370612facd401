package usage_test

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"headcourse/core/usage"
)

func TestMeanFollowsWhatIsAsked(t *testing.T) {
	var sizes usage.Sizes
	usual := usage.Size{
		Prompt: 1000,
		Answer: 100,
	}
	qt.Assert(t, sizes.Of("large", usual), qt.Equals, usual)
	for range 400 {
		sizes.Note("large", usage.Size{
			Prompt: 2000,
			Answer: 20,
		})
		sizes.Note("large", usage.Size{
			Prompt: 1000,
			Answer: 120,
		})
	}
	mean := sizes.Of("large", usual)
	qt.Assert(t, mean.Prompt > 1450 && mean.Prompt < 1550, qt.IsTrue, qt.Commentf("%v", mean))
	qt.Assert(t, mean.Answer > 65 && mean.Answer < 75, qt.IsTrue, qt.Commentf("%v", mean))
	// Other models have sizes of their own.
	qt.Assert(t, sizes.Of("small", usual), qt.Equals, usual)
}

func TestManyModelsAreBounded(t *testing.T) {
	var sizes usage.Sizes
	for i := range 10_000 {
		sizes.Note(fmt.Sprint(i), usage.Size{
			Prompt: 1,
		})
	}
	for range 4 {
		sizes.Note("9999", usage.Size{
			Prompt: 1,
		})
	}
	// The last one is known, the first was forgotten.
	qt.Assert(t, sizes.Of("9999", usage.Size{}).Prompt, qt.Equals, 1.0)
	qt.Assert(t, sizes.Of("0", usage.Size{}).Prompt, qt.Equals, 0.0)
}

// A daemon among 295 is asked for the larger model once in two seconds: the first request
// that it saw end, mostly a short one, stood for all of them through the day, and the
// model seemed to need half of its groups.
func TestFirstRequestDoesNotStandForAll(t *testing.T) {
	var sizes usage.Sizes
	usual := usage.Size{
		Prompt: 1000,
		Answer: 100,
	}
	sizes.Note("large", usage.Size{
		Prompt: 40,
		Answer: 8,
	})
	qt.Assert(t, sizes.Of("large", usual), qt.Equals, usual)
	for range 9 {
		sizes.Note("large", usage.Size{
			Prompt: 1540,
			Answer: 158,
		})
	}
	mean := sizes.Of("large", usual)
	qt.Assert(t, mean.Answer > 130 && mean.Answer < 150, qt.IsTrue, qt.Commentf("%v", mean))
}
