// Package eventstream splits the bytes of a server-sent event stream into complete
// events. A backend server may fail in the middle of an event. Only complete events
// may be forwarded, since another server may have to resume after the last one.
//
// The format is that of WHATWG HTML, "Server-sent events": lines end with CR, LF or CRLF, a blank line ends an
// event, and what follows the last blank line is no event.
package eventstream

import (
	"bytes"
	"strconv"
)

// MaxEventBytes is the maximum size of one event, which bounds what a Splitter holds.
const MaxEventBytes = 1 << 20

// Event is one complete event, with the blank line that ends it, and the blank lines and comments before it.
type Event struct {
	Raw []byte
	// ID is 0 if the event has none.
	ID int64
	// IsComment is set if Raw has no field, so that clients dispatch nothing.
	IsComment bool
}

// Splitter buffers bytes and returns complete events. The zero value is empty.
type Splitter struct {
	pending []byte
	// offset is where the first event that was not returned yet begins; scanned is where its next line begins.
	offset  int
	scanned int
	// hasLine is set after the first line of the stream, which may begin with a byte order mark.
	hasLine bool
	// endsWithCR is set if the buffer ended right after a CR, so that a LF that follows belongs to the same line end.
	endsWithCR bool
	// hasFields and id are those of the event that is being scanned.
	hasFields bool
	id        int64
}

// The field that holds the ID, and the byte order mark that a stream may begin with.
var (
	idField       = []byte("id:")
	byteOrderMark = []byte("\ufeff")
)

// Write appends data to the buffer.
func (s *Splitter) Write(data []byte) {
	s.pending = append(s.pending, data...)
}

// Next returns the next complete event, or false if the buffer has none. The event
// is valid until the next call of Next or Write.
func (s *Splitter) Next() (Event, bool) {
	for {
		line, ok := s.nextLine()
		if !ok {
			s.compact()
			return Event{}, false
		}
		if len(line) == 0 {
			return s.takeEvent(), true
		}
		s.readField(line)
	}
}

// nextLine scans the next line and returns it without its end, or false if it is not complete.
func (s *Splitter) nextLine() (line []byte, ok bool) {
	rest := s.pending[s.scanned:]
	if s.endsWithCR && len(rest) > 0 {
		s.endsWithCR = false
		if rest[0] == '\n' {
			s.scanned++
			rest = rest[1:]
		}
	}
	end := bytes.IndexAny(rest, "\r\n")
	if end < 0 {
		return nil, false
	}
	size := end + 1
	if rest[end] == '\r' {
		s.endsWithCR = size == len(rest)
		if !s.endsWithCR && rest[size] == '\n' {
			size++
		}
	}
	s.scanned += size
	return s.withoutMark(rest[:end]), true
}

// withoutMark returns a line without the byte order mark, if it is the first line of the stream.
func (s *Splitter) withoutMark(line []byte) []byte {
	if s.hasLine {
		return line
	}
	s.hasLine = true
	return bytes.TrimPrefix(line, byteOrderMark)
}

// readField reads one line of an event. Of several IDs, the last one counts.
func (s *Splitter) readField(line []byte) {
	if line[0] == ':' {
		return
	}
	s.hasFields = true
	value, ok := bytes.CutPrefix(line, idField)
	if !ok {
		return
	}
	id, err := strconv.ParseInt(string(bytes.TrimSpace(value)), 10, 64)
	if err == nil && id > 0 {
		s.id = id
	}
}

// takeEvent returns the event that ends where the buffer has been scanned to.
func (s *Splitter) takeEvent() Event {
	event := Event{
		Raw:       s.pending[s.offset:s.scanned],
		ID:        s.id,
		IsComment: !s.hasFields,
	}
	s.offset = s.scanned
	s.hasFields = false
	s.id = 0
	return event
}

// compact removes the events that were returned from the buffer.
func (s *Splitter) compact() {
	s.pending = append(s.pending[:0], s.pending[s.offset:]...)
	s.scanned -= s.offset
	s.offset = 0
}

// Remainder returns the bytes after the last event that Next returned.
func (s *Splitter) Remainder() []byte {
	return s.pending[s.offset:]
}

// IsEventTooLong reports whether the next event exceeds MaxEventBytes, so that the stream must not be read
// further. Next must have returned all events before.
func (s *Splitter) IsEventTooLong() bool {
	return len(s.Remainder()) > MaxEventBytes
}

// HasUnfinishedEvent reports whether the remainder is a part of an event: it has a field or the start of one, whereas
// a complete stream may end with comments and blank lines. Next must have returned all events before.
func (s *Splitter) HasUnfinishedEvent() bool {
	lastLine := s.pending[s.scanned:]
	if !s.hasLine {
		lastLine = bytes.TrimPrefix(lastLine, byteOrderMark)
	}
	return s.hasFields || (len(lastLine) > 0 && lastLine[0] != ':')
}
