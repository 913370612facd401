package backend

import (
	"bytes"
	"io"
	"net/http/httputil"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"headcourse/core/completeness"
	"headcourse/io/http1"
	"headcourse/io/tcp"
)

// asyncBodySize is the size, in bytes, from which a body is written concurrently with reading
// the answer: a server may answer before it has read a long body.
const asyncBodySize = 8 << 10

const (
	// maxInterimAnswers is the maximum number of interim (1xx) answers before an answer.
	maxInterimAnswers = 16
	// maxTrailerBytes is the maximum size of the trailers of an answer.
	maxTrailerBytes = 16 << 10
)

// writeTimeout bounds writing a request without a long body, which never waits for the server to read.
const writeTimeout = 3 * time.Second

// Exchange is one request and its answer. Only one goroutine may use it, except for Abort,
// which may be called from any.
type Exchange struct {
	client  *Client
	server  string
	address string
	conn    *conn
	body    io.Reader
	// isComplete is set when the whole answer has been read, by its framing.
	isComplete bool
	framing    completeness.Framing
	// isHead is set for HEAD requests, whose answers have no body whatever length they state.
	isHead bool
	// bodyWritten is closed when a long body has been written; nil for short bodies.
	bodyWritten chan struct{}
	writeErr    error
	once        sync.Once
	aborted     atomic.Bool
}

// Peer returns the daemon that the connection goes through; empty if it is direct.
func (e *Exchange) Peer() string {
	return e.conn.peer
}

// Send writes the request and must be called only once. The error is a *http1.Error, which
// means that part of the request may have been sent; the exchange is then aborted.
func (e *Exchange) Send(head, body []byte) error {
	e.isHead = bytes.HasPrefix(head, []byte(fasthttp.MethodHead+" "))
	err := e.write(head, body)
	if err == nil {
		return nil
	}
	e.Abort()
	return &http1.Error{
		Peer:            e.address,
		MayHaveBeenSent: true,
		Cause:           err,
	}
}

// Release returns the connection to the pool if nothing was written to it. It must not be called
// after Send.
func (e *Exchange) Release() {
	e.once.Do(func() {
		if e.conn.reusableUntil.IsZero() {
			e.client.pushIdle(e.server, e.conn, 0)
			return
		}
		e.client.addIdle(e.server, e.conn)
	})
}

// write writes the request, and long bodies in a goroutine of their own. A server that stands still has no room for
// these. It has as long to read them as to answer.
func (e *Exchange) write(head, body []byte) error {
	if err := e.conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return errors.Wrap(err, "set write deadline")
	}
	if len(body) < asyncBodySize {
		_, err := e.conn.Write(append(head, body...))
		return errors.Wrap(err, "write request")
	}
	if err := tcp.LimitUnacked(e.conn.Conn, 0); err != nil {
		return errors.Wrap(err, "lift limit of unacknowledged bytes")
	}
	if _, err := e.conn.Write(head); err != nil {
		return errors.Wrap(err, "write request head")
	}
	e.bodyWritten = make(chan struct{})
	go func() {
		defer close(e.bodyWritten)
		_, e.writeErr = e.conn.Write(body)
	}()
	return nil
}

// SetReadDeadline sets the deadline of further reads, and of a long body that is not written yet.
func (e *Exchange) SetReadDeadline(until time.Time) error {
	return errors.Wrap(e.conn.SetDeadline(until), "set deadline of exchange")
}

// ReadHead reads the head of the next answer on the connection and skips interim (1xx) answers.
func (e *Exchange) ReadHead(head *fasthttp.ResponseHeader) error {
	for interimAnswers := 0; ; interimAnswers++ {
		if err := http1.ReadHead(e.conn.reader, head); err != nil {
			return errors.Wrap(err, "read head of answer")
		}
		if head.StatusCode() >= fasthttp.StatusOK {
			break
		}
		if interimAnswers == maxInterimAnswers {
			return errors.Errorf("read head of answer: more than %d interim answers", maxInterimAnswers)
		}
	}
	e.isComplete = false
	e.framing = http1.FramingOf(head, e.isHead)
	switch e.framing {
	case completeness.FramedByStatus:
		e.body = emptyBody{}
	case completeness.FramedByLength:
		e.body = &fixedLengthBody{
			reader:    e.conn.reader,
			remaining: head.ContentLength(),
		}
	case completeness.FramedByChunks:
		e.body = &chunkedBody{
			reader:   httputil.NewChunkedReader(e.conn.reader),
			exchange: e,
		}
	default:
		e.body = e.conn.reader
	}
	return nil
}

// Read reads the body. It returns io.EOF only at the end of an answer that is complete by its framing.
func (e *Exchange) Read(target []byte) (int, error) {
	if e.isComplete {
		return 0, io.EOF
	}
	n, err := e.body.Read(target)
	if errors.Is(err, io.EOF) {
		if e.framing == completeness.FramedByClose && !e.isClosedInOrder() {
			return n, io.ErrUnexpectedEOF
		}
		e.isComplete = true
	}
	return n, err
}

// isClosedInOrder reports whether the server has closed the connection in an orderly way. A connection that was closed
// by Abort, or reset while the body was being written, may also end without an error.
func (e *Exchange) isClosedInOrder() bool {
	if e.aborted.Load() {
		return false
	}
	return e.isBodyWritten() || e.conn.peer != "" || tcp.HasFinished(e.conn.Conn)
}

// Discard reads the whole body, which may have up to limit bytes, and keeps nothing.
func (e *Exchange) Discard(limit int) error {
	n, err := io.Copy(io.Discard, io.LimitReader(e, int64(limit)+1))
	if err == nil && n > int64(limit) {
		err = ErrBodyTooLong
	}
	return errors.Wrap(err, "read body of answer")
}

// Framing returns how the end of the answer is marked. It is valid after ReadHead.
func (e *Exchange) Framing() completeness.Framing {
	return e.framing
}

// Finish returns the connection to the pool after a complete answer, for keepFor (0: the
// default), or closes it if it cannot be reused. isReusable is false if the server asked to close
// the connection or sent an answer to another request.
func (e *Exchange) Finish(isReusable bool, keepFor time.Duration) {
	e.once.Do(func() {
		if !isReusable || !e.isComplete || e.framing == completeness.FramedByClose || !e.isBodyWritten() || e.conn.reader.Buffered() > 0 {
			e.aborted.Store(true)
			_ = e.conn.Close()
			return
		}
		if err := e.resetLimits(); err != nil {
			_ = e.conn.Close()
			return
		}
		e.client.pushIdle(e.server, e.conn, keepFor)
	})
}

// resetLimits restores the limits of a connection that may be used again.
func (e *Exchange) resetLimits() error {
	if err := e.conn.SetDeadline(time.Time{}); err != nil {
		return err
	}
	if e.bodyWritten == nil {
		return nil
	}
	return tcp.LimitUnacked(e.conn.Conn, tcp.DefaultUnackedLimit)
}

// isBodyWritten reports whether the request's body has been written completely.
func (e *Exchange) isBodyWritten() bool {
	if e.bodyWritten == nil {
		return true
	}
	select {
	case <-e.bodyWritten:
		return e.writeErr == nil
	default:
		return false
	}
}

// Abort closes the connection, so that the server stops its work. It has no effect after Finish or
// Release.
func (e *Exchange) Abort() {
	e.once.Do(func() {
		e.aborted.Store(true)
		_ = e.conn.Close()
	})
}

// emptyBody is the body of an answer that never has one.
type emptyBody struct{}

// Read returns io.EOF.
func (emptyBody) Read([]byte) (int, error) {
	return 0, io.EOF
}

// fixedLengthBody is a body with a Content-Length.
type fixedLengthBody struct {
	reader    io.Reader
	remaining int
}

// Read reads up to the length. It returns io.ErrUnexpectedEOF if the connection ends earlier.
func (b *fixedLengthBody) Read(target []byte) (int, error) {
	if b.remaining == 0 {
		return 0, io.EOF
	}
	n, err := b.reader.Read(target[:min(len(target), b.remaining)])
	b.remaining -= n
	if errors.Is(err, io.EOF) && b.remaining > 0 {
		return n, io.ErrUnexpectedEOF
	}
	return n, deferError(n, err)
}

// deferError drops an error that came with bytes; the next read returns it.
func deferError(n int, err error) error {
	if n > 0 {
		return nil
	}
	return err
}

// chunkedBody is a body in chunks.
type chunkedBody struct {
	reader   io.Reader
	exchange *Exchange
	isEnded  bool
}

// Read reads chunks and, after the last one, the trailers and the empty line that ends them.
func (c *chunkedBody) Read(target []byte) (int, error) {
	if c.isEnded {
		return 0, io.EOF
	}
	n, err := c.reader.Read(target)
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	for trailerBytes := 0; ; {
		line, readErr := c.exchange.conn.reader.ReadSlice('\n')
		if readErr != nil {
			return n, errors.Wrap(io.ErrUnexpectedEOF, "read trailer")
		}
		if trailerBytes += len(line); trailerBytes > maxTrailerBytes {
			return n, errors.Errorf("read trailer: more than %d bytes", maxTrailerBytes)
		}
		isLast, err := http1.CheckTrailer(line)
		if err != nil {
			return n, errors.Wrap(err, "read trailer")
		}
		if isLast {
			break
		}
	}
	c.isEnded = true
	return n, io.EOF
}
