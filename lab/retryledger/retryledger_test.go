package retryledger_test

import (
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"headcourse/lab/retryledger"
)

// newLedger returns a ledger that allows 0.2 repeats per request and 5 besides in 10 s.
func newLedger() *retryledger.Ledger {
	return &retryledger.Ledger{
		Share:  0.2,
		Burst:  5,
		Window: 10 * time.Second,
	}
}

func TestRepeatsBeyondShareAndBurstAreFound(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ledger := newLedger()
		for i := range 10 {
			ledger.RecordRequest()
			ledger.RecordArrival(strconv.Itoa(i))
		}
		time.Sleep(5 * time.Second)
		for i := range 7 {
			ledger.RecordArrival(strconv.Itoa(i))
		}
		_, isViolated := ledger.Worst()
		qt.Assert(t, isViolated, qt.IsFalse)
		qt.Assert(t, ledger.Repeats(), qt.Equals, 7)
		ledger.RecordArrival("7")
		worst, isViolated := ledger.Worst()
		qt.Assert(t, isViolated, qt.IsTrue)
		qt.Assert(t, worst.Repeats, qt.Equals, 8)
		qt.Assert(t, worst.Allowed, qt.Equals, 7.0)
	})
}

// Requests count in the window a whole window earlier, but not in older ones.
func TestRequestsOfFormerWindowCount(t *testing.T) {
	for _, test := range []struct {
		pause      time.Duration
		isViolated bool
	}{
		{
			pause: 9 * time.Second,
		},
		{
			pause:      21 * time.Second,
			isViolated: true,
		},
	} {
		synctest.Test(t, func(t *testing.T) {
			ledger := newLedger()
			for range 10 {
				ledger.RecordRequest()
			}
			time.Sleep(test.pause)
			for range 7 {
				ledger.RecordRepeat()
			}
			_, isViolated := ledger.Worst()
			qt.Assert(t, isViolated, qt.Equals, test.isViolated)
		})
	}
}

// A window is found wherever it lies between repeats.
func TestWindowBetweenRepeatsIsFound(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ledger := newLedger()
		for range 6 {
			ledger.RecordRepeat()
			time.Sleep(1900 * time.Millisecond)
		}
		worst, isViolated := ledger.Worst()
		qt.Assert(t, isViolated, qt.IsTrue)
		qt.Assert(t, worst.Repeats, qt.Equals, 6)
	})
}
