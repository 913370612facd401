package eventstream_test

import (
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"headcourse/core/eventstream"
	"headcourse/lab/fuzz"
)

func TestMain(m *testing.M) {
	fuzz.Exit(m)
}

// split writes pieces to a Splitter and returns the events, their IDs and the rest.
func split(pieces ...string) (events []string, ids []int64, rest string) {
	var splitter eventstream.Splitter
	for _, piece := range pieces {
		splitter.Write([]byte(piece))
		for {
			event, ok := splitter.Next()
			if !ok {
				break
			}
			events = append(events, string(event.Raw))
			ids = append(ids, event.ID)
		}
	}
	return events, ids, string(splitter.Remainder())
}

func TestOnlyCompleteEventsAreReturned(t *testing.T) {
	events, ids, rest := split("id: 1\ndata: a\n\nid: 2\nda", "ta: b\n", "\nid: 3\ndata")
	qt.Assert(t, events, qt.DeepEquals, []string{"id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n"})
	qt.Assert(t, ids, qt.DeepEquals, []int64{1, 2})
	qt.Assert(t, rest, qt.Equals, "id: 3\ndata")
}

func TestIDIsFoundAfterOtherFieldsAndWithCRLF(t *testing.T) {
	_, ids, _ := split("weights: 4\nid: 7\ndata: x\n\n")
	qt.Assert(t, ids, qt.DeepEquals, []int64{7})
	events, ids, _ := split("id: 8\r\ndata: x\r\n\r\nid: 9\n\n")
	qt.Assert(t, events, qt.HasLen, 2)
	qt.Assert(t, ids, qt.DeepEquals, []int64{8, 9})
}

func TestEventsDoNotDependOnHowBytesAreSplit(t *testing.T) {
	fuzz.Check(t, func(rt *rapid.T) {
		stream := ""
		count := rapid.IntRange(0, 6).Draw(rt, "events")
		for i := range count {
			stream += "id: " + string(rune('1'+i)) + "\ndata: " + rapid.StringMatching(`[a-z]{0,12}`).Draw(rt, "data") + "\n\n"
		}
		var pieces []string
		for remaining := stream; remaining != ""; {
			n := rapid.IntRange(1, len(remaining)).Draw(rt, "piece")
			pieces = append(pieces, remaining[:n])
			remaining = remaining[n:]
		}
		events, _, rest := split(pieces...)
		joined := ""
		for _, event := range events {
			joined += event
		}
		if joined != stream || rest != "" || len(events) != count {
			rt.Fatalf("%q in pieces %q gave %q and %q", stream, pieces, events, rest)
		}
	})
}
