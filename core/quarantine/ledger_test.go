package quarantine_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"headcourse/core/quarantine"
	"headcourse/core/rowstore"
)

// digestOf returns the digest of a body.
func digestOf(body string) quarantine.Digest {
	return quarantine.DigestOf("/reports/", "cuenca", []byte(body))
}

// endAt returns the end of a start of a server under a body.
func endAt(body, start string) quarantine.End {
	return quarantine.End{
		Digest: digestOf(body),
		Start:  start,
	}
}

// trialEnd returns the end of a start of a server under a trial of the body "bad".
func trialEnd(start string, number int) quarantine.End {
	end := endAt("bad", start)
	end.Trial = number
	return end
}

// suspected returns a ledger that knows of two ends under a body.
func suspected(body string) *quarantine.Ledger {
	ledger := &quarantine.Ledger{}
	for _, start := range []string{"a", "b"} {
		ledger.Told(endAt(body, start))
	}
	return ledger
}

// step returns what may be done with a body.
func step(ledger *quarantine.Ledger, body string) quarantine.Step {
	return ledger.Decide(digestOf(body)).Step
}

// revision returns a revision of era 0.
func revision(version int) rowstore.Revision {
	return rowstore.Revision{
		Version: int64(version),
	}
}

func TestRequestIsSentByTrialsOnlyWhenTwoServersEndedUnderIt(t *testing.T) {
	var ledger quarantine.Ledger
	qt.Assert(t, ledger.Note(endAt("bad", "a")), qt.IsTrue)
	// Many requests with one content may be under way at one server: it ends once.
	qt.Assert(t, ledger.Note(endAt("bad", "a")), qt.IsFalse)
	qt.Assert(t, step(&ledger, "bad"), qt.Equals, quarantine.Send)
	qt.Assert(t, ledger.Told(endAt("bad", "b")), qt.IsTrue)
	qt.Assert(t, ledger.Decide(digestOf("bad")), qt.Equals, quarantine.Decision{
		Step: quarantine.Try,
		Trial: quarantine.Trial{
			Digest: digestOf("bad"),
			Number: 1,
		},
	})
	qt.Assert(t, step(&ledger, "other"), qt.Equals, quarantine.Send)
	qt.Assert(t, ledger.Ends(digestOf("bad")), qt.DeepEquals, []string{"a", "b"})
}

// The users allow three sends after the third end: the third end comes with the first
// trial, so two more trials may follow, long after.
func TestRequestIsHeldWhenAServerEndsUnderItsTrial(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ledger := suspected("bad")
		var held int
		ledger.Listen(func(digest quarantine.Digest) {
			qt.Check(t, digest, qt.Equals, digestOf("bad"))
			held++
		})
		for number, pause := range []time.Duration{10 * time.Minute, time.Hour, 24 * time.Hour} {
			decision := ledger.Decide(digestOf("bad"))
			qt.Assert(t, decision.Step, qt.Equals, quarantine.Try)
			qt.Assert(t, decision.Trial.Number, qt.Equals, number+1)
			qt.Assert(t, ledger.Tried(decision.Trial, revision(100+number)), qt.IsTrue)
			qt.Assert(t, step(ledger, "bad"), qt.Equals, quarantine.Hold)

			qt.Assert(t, ledger.Note(trialEnd(fmt.Sprintf("trial %d", number), number+1)), qt.IsTrue)
			qt.Assert(t, held, qt.Equals, number+1)
			time.Sleep(pause - time.Second)
			decision = ledger.Decide(digestOf("bad"))
			qt.Assert(t, decision.Step, qt.Equals, quarantine.Hold)
			qt.Assert(t, decision.Pause, qt.Equals, time.Second)
			time.Sleep(2 * time.Second)
		}
		// It is long ago now, and forgotten when somebody looks.
		qt.Assert(t, ledger.Sweep(), qt.HasLen, 1)
		qt.Assert(t, step(ledger, "bad"), qt.Equals, quarantine.Send)
	})
}

// A trial may end without a word: its server was full, its client or its daemon went away.
func TestTrialWithoutAnEndIsRepeatedThreeTimesAtMost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ledger := suspected("quiet")
		for number := range 3 {
			decision := ledger.Decide(digestOf("quiet"))
			qt.Assert(t, decision.Trial.Number, qt.Equals, number+1)
			ledger.Tried(decision.Trial, revision(100+number))
			qt.Assert(t, step(ledger, "quiet"), qt.Equals, quarantine.Hold)
			time.Sleep(3 * time.Second)
		}
		qt.Assert(t, step(ledger, "quiet"), qt.Equals, quarantine.Hold)
		time.Sleep(10 * time.Minute)
		qt.Assert(t, ledger.Sweep(), qt.DeepEquals, []quarantine.Cleared{
			{
				Digest:   digestOf("quiet"),
				Starts:   []string{"a", "b"},
				HasTrial: true,
			},
		})
		qt.Assert(t, step(ledger, "quiet"), qt.Equals, quarantine.Send)
	})
}

// A request on trial was not sent on when its server stood still, and its client went away
// with nothing, though nothing spoke against it.
func TestTrialGoesOnWhileNoServerEndsUnderIt(t *testing.T) {
	ledger := suspected("quiet")
	trial := ledger.Decide(digestOf("quiet")).Trial
	ledger.Tried(trial, revision(7))
	qt.Assert(t, step(ledger, "quiet"), qt.Equals, quarantine.Hold)
	qt.Assert(t, ledger.MayGoOn(digestOf("quiet"), trial.Number), qt.IsTrue)
	qt.Assert(t, ledger.MayGoOn(digestOf("quiet"), trial.Number+1), qt.IsFalse)

	ledger.Told(endAt("quiet", "c"))
	qt.Assert(t, ledger.MayGoOn(digestOf("quiet"), trial.Number), qt.IsFalse)
	ledger.Answered(digestOf("quiet"))
	qt.Assert(t, ledger.MayGoOn(digestOf("quiet"), trial.Number), qt.IsTrue)

	ledger = suspected("bad")
	ledger.Tried(quarantine.Trial{
		Digest: digestOf("bad"),
		Number: 1,
	}, revision(7))
	ledger.Note(trialEnd("c", 1))
	qt.Assert(t, ledger.MayGoOn(digestOf("bad"), 1), qt.IsFalse)
	_, held := ledger.Counts()
	qt.Assert(t, held, qt.Equals, 1)
}

// Servers that fail together end under what many callers ask alike: a page that dashboards
// load again and again was held for as long as the test ran.
func TestRequestThatIsAnsweredIsNotSuspected(t *testing.T) {
	ledger := suspected("dashboard")
	ledger.Note(endAt("dashboard", "c"))
	ledger.Tried(quarantine.Trial{
		Digest: digestOf("dashboard"),
		Number: 1,
	}, revision(7))
	// What the store tells is to be removed there, for the others.
	qt.Assert(t, ledger.Answered(digestOf("dashboard")), qt.DeepEquals, quarantine.Cleared{
		Digest:   digestOf("dashboard"),
		Starts:   []string{"a", "b"},
		HasTrial: true,
	})
	for _, start := range []string{"c", "d", "e"} {
		qt.Assert(t, ledger.Note(endAt("dashboard", start)), qt.IsFalse)
		qt.Assert(t, ledger.Told(endAt("dashboard", start)), qt.IsFalse)
	}
	qt.Assert(t, ledger.Tried(quarantine.Trial{
		Digest: digestOf("dashboard"),
		Number: 2,
	}, revision(8)), qt.IsFalse)
	qt.Assert(t, step(ledger, "dashboard"), qt.Equals, quarantine.Send)
	qt.Assert(t, ledger.Answered(digestOf("dashboard")).IsAny(), qt.IsFalse)
}

func TestEndsAreForgotten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ledger := suspected("accident")
		time.Sleep(11 * time.Minute)
		qt.Assert(t, ledger.Sweep(), qt.HasLen, 1)
		qt.Assert(t, step(ledger, "accident"), qt.Equals, quarantine.Send)

		// An answer does not clear a request for ever.
		ledger.Answered(digestOf("once"))
		time.Sleep(21 * time.Minute)
		qt.Assert(t, ledger.Note(endAt("once", "a")), qt.IsTrue)
	})
}

func TestReleasedRequestIsSentAgain(t *testing.T) {
	ledger := suspected("bad")
	ledger.Tried(quarantine.Trial{
		Digest: digestOf("bad"),
		Number: 1,
	}, revision(7))
	ledger.Told(trialEnd("c", 1))
	qt.Assert(t, step(ledger, "bad"), qt.Equals, quarantine.Hold)
	ledger.RemovedTrial(digestOf("bad"))
	for _, start := range []string{"a", "b"} {
		ledger.Removed(endAt("bad", start))
	}
	qt.Assert(t, step(ledger, "bad"), qt.Equals, quarantine.Send)

	ledger.Note(endAt("bad", "d"))
	qt.Assert(t, step(ledger, "bad"), qt.Equals, quarantine.Try)
	// The store was read anew: it does not know of d yet.
	ledger.Keep(nil, nil)
	qt.Assert(t, ledger.Ends(digestOf("bad")), qt.DeepEquals, []string{"d"})
	qt.Assert(t, step(ledger, "bad"), qt.Equals, quarantine.Send)
}

// Whoever sends a million different requests that crash servers fills no memory, and
// frees none that is held.
func TestLedgerIsBoundedAndKeepsWhatIsHeld(t *testing.T) {
	ledger := suspected("bad")
	ledger.Note(trialEnd("c", 1))
	const many = 6000
	for i := range many {
		ledger.Told(endAt(fmt.Sprintf("flood %d", i), "d"))
	}
	suspected, held := ledger.Counts()
	qt.Assert(t, suspected, qt.Equals, 4096)
	qt.Assert(t, held, qt.Equals, 1)
	qt.Assert(t, step(ledger, "bad"), qt.Equals, quarantine.Hold)
	// The rows of the others are to be removed, so that the table is bounded too.
	qt.Assert(t, ledger.Sweep(), qt.HasLen, many+1-4096)
	qt.Assert(t, ledger.Sweep(), qt.HasLen, 0)
}

// In whichever order and however often daemons hear of ends and trials, they agree: one
// that starts reads all at once, in the order of the keys.
func TestDaemonsAgreeWhateverTheyHearFirst(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var words []func(*quarantine.Ledger)
		for range rapid.IntRange(0, 12).Draw(t, "ends") {
			end := endAt("x", rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "start"))
			end.Trial = rapid.IntRange(0, 2).Draw(t, "trial")
			words = append(words, func(ledger *quarantine.Ledger) {
				ledger.Told(end)
			})
		}
		for number := range rapid.IntRange(0, 3).Draw(t, "trials") {
			words = append(words, func(ledger *quarantine.Ledger) {
				ledger.Tried(quarantine.Trial{
					Digest: digestOf("x"),
					Number: number + 1,
				}, revision(10+number))
			})
		}
		var decisions []quarantine.Decision
		for _, order := range [][]func(*quarantine.Ledger){words, rapid.Permutation(words).Draw(t, "order")} {
			ledger := &quarantine.Ledger{}
			for _, word := range order {
				word(ledger)
			}
			decision := ledger.Decide(digestOf("x"))
			decision.Pause = 0
			decisions = append(decisions, decision)
		}
		if decisions[0] != decisions[1] {
			t.Fatalf("%+v, in another order %+v", decisions[0], decisions[1])
		}
	})
}

// Requests that merely ran beside two crashes were on trial, sent to a server that had ended
// already, while its entry stood, and held for minutes: its end was counted as the trial's.
func TestEndFromBeforeTheTrialIsNotOfIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ledger := suspected("bad")
		time.Sleep(time.Second)
		trial := ledger.Decide(digestOf("bad")).Trial
		qt.Assert(t, ledger.Tried(trial, revision(7)), qt.IsTrue)
		time.Sleep(time.Millisecond)
		qt.Assert(t, ledger.Note(trialEnd("b", trial.Number)), qt.IsFalse)
		qt.Assert(t, ledger.MayGoOn(digestOf("bad"), trial.Number), qt.IsTrue)
		_, held := ledger.Counts()
		qt.Assert(t, held, qt.Equals, 0)

		// One that ends in its course is, also where another request told of it first.
		ledger.Note(endAt("bad", "c"))
		qt.Assert(t, ledger.Note(trialEnd("c", trial.Number)), qt.IsTrue)
		_, held = ledger.Counts()
		qt.Assert(t, held, qt.Equals, 1)
	})
}
