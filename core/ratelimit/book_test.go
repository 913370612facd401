package ratelimit_test

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"headcourse/core/boottime"
	"headcourse/core/ratelimit"
)

// alone is the place of an only daemon, without that of one among so many that it has no part.
var (
	alone = ratelimit.Place{
		Of: 1,
	}
	without = ratelimit.Place{
		Rank: 300,
		Of:   360,
	}
)

// sent counts how many requests a daemon sends at once.
func sent(book *ratelimit.Book, place ratelimit.Place) int {
	const many = 1000
	count := 0
	for range many {
		room, ok := book.Reserve(start, place)
		if !ok {
			return count
		}
		if _, ok = room.Take(place); !ok {
			return count
		}
		count++
	}
	return count
}

// isLimited tells whether a start has a limit.
func isLimited(book *ratelimit.Book) bool {
	limit, _ := book.Known(start)
	return limit.IsNamed
}

func TestLimitIsKeptToUntilAnAnswerNamesNone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var book ratelimit.Book
		qt.Assert(t, book.IsEmpty(), qt.IsTrue)
		qt.Assert(t, sent(&book, alone), qt.Equals, 1000)

		qt.Assert(t, book.Observed(start, ratelimit.Named(2), time.Now()), qt.IsTrue)
		// What was sent before the word is not known to the book: nothing at first.
		qt.Assert(t, sent(&book, alone), qt.Equals, 0)
		time.Sleep(time.Second)
		qt.Assert(t, sent(&book, alone), qt.Equals, 2)
		time.Sleep(500 * time.Millisecond)
		qt.Assert(t, sent(&book, alone), qt.Equals, 1)
		qt.Assert(t, book.Observed(start, ratelimit.Named(2), time.Now()), qt.IsFalse)

		time.Sleep(time.Millisecond)
		qt.Assert(t, book.Observed(start, ratelimit.Limit{}, time.Now()), qt.IsTrue)
		qt.Assert(t, book.IsEmpty(), qt.IsTrue)
		qt.Assert(t, book.Observed(start, ratelimit.Limit{}, time.Now()), qt.IsFalse)
	})
}

// Answers come out of order: one that was made before the server named its limit, or a lower
// one, says nothing about now. A word that makes no sense ends nothing.
func TestAnswerToAnEarlierRequestNeitherRaisesNorEndsALimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var book ratelimit.Book
		earlier := time.Now()
		time.Sleep(100 * time.Millisecond)
		book.Observed(start, ratelimit.Named(2), time.Now())
		for _, said := range []ratelimit.Limit{{}, ratelimit.Named(20), ratelimit.Named(-1)} {
			qt.Assert(t, book.Observed(start, said, earlier), qt.IsFalse)
			qt.Assert(t, book.Observed(start, said, time.Time{}), qt.IsFalse)
			limit, _ := book.Known(start)
			qt.Assert(t, limit, qt.Equals, ratelimit.Named(2))
		}
		time.Sleep(100 * time.Millisecond)
		qt.Assert(t, book.Observed(start, ratelimit.Named(-1), time.Now()), qt.IsFalse)
		// A lower word holds at once, whichever answer it came with.
		qt.Assert(t, book.Observed(start, ratelimit.Named(1), time.Time{}), qt.IsTrue)
		time.Sleep(100 * time.Millisecond)
		qt.Assert(t, book.Observed(start, ratelimit.Named(20), time.Now()), qt.IsTrue)
		limit, _ := book.Known(start)
		qt.Assert(t, limit, qt.Equals, ratelimit.Named(20))
	})
}

// A daemon that was told by another sends no more than its part, without an answer of its own,
// and is told of the end as well. An answer to what it sent before ends nothing.
func TestWordOfAnotherDaemonCounts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var book ratelimit.Book
		before := time.Now()
		time.Sleep(time.Millisecond)
		book.Reported(start, ratelimit.Named(1.7))
		qt.Assert(t, book.Observed(start, ratelimit.Limit{}, before), qt.IsFalse)
		time.Sleep(30 * time.Second)
		qt.Assert(t, sent(&book, without), qt.Equals, 0)
		book.Reported(start, ratelimit.Limit{})
		qt.Assert(t, sent(&book, without), qt.Equals, 1000)
		// Nothing is known of it: that it is over is no news.
		book.Reported(start, ratelimit.Limit{})
		qt.Assert(t, book.IsEmpty(), qt.IsTrue)
	})
}

// What others tell may be older than what a daemon has just heard itself. It counts as soon as
// the daemon has heard nothing more for a while.
func TestOwnAnswerGoesBeforeTheWordOfAnother(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var book ratelimit.Book
		for _, told := range []ratelimit.Limit{{}, ratelimit.Named(5)} {
			book.Observed(start, ratelimit.Named(2), time.Now())
			book.Reported(start, told)
			limit, _ := book.Known(start)
			qt.Assert(t, limit, qt.Equals, ratelimit.Named(2))
			book.Reported(start, ratelimit.Named(1))
			limit, _ = book.Known(start)
			qt.Assert(t, limit, qt.Equals, ratelimit.Named(1))

			book.Observed(start, ratelimit.Named(0.5), time.Now())
			book.Reported(start, told)
			time.Sleep(5 * time.Second)
			book.HasRoom(start, alone)
			limit, _ = book.Known(start)
			qt.Assert(t, limit, qt.Equals, told)
		}
	})
}

// Room that is kept for one request is not given to another, and is not lost with one that was
// not sent.
func TestRoomIsForOneRequestAndComesBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const perSecond = 0.05
		var book ratelimit.Book
		book.Observed(start, ratelimit.Named(perSecond), time.Now())
		place := ratelimit.Place{
			Of: 2,
		}
		wait, isEver := book.Wait(start, place)
		qt.Assert(t, isEver, qt.IsTrue)
		qt.Assert(t, wait, qt.Equals, 2*20*time.Second)
		time.Sleep(wait)
		room, ok := book.Reserve(start, place)
		qt.Assert(t, ok, qt.IsTrue)
		qt.Assert(t, book.HasRoom(start, place), qt.IsFalse)
		room.Release()
		qt.Assert(t, book.HasRoom(start, place), qt.IsTrue)
		qt.Assert(t, sent(&book, place), qt.Equals, 1)
		// Once taken it does not come back.
		room.Release()
		qt.Assert(t, book.HasRoom(start, place), qt.IsFalse)
		_, isEver = book.Wait(start, without)
		qt.Assert(t, isEver, qt.IsFalse)
	})
}

// A request was chosen for a server, and waits for its connection, when the server names a
// limit or a lower one.
func TestRequestThatWasChosenBeforeALimitIsNotSentBeyondIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var book ratelimit.Book
		chosen, ok := book.Reserve(start, alone)
		qt.Assert(t, ok, qt.IsTrue)
		book.Observed(start, ratelimit.Named(20), time.Now())
		_, ok = chosen.Take(alone)
		qt.Assert(t, ok, qt.IsFalse)

		time.Sleep(time.Second)
		chosen, ok = book.Reserve(start, alone)
		qt.Assert(t, ok, qt.IsTrue)
		// The others of a burst are sent, and the list tells that others share.
		qt.Assert(t, sent(&book, alone) > 10, qt.IsTrue)
		_, ok = chosen.Take(without)
		qt.Assert(t, ok, qt.IsFalse)
	})
}

// Room gathers while the machine is suspended, as it does at the server.
func TestRoomGathersWhileTheMachineIsSuspended(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var suspended time.Duration
		book := ratelimit.Book{
			Clock: boottime.Clock{
				Suspended: func() time.Duration { return suspended },
			},
		}
		book.Observed(start, ratelimit.Named(1), book.Clock.Now())
		qt.Assert(t, book.HasRoom(start, alone), qt.IsFalse)
		suspended += time.Second
		qt.Assert(t, book.HasRoom(start, alone), qt.IsTrue)
	})
}

func TestLimitsOfServersThatAreGoneAreForgotten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var book ratelimit.Book
		book.Observed(start, ratelimit.Named(1), time.Now())
		isKnown := true
		sweep := func() {
			book.Sweep(func(string) bool { return isKnown })
		}
		time.Sleep(time.Hour)
		sweep()
		qt.Assert(t, isLimited(&book), qt.IsTrue)
		isKnown = false
		book.Observed(start, ratelimit.Named(1), time.Now())
		sweep()
		qt.Assert(t, isLimited(&book), qt.IsTrue)
		time.Sleep(time.Hour)
		sweep()
		qt.Assert(t, book.IsEmpty(), qt.IsTrue)
	})
}
