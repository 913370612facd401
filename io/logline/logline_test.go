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

// maxWait bounds waits for expected events; no test depends on its passing.
const maxWait = 30 * time.Second

// linesBeyondQueue is more lines than a Writer queues for a blocked output.
const linesBeyondQueue = 10_000

// blockedOutput is an output that blocks until unblocked is closed.
type blockedOutput struct {
	unblocked chan struct{}
	out       bytes.Buffer
}

// Write blocks until unblocked is closed and then stores the line.
func (g *blockedOutput) Write(line []byte) (int, error) {
	<-g.unblocked
	return g.out.Write(line)
}

// logEntry is a decoded log line.
type logEntry struct {
	Message string `json:"msg"`
	Dropped int64  `json:"dropped"`
	Error   string `json:"error"`
}

// decode returns the decoded lines of an output.
func decode(t *testing.T, out []byte) []logEntry {
	t.Helper()
	var lines []logEntry
	for line := range bytes.Lines(out) {
		var one logEntry
		qt.Assert(t, json.Unmarshal(line, &one), qt.IsNil, qt.Commentf("%s", line))
		lines = append(lines, one)
	}
	return lines
}

func TestBlockedOutputDoesNotBlockLoggingAndDropsAreReported(t *testing.T) {
	output := &blockedOutput{
		unblocked: make(chan struct{}),
	}
	writer := logline.New(output)
	log, err := logline.Logger("info", writer)
	qt.Assert(t, err, qt.IsNil)
	// If a write blocked, the test would hang here, since the output is unblocked only
	// afterwards.
	for range linesBeyondQueue {
		log.Info("line")
	}
	dropped := writer.Dropped()
	qt.Assert(t, dropped > 0, qt.IsTrue)
	close(output.unblocked)
	writer.Close(maxWait)

	var written, reported int64
	for _, line := range decode(t, output.out.Bytes()) {
		if line.Message == "line" {
			written++
			continue
		}
		qt.Check(t, line.Message, qt.Equals, "log: lines dropped")
		reported += line.Dropped
	}
	qt.Assert(t, reported, qt.Equals, dropped)
	qt.Assert(t, written+dropped, qt.Equals, int64(linesBeyondQueue))
}

func TestCloseDoesNotWaitForBlockedOutput(t *testing.T) {
	output := &blockedOutput{
		unblocked: make(chan struct{}),
	}
	writer := logline.New(output)
	_, err := writer.Write([]byte("{}\n"))
	qt.Assert(t, err, qt.IsNil)
	writer.Close(time.Millisecond)
	// The output is unblocked only after Close has returned.
	close(output.unblocked)
}

// failingOnce is an output whose first write fails.
type failingOnce struct {
	hasFailed bool
	out       bytes.Buffer
}

// Write fails once and then stores the lines.
func (f *failingOnce) Write(line []byte) (int, error) {
	if !f.hasFailed {
		f.hasFailed = true
		return 0, errors.New("no space left")
	}
	return f.out.Write(line)
}

func TestLinesOfFailedWritesAreReportedAsDropped(t *testing.T) {
	output := &failingOnce{}
	writer := logline.New(output)
	log, err := logline.Logger("info", writer)
	qt.Assert(t, err, qt.IsNil)
	log.Info("lost")
	log.Info("kept")
	writer.Close(maxWait)
	qt.Assert(t, decode(t, output.out.Bytes()), qt.DeepEquals, []logEntry{
		{
			Message: "log: lines dropped",
			Dropped: 1,
		},
		{
			Message: "kept",
		},
	})
}

func TestErrorFieldHoldsOnlyTheMessage(t *testing.T) {
	var out bytes.Buffer
	writer := logline.New(&out)
	log, err := logline.Logger("warn", writer)
	qt.Assert(t, err, qt.IsNil)
	log.Info("below the level")
	log.Warn("failed", logline.ErrorField(errors.Wrap(errors.New("cause"), "step")))
	log.Warn("well", logline.ErrorField(nil))
	writer.Close(maxWait)
	qt.Assert(t, bytes.Contains(out.Bytes(), []byte("errorVerbose")), qt.IsFalse)
	qt.Assert(t, decode(t, out.Bytes()), qt.DeepEquals, []logEntry{
		{
			Message: "failed",
			Error:   "step: cause",
		},
		{
			Message: "well",
		},
	})
	qt.Assert(t, logline.ErrorField(nil), qt.DeepEquals, zap.Skip())
}

func TestUnknownLevelIsAnError(t *testing.T) {
	_, err := logline.Logger("loud", logline.New(&bytes.Buffer{}))
	qt.Assert(t, err, qt.ErrorMatches, "read log level: .*loud.*")
}

// Guards against a panic that ended the process: a goroutine that logged during shutdown wrote
// to a closed queue. Found in a code review.
func TestWriteAfterCloseIsIgnored(t *testing.T) {
	var out bytes.Buffer
	lines := logline.New(&out)
	_, err := lines.Write([]byte("first\n"))
	qt.Assert(t, err, qt.IsNil)
	lines.Close(time.Minute)
	_, err = lines.Write([]byte("late\n"))
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, out.String(), qt.Equals, "first\n")
}
