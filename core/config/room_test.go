package config_test

import (
	"math"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"headcourse/core/config"
	"headcourse/core/usage"
)

// engine is how the engines of a user's deployment work that was traced: large groups of
// twelve servers, small ones of six.
var engine = &config.Engine{
	Capacity:       48,
	Step:           6450 * time.Microsecond,
	StepPerRequest: 96700 * time.Nanosecond,
	ReadPerSecond:  56_100,
	Chunk:          2048,
	TokensPerEvent: 5,
}

// large and small are its models.
var (
	large = config.Model{
		Name: "large",
		Size: 12,
		Pace: 1,
	}
	small = config.Model{
		Name: "small",
		Size: 6,
		Pace: 0.6,
	}
)

// askedLarge is what callers asked of the large model on a quiet day: 24 narratives and 15
// triages a second, with prompts of up to 5,880 tokens, to be answered within 0.4 s.
func askedLarge() usage.Rate {
	goal := 400 * time.Millisecond
	narratives := usage.Rate{
		Requests: 24.1,
		Prompt:   24.1 * 1403,
		Answer:   24.1 * 148,
		Squares:  24.1 * 2.9e6,
		Goals:    24.1 * 1403 * goal.Seconds(),
	}
	triages := usage.Rate{
		Requests: 15,
		Prompt:   15 * 1829,
		Answer:   15 * 23,
		Squares:  15 * 5.7e6,
		Goals:    15 * 1829 * goal.Seconds(),
	}
	return narratives.Plus(triages)
}

// askedSmall is what was asked of the small one: 258 summaries a second within 0.3 s.
func askedSmall() usage.Rate {
	return usage.Of(usage.Size{
		Prompt: 714,
		Answer: 148,
	}, 300*time.Millisecond).Times(258)
}

// On that day no request of the large model was late with six groups, 15 in 100 with five
// and 40 to 70 in 100 with three; with two, most were. The small one was never short with
// nine and more.
func TestNeedIsWhereRequestsWereInTime(t *testing.T) {
	groups, ok := engine.Groups(large, askedLarge())
	qt.Assert(t, ok, qt.IsTrue)
	qt.Assert(t, groups.InTime > 3.5 && groups.InTime < 5, qt.IsTrue, qt.Commentf("%v", groups))
	qt.Assert(t, groups.Least > 2 && groups.Least < 3, qt.IsTrue, qt.Commentf("%v", groups))
	groups, ok = engine.Groups(small, askedSmall())
	qt.Assert(t, ok, qt.IsTrue)
	qt.Assert(t, groups.InTime > 7.5 && groups.InTime < 9.5, qt.IsTrue, qt.Commentf("%v", groups))
	qt.Assert(t, groups.Least > 6 && groups.Least < groups.InTime, qt.IsTrue, qt.Commentf("%v", groups))
}

// A mean says nothing of the prompts that hold up all others.
func TestLongPromptsNeedMoreGroupsThanTheirMean(t *testing.T) {
	asked := askedLarge()
	even := asked
	even.Squares = asked.Prompt * asked.Prompt / asked.Requests
	differing, _ := engine.Groups(large, asked)
	alike, _ := engine.Groups(large, even)
	qt.Assert(t, differing.InTime > 1.1*alike.InTime, qt.IsTrue, qt.Commentf("%v, %v", differing, alike))
}

// Reading a prompt may take most of the goal at an idle group: more groups do not help.
func TestGoalThatNoGroupMeetsNeedsNoGroupsWithoutEnd(t *testing.T) {
	asked := askedLarge()
	asked.Goals = asked.Prompt * 0.01
	groups, ok := engine.Groups(large, asked)
	qt.Assert(t, ok, qt.IsTrue)
	qt.Assert(t, groups.InTime < 12, qt.IsTrue, qt.Commentf("%v", groups))
}

func TestNothingAskedAndNothingTold(t *testing.T) {
	groups, ok := engine.Groups(large, usage.Rate{})
	qt.Assert(t, ok, qt.IsTrue)
	qt.Assert(t, groups, qt.Equals, config.Groups{})
	_, ok = (&config.Engine{}).Groups(large, askedLarge())
	qt.Assert(t, ok, qt.IsFalse)
}

// Whatever is asked, twice as much takes twice as many groups, and the least are never more
// than those that serve in time.
func TestNeedGrowsWithWhatIsAsked(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		one := usage.Of(usage.Size{
			Prompt: rapid.Float64Range(0, 8000).Draw(rt, "prompt"),
			Answer: rapid.Float64Range(1, 500).Draw(rt, "answer"),
		}, time.Duration(rapid.IntRange(0, 2000).Draw(rt, "goal"))*time.Millisecond)
		asked := one.Times(rapid.Float64Range(0.1, 1000).Draw(rt, "requests"))
		groups, _ := engine.Groups(large, asked)
		double, _ := engine.Groups(large, asked.Times(2))
		if math.Abs(double.InTime-2*groups.InTime) > 1e-3*double.InTime {
			rt.Fatalf("%v for %v, %v for twice as much", groups, asked, double)
		}
		if groups.Least > groups.InTime*1.001 {
			rt.Fatalf("%v", groups)
		}
	})
}
