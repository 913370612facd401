package backend

import (
	"io"
	"net/http/httputil"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"headcourse/io/http1"
)

// longBody is the size from which a body is written beside reading the answer:
// a server may answer before it has read a long one.
const longBody = 8 << 10

// writeTime bounds writing a request to a peer that does not read.
const writeTime = 3 * time.Second

// Exchange is one request and its answer. Its methods are for one goroutine,
// but Abort may be called from any.
type Exchange struct {
	client  *Client
	server  string
	address string
	conn    *conn
	body    io.Reader
	// isWhole tells that the whole answer was read; endsWithConn that the
	// answer's end is the end of its connection.
	isWhole      bool
	endsWithConn bool
	// writing is open while a long body is being written.
	writing  chan struct{}
	writeErr error
	once     sync.Once
	aborted  atomic.Bool
}

// Send writes the request, which must be done once. The error is a *http1.Error: some of the
// request may have been sent. The exchange has then been broken off.
func (e *Exchange) Send(head, body []byte) error {
	err := e.write(head, body)
	if err == nil {
		return nil
	}
	e.Abort()
	return &http1.Error{
		Peer:  e.address,
		Sent:  true,
		Cause: err,
	}
}

// Release gives back the connection of an exchange for which nothing was written.
func (e *Exchange) Release() {
	e.once.Do(func() {
		if e.conn.goodUntil.IsZero() {
			e.client.keep(e.server, e.conn, 0)
			return
		}
		e.client.putBack(e.server, e.conn)
	})
}

// write writes the request, long bodies in a goroutine of their own.
func (e *Exchange) write(head, body []byte) error {
	if err := e.conn.SetWriteDeadline(time.Now().Add(writeTime)); err != nil {
		return errors.Wrap(err, "set write deadline")
	}
	if len(body) < longBody {
		_, err := e.conn.Write(append(head, body...))
		return errors.Wrap(err, "write request")
	}
	if _, err := e.conn.Write(head); err != nil {
		return errors.Wrap(err, "write request head")
	}
	e.writing = make(chan struct{})
	go func() {
		defer close(e.writing)
		_, e.writeErr = e.conn.Write(body)
	}()
	return nil
}

// SetReadDeadline bounds the next reads.
func (e *Exchange) SetReadDeadline(until time.Time) error {
	return errors.Wrap(e.conn.SetReadDeadline(until), "set read deadline")
}

// ReadHead reads the head of the next answer on the connection, without
// interim ones.
func (e *Exchange) ReadHead(head *fasthttp.ResponseHeader) error {
	for {
		if err := head.Read(e.conn.reader); err != nil {
			return errors.Wrap(err, "read head of answer")
		}
		if status := head.StatusCode(); status < 100 || status >= 200 {
			break
		}
	}
	e.isWhole = false
	switch length := head.ContentLength(); {
	case hasNoBody(head.StatusCode()):
		e.body = emptyBody{}
	case length >= 0:
		e.body = &sizedBody{
			reader: e.conn.reader,
			left:   length,
		}
	case length == -1:
		e.body = &chunkedBody{
			reader:   httputil.NewChunkedReader(e.conn.reader),
			exchange: e,
		}
	default:
		e.endsWithConn = true
		e.body = e.conn.reader
	}
	return nil
}

// hasNoBody tells whether answers of a status never have a body.
func hasNoBody(status int) bool {
	return status == fasthttp.StatusNoContent || status == fasthttp.StatusNotModified
}

// Read reads the body. It returns io.EOF only at the end of a whole answer.
func (e *Exchange) Read(target []byte) (int, error) {
	if e.isWhole {
		return 0, io.EOF
	}
	n, err := e.body.Read(target)
	if errors.Is(err, io.EOF) {
		// A connection that this side closed also ends without an error.
		if e.endsWithConn && e.aborted.Load() {
			return n, io.ErrUnexpectedEOF
		}
		e.isWhole = true
	}
	return n, err
}

// ReadAll reads the whole body, up to limit bytes.
func (e *Exchange) ReadAll(limit int) ([]byte, error) {
	content, err := io.ReadAll(io.LimitReader(e, int64(limit)+1))
	if err != nil {
		return nil, errors.Wrap(err, "read body of answer")
	}
	if len(content) > limit {
		return nil, errors.Errorf("read body of answer: more than %d bytes", limit)
	}
	return content, nil
}

// EndsWithConnection tells whether the end of the answer is only that of its connection: it
// has neither a length nor chunks.
func (e *Exchange) EndsWithConnection() bool {
	return e.endsWithConn
}

// Finish gives the connection back after a whole answer, to be kept for
// keepFor (0: as usual); mayKeep is false where the server asked to close, or
// an answer was out of place.
func (e *Exchange) Finish(mayKeep bool, keepFor time.Duration) {
	e.once.Do(func() {
		if !mayKeep || !e.isWhole || e.endsWithConn || !e.isWritten() || e.conn.reader.Buffered() > 0 {
			e.aborted.Store(true)
			_ = e.conn.Close()
			return
		}
		if err := e.conn.SetDeadline(time.Time{}); err != nil {
			_ = e.conn.Close()
			return
		}
		e.client.keep(e.server, e.conn, keepFor)
	})
}

// isWritten tells whether the request's body has been written whole.
func (e *Exchange) isWritten() bool {
	if e.writing == nil {
		return true
	}
	select {
	case <-e.writing:
		return e.writeErr == nil
	default:
		return false
	}
}

// Abort closes the connection, so that the server stops its work.
func (e *Exchange) Abort() {
	e.once.Do(func() {
		e.aborted.Store(true)
		_ = e.conn.Close()
	})
}

// emptyBody is the body of an answer that never has one.
type emptyBody struct{}

// Read returns the end.
func (emptyBody) Read([]byte) (int, error) {
	return 0, io.EOF
}

// sizedBody is a body whose length was told.
type sizedBody struct {
	reader io.Reader
	left   int
}

// Read reads up to the length; a connection that ends earlier is an error.
func (s *sizedBody) Read(target []byte) (int, error) {
	if s.left == 0 {
		return 0, io.EOF
	}
	n, err := s.reader.Read(target[:min(len(target), s.left)])
	s.left -= n
	if errors.Is(err, io.EOF) && s.left > 0 {
		return n, io.ErrUnexpectedEOF
	}
	return n, nilIfData(n, err)
}

// nilIfData drops an error that came with bytes; the next read returns it.
func nilIfData(n int, err error) error {
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

// Read reads chunks; after the last one it reads the line that ends trailers.
func (c *chunkedBody) Read(target []byte) (int, error) {
	if c.isEnded {
		return 0, io.EOF
	}
	n, err := c.reader.Read(target)
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	for {
		line, readErr := c.exchange.conn.reader.ReadSlice('\n')
		if readErr != nil {
			return n, errors.Wrap(io.ErrUnexpectedEOF, "read trailer")
		}
		if len(line) <= len("\r\n") {
			break
		}
	}
	c.isEnded = true
	return n, io.EOF
}
