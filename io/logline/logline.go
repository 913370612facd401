// Package logline writes JSON log lines to an output that may be slow or stuck,
// without ever holding up whoever logs.
//
// Lines wait in a bounded queue for one goroutine that writes them. When the
// queue is full, lines are dropped and counted, and the next line that gets
// through is preceded by one that tells how many were.
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

// queueLines is how many lines may wait: some seconds of a daemon's lines, or
// about a megabyte.
const queueLines = 4096

// Writer is a bounded queue before an output. Use New.
type Writer struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Int64
	told    int64
	// closing tells run to write what is queued and end; done that it has. lines
	// is never closed: others may log until the process ends.
	closing chan struct{}
	done    chan struct{}
	once    sync.Once
}

// New returns a writer to out, which it writes to from a goroutine of its own.
func New(out io.Writer) *Writer {
	w := &Writer{
		out:     out,
		lines:   make(chan []byte, queueLines),
		closing: make(chan struct{}),
		done:    make(chan struct{}),
	}
	go w.run()
	return w
}

// Write queues one line, or drops it when the queue is full. It never waits.
func (w *Writer) Write(line []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Sync does nothing: lines are written as soon as the output takes them.
func (w *Writer) Sync() error {
	return nil
}

// Dropped returns how many lines were dropped.
func (w *Writer) Dropped() int64 {
	return w.dropped.Load()
}

// Close writes what is queued, for at most timeout. Lines that come later are
// dropped.
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
			w.writeOne(line)
		case <-w.closing:
			w.writeRest()
			return
		}
	}
}

// writeRest writes the lines that are queued now.
func (w *Writer) writeRest() {
	for {
		select {
		case line := <-w.lines:
			w.writeOne(line)
		default:
			return
		}
	}
}

// writeOne writes one line, after one that tells how many were dropped.
func (w *Writer) writeOne(line []byte) {
	if dropped := w.dropped.Load(); dropped > w.told {
		line = append([]byte(fmt.Sprintf("{\"level\":\"warn\",\"msg\":\"log: lines dropped\",\"dropped\":%d}\n", dropped-w.told)), line...)
		w.told = dropped
	}
	if _, err := w.out.Write(line); err != nil {
		// There is nowhere to tell it but the counter.
		w.dropped.Add(1)
	}
}

// Logger returns a logger of JSON lines with snake_case fields.
func Logger(level string, out zapcore.WriteSyncer) (*zap.Logger, error) {
	parsed, err := zapcore.ParseLevel(level)
	if err != nil {
		return nil, errors.Wrap(err, "read log level")
	}
	encoder := zap.NewProductionEncoderConfig()
	encoder.EncodeTime = zapcore.ISO8601TimeEncoder
	return zap.New(zapcore.NewCore(zapcore.NewJSONEncoder(encoder), out, parsed)), nil
}

// Err returns an error as a field: its text alone, since the library's field
// adds a stack for each.
func Err(err error) zap.Field {
	if err == nil {
		return zap.Skip()
	}
	return zap.String("error", err.Error())
}
