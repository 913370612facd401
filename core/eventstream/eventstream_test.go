package eventstream_test

import (
	"slices"
	"strconv"
	"strings"
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

// Guards against a carriage return at the end of a piece that is taken for the end of a line on its own.
func TestLineEndIsRecognisedAcrossPieces(t *testing.T) {
	events, ids, rest := split("id: 1\r", "\ndata: a\r", "\n\r", "\nid: 2\n\n")
	qt.Assert(t, events, qt.DeepEquals, []string{"id: 1\r\ndata: a\r\n\r", "\nid: 2\n\n"})
	qt.Assert(t, ids, qt.DeepEquals, []int64{1, 2})
	qt.Assert(t, rest, qt.Equals, "")
}

func TestIDFollowsFormat(t *testing.T) {
	for text, want := range map[string]int64{
		"id: 3\n\n":                    3,
		"id:3\rdata: x\r\r":            3,
		"\ufeffid: 3\n\n":              3,
		"id: 3\nid: 4\n\n":             4,
		"data: x\n\n":                  0,
		"id: -3\n\n":                   0,
		"id: three\n\n":                0,
		"data: id: 3\n\n":              0,
		": id: 3\n\n":                  0,
		"id: 99999999999999999999\n\n": 0,
	} {
		_, ids, _ := split(text)
		qt.Check(t, ids, qt.DeepEquals, []int64{want}, qt.Commentf("%q", text))
	}
}

func TestCommentsAndBlankLinesAreNoUnfinishedEvent(t *testing.T) {
	for text, want := range map[string]bool{
		"":                      false,
		"\ufeff":                false,
		"data: a\n\n":           false,
		"data: a\r\n\r\n":       false,
		"data: a\n\n\n\r\r\n":   false,
		"data: a\n\n: end":      false,
		"data: a\n\n: end\n":    false,
		"data: a\n\n: end\n\n":  false,
		"data: a\n":             true,
		"data: a\r":             true,
		"data: a\r\n":           true,
		"data: a\n\nd":          true,
		"data: a\n\n: x\nid":    true,
		"data: a\n\nid: 2\n: x": true,
		"\ufeffd":               true,
	} {
		for size := 1; size <= max(1, len(text)); size++ {
			qt.Check(t, feed(text, size).HasUnfinishedEvent(), qt.Equals, want, qt.Commentf("%q in pieces of %d", text, size))
		}
	}
}

// feed returns a Splitter that has read a text in pieces of a size and returned all its events.
func feed(text string, size int) *eventstream.Splitter {
	splitter := &eventstream.Splitter{}
	for text != "" {
		n := min(size, len(text))
		splitter.Write([]byte(text[:n]))
		text = text[n:]
		for {
			if _, ok := splitter.Next(); !ok {
				break
			}
		}
	}
	return splitter
}

// generatedStream is a stream whose structure is known.
type generatedStream struct {
	text string
	// ends are the offsets after which an event is complete; starts those at which the first field of an
	// event begins.
	ends   []int
	starts []int
}

// drawStream draws a stream with any line ends, comments and blank lines.
func drawStream(rt *rapid.T) generatedStream {
	var drawn generatedStream
	lineEnd := rapid.SampledFrom([]string{"\n", "\r", "\r\n"})
	isMixed := rapid.Bool().Draw(rt, "is mixed")
	fixed := lineEnd.Draw(rt, "line end")
	endLine := func() string {
		if isMixed {
			return lineEnd.Draw(rt, "line end")
		}
		return fixed
	}
	if rapid.Bool().Draw(rt, "has mark") {
		drawn.text = "\ufeff"
	}
	for i := range rapid.IntRange(0, 6).Draw(rt, "events") {
		if rapid.Bool().Draw(rt, "has comment") {
			drawn.text += ": comment" + endLine()
		}
		drawn.starts = append(drawn.starts, len(drawn.text))
		drawn.text += "id: " + strconv.Itoa(i+1) + endLine()
		for range rapid.IntRange(0, 2).Draw(rt, "lines") {
			drawn.text += "data: " + rapid.StringMatching(`[a-z]{0,12}`).Draw(rt, "data") + endLine()
		}
		// A LF right after a CR would be the rest of the same line end.
		blank := endLine()
		if strings.HasSuffix(drawn.text, "\r") && blank == "\n" {
			blank = "\r"
		}
		drawn.text += blank
		drawn.ends = append(drawn.ends, len(drawn.text)-len(blank)+1)
	}
	return drawn
}

// Guards against parts of events that are forwarded, and against a cut inside an event that goes unnoticed: for
// any stream, any cut and any pieces, what is returned is whole events, and the rest is an unfinished event
// exactly if the cut is inside one.
func TestCutsInsideEventsAreRecognised(t *testing.T) {
	fuzz.Check(t, func(rt *rapid.T) {
		drawn := drawStream(rt)
		cut := rapid.IntRange(0, len(drawn.text)).Draw(rt, "cut")
		var splitter eventstream.Splitter
		var ids []int64
		delivered := ""
		for offset := 0; offset < cut; {
			n := rapid.IntRange(1, cut-offset).Draw(rt, "piece")
			splitter.Write([]byte(drawn.text[offset : offset+n]))
			offset += n
			for event, ok := splitter.Next(); ok; event, ok = splitter.Next() {
				delivered += string(event.Raw)
				if !event.IsComment {
					ids = append(ids, event.ID)
				}
			}
		}
		whole, isInside := 0, false
		for i, end := range drawn.ends {
			if end <= cut {
				whole++
			} else if drawn.starts[i] < cut {
				isInside = true
			}
		}
		if delivered+string(splitter.Remainder()) != drawn.text[:cut] {
			rt.Fatalf("%q cut at %d gave %q and %q", drawn.text, cut, delivered, splitter.Remainder())
		}
		if want := []int64{1, 2, 3, 4, 5, 6}[:whole]; !slices.Equal(ids, want) {
			rt.Fatalf("%q cut at %d gave events %v, want %v", drawn.text, cut, ids, want)
		}
		isInsideMark := cut > 0 && cut < len("\ufeff") && strings.HasPrefix(drawn.text, "\ufeff")
		if splitter.HasUnfinishedEvent() != (isInside || isInsideMark) {
			rt.Fatalf("%q cut at %d: unfinished event is %v", drawn.text, cut, splitter.HasUnfinishedEvent())
		}
	})
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
