// Package logline writes JSON log lines to an output that may be slow or blocked, without
// blocking the callers that log.
//
// Lines wait in a bounded queue for a single writing goroutine. When the queue is full, lines
// are dropped and counted, and the next line written is preceded by a line with the number of
// dropped ones.
package logline

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// maxQueuedLines is the capacity of the queue: some seconds of a daemon's lines, or about 1 MB.
const maxQueuedLines = 4096

// Writer is a bounded queue in front of an output. Use New.
type Writer struct {
	out           io.Writer
	lines         chan []byte
	dropped       atomic.Int64
	reportedDrops int64
	// closing is closed to make run write the queued lines and return; done is closed when it
	// has. lines is never closed, since other goroutines may log until the process ends.
	closing chan struct{}
	done    chan struct{}
	once    sync.Once
}

// New returns a Writer to out, which it writes to from its own goroutine.
func New(out io.Writer) *Writer {
	w := &Writer{
		out:     out,
		lines:   make(chan []byte, maxQueuedLines),
		closing: make(chan struct{}),
		done:    make(chan struct{}),
	}
	go w.run()
	return w
}

// Write queues one line, or drops it if the queue is full. It never blocks.
func (w *Writer) Write(line []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Sync does nothing: lines are written when the output accepts them.
func (w *Writer) Sync() error {
	return nil
}

// Dropped returns the number of dropped lines.
func (w *Writer) Dropped() int64 {
	return w.dropped.Load()
}

// Close writes the queued lines, for at most timeout. Later lines are not written, and most of
// them are not counted as dropped.
func (w *Writer) Close(timeout time.Duration) {
	w.once.Do(func() {
		close(w.closing)
	})
	select {
	case <-w.done:
	case <-time.After(timeout):
	}
}

// run writes lines until the writer is closed, and then those still queued.
func (w *Writer) run() {
	defer close(w.done)
	for {
		select {
		case line := <-w.lines:
			w.writeLine(line)
		case <-w.closing:
			w.drainQueue()
			return
		}
	}
}

// drainQueue writes the lines that are queued now.
func (w *Writer) drainQueue() {
	for {
		select {
		case line := <-w.lines:
			w.writeLine(line)
		default:
			return
		}
	}
}

// writeLine writes one line, preceded by a line with the number of dropped lines if that has
// grown.
func (w *Writer) writeLine(line []byte) {
	if dropped := w.dropped.Load(); dropped > w.reportedDrops {
		line = append([]byte(fmt.Sprintf("{\"level\":\"warn\",\"msg\":\"log: lines dropped\",\"dropped\":%d}\n", dropped-w.reportedDrops)), line...)
		w.reportedDrops = dropped
	}
	if _, err := w.out.Write(line); err != nil {
		// A failure of the log output itself can only be counted.
		w.dropped.Add(1)
	}
}

// Logger returns a logger that writes JSON lines of a level and above to out.
func Logger(level string, out zapcore.WriteSyncer) (*zap.Logger, error) {
	minLevel, err := zapcore.ParseLevel(level)
	if err != nil {
		return nil, errors.Wrap(err, "read log level")
	}
	encoderConfig := zap.NewProductionEncoderConfig()
	encoderConfig.EncodeTime = zapcore.ISO8601TimeEncoder
	return zap.New(zapcore.NewCore(zapcore.NewJSONEncoder(encoderConfig), out, minLevel)), nil
}

// ErrorField returns a field with the message of an error. zap's own error field would add a
// stack trace to each.
func ErrorField(err error) zap.Field {
	if err == nil {
		return zap.Skip()
	}
	return zap.String("error", err.Error())
}
