package backend

import (
	"io"

	"github.com/pkg/errors"
)

// freeBodyBytes is the size up to which a body is buffered without a reservation, so that small answers do not depend on
// how much large ones hold. Larger bodies are read into buffers of twice the size each.
const freeBodyBytes = 64 << 10

// firstBufferBytes is the size of the first buffer of a body, unless that is known to be shorter.
const firstBufferBytes = 4 << 10

// Errors of bodies that are not buffered.
var (
	// ErrBodyTooLong reports a body beyond the limit of one answer.
	ErrBodyTooLong = errors.New("body of answer too long")
	// ErrNoMemory reports a body for which there is no memory beside other answers.
	ErrNoMemory = errors.New("no memory for body of answer")
)

// Memory is a budget of bytes.
type Memory interface {
	Reserve(bytes int64) bool
	Release(bytes int64)
}

// bodyBuffer buffers one body.
type bodyBuffer struct {
	memory   Memory
	content  []byte
	reserved int64
}

// grow makes the buffer larger, to a size in bytes.
func (b *bodyBuffer) grow(size int) error {
	next := int64(0)
	if size > freeBodyBytes {
		next = int64(size)
	}
	if !b.memory.Reserve(next) {
		return ErrNoMemory
	}
	b.content = append(make([]byte, 0, size), b.content...)
	b.memory.Release(b.reserved)
	b.reserved = next
	return nil
}

// read reads a body that is smaller than maxSize.
func (b *bodyBuffer) read(body io.Reader, maxSize int) error {
	for {
		if len(b.content) == maxSize {
			return ErrBodyTooLong
		}
		if len(b.content) == cap(b.content) {
			if err := b.grow(min(max(2*cap(b.content), firstBufferBytes), maxSize)); err != nil {
				return err
			}
		}
		n, err := body.Read(b.content[len(b.content):cap(b.content)])
		b.content = b.content[:len(b.content)+n]
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// maxBufferSize returns the size of the largest buffer that a body may need. The end of a body is found by a read, for which
// there must be room.
func (e *Exchange) maxBufferSize(limit int) (int, error) {
	body, ok := e.body.(*fixedLengthBody)
	switch {
	case !ok:
		return limit + 1, nil
	case body.remaining > limit:
		return 0, ErrBodyTooLong
	default:
		return body.remaining + 1, nil
	}
}

// ReadBody reads the whole body, which may have up to limit bytes, into memory that is reserved. It returns the bytes
// that the caller releases. The error is ErrBodyTooLong or ErrNoMemory, wrapped, if the body is not read for its
// size.
func (e *Exchange) ReadBody(limit int, memory Memory) (content []byte, reserved int64, err error) {
	buffer := bodyBuffer{
		memory: memory,
	}
	maxSize, err := e.maxBufferSize(limit)
	if err == nil {
		err = buffer.read(e, maxSize)
	}
	if err != nil {
		memory.Release(buffer.reserved)
		return nil, 0, errors.Wrap(err, "read body of answer")
	}
	return buffer.content, buffer.reserved, nil
}
