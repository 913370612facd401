package logline_test

import (
	"bytes"
	"encoding/json"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/pkg/errors"
	"go.uber.org/zap"

	"headcourse/io/logline"
)

// patience bounds what must come; nothing depends on its passing.
const patience = 30 * time.Second

// moreThanQueued is more lines than a writer keeps for a stuck output.
const moreThanQueued = 10_000

// gate is an output that is stuck until it is opened.
type gate struct {
	opened chan struct{}
	out    bytes.Buffer
}

// Write waits for the gate and keeps the line.
func (g *gate) Write(line []byte) (int, error) {
	<-g.opened
	return g.out.Write(line)
}

// written is a line as it comes out.
type written struct {
	Message string `json:"msg"`
	Dropped int64  `json:"dropped"`
	Error   string `json:"error"`
}

// decode returns the lines of an output.
func decode(t *testing.T, out []byte) []written {
	t.Helper()
	var lines []written
	for line := range bytes.Lines(out) {
		var one written
		qt.Assert(t, json.Unmarshal(line, &one), qt.IsNil, qt.Commentf("%s", line))
		lines = append(lines, one)
	}
	return lines
}

func TestStuckOutputHoldsNobodyUpAndDroppedLinesAreTold(t *testing.T) {
	output := &gate{
		opened: make(chan struct{}),
	}
	writer := logline.New(output)
	log, err := logline.Logger("info", writer)
	qt.Assert(t, err, qt.IsNil)
	// A write that waited would hang here, as the gate opens only afterwards.
	for range moreThanQueued {
		log.Info("line")
	}
	dropped := writer.Dropped()
	qt.Assert(t, dropped > 0, qt.IsTrue)
	close(output.opened)
	writer.Close(patience)

	var got, told int64
	for _, line := range decode(t, output.out.Bytes()) {
		if line.Message == "line" {
			got++
			continue
		}
		qt.Check(t, line.Message, qt.Equals, "log: lines dropped")
		told += line.Dropped
	}
	qt.Assert(t, told, qt.Equals, dropped)
	qt.Assert(t, got+dropped, qt.Equals, int64(moreThanQueued))
}

func TestClosingDoesNotWaitForAStuckOutput(t *testing.T) {
	output := &gate{
		opened: make(chan struct{}),
	}
	writer := logline.New(output)
	_, err := writer.Write([]byte("{}\n"))
	qt.Assert(t, err, qt.IsNil)
	writer.Close(time.Millisecond)
	// Only now may the output go on.
	close(output.opened)
}

// failing is an output that fails at its first line.
type failing struct {
	hasFailed bool
	out       bytes.Buffer
}

// Write fails once, and then keeps the line.
func (f *failing) Write(line []byte) (int, error) {
	if !f.hasFailed {
		f.hasFailed = true
		return 0, errors.New("no space left")
	}
	return f.out.Write(line)
}

func TestLinesThatTheOutputFailedAreTold(t *testing.T) {
	output := &failing{}
	writer := logline.New(output)
	log, err := logline.Logger("info", writer)
	qt.Assert(t, err, qt.IsNil)
	log.Info("lost")
	log.Info("kept")
	writer.Close(patience)
	qt.Assert(t, decode(t, output.out.Bytes()), qt.DeepEquals, []written{
		{
			Message: "log: lines dropped",
			Dropped: 1,
		},
		{
			Message: "kept",
		},
	})
}

func TestErrorsAreWrittenAsTheirTextAlone(t *testing.T) {
	var out bytes.Buffer
	writer := logline.New(&out)
	log, err := logline.Logger("warn", writer)
	qt.Assert(t, err, qt.IsNil)
	log.Info("below the level")
	log.Warn("failed", logline.Err(errors.Wrap(errors.New("cause"), "step")))
	log.Warn("well", logline.Err(nil))
	writer.Close(patience)
	qt.Assert(t, bytes.Contains(out.Bytes(), []byte("errorVerbose")), qt.IsFalse)
	qt.Assert(t, decode(t, out.Bytes()), qt.DeepEquals, []written{
		{
			Message: "failed",
			Error:   "step: cause",
		},
		{
			Message: "well",
		},
	})
	qt.Assert(t, logline.Err(nil), qt.DeepEquals, zap.Skip())
}

func TestUnknownLevelIsRefused(t *testing.T) {
	_, err := logline.Logger("loud", logline.New(&bytes.Buffer{}))
	qt.Assert(t, err, qt.ErrorMatches, "read log level: .*loud.*")
}

// Found by reading: whoever logged while the daemon ended wrote to a closed
// queue, which ended the process with a panic.
func TestLogAfterCloseDoesNothing(t *testing.T) {
	var out bytes.Buffer
	lines := logline.New(&out)
	_, err := lines.Write([]byte("first\n"))
	qt.Assert(t, err, qt.IsNil)
	lines.Close(time.Minute)
	_, err = lines.Write([]byte("late\n"))
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, out.String(), qt.Equals, "first\n")
}
