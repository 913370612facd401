// Package eventstream cuts the bytes of a server-sent event stream into whole
// events. A backend server may stop in the middle of an event; only whole ones
// may be passed on, since another server may have to go on after the last.
package eventstream

import (
	"bytes"
	"strconv"
)

// Event is one whole event with its blank line. ID is 0 where it has none.
type Event struct {
	Raw []byte
	ID  int64
}

// Splitter collects bytes and returns whole events. The zero value is empty.
type Splitter struct {
	pending []byte
	scanned int
}

// Marks of the format.
var (
	blankLine     = []byte("\n\n")
	blankLineCRLF = []byte("\r\n\r\n")
	idField       = []byte("id:")
)

// Write adds bytes that were read.
func (s *Splitter) Write(read []byte) {
	s.pending = append(s.pending, read...)
}

// Next returns the next whole event, or false until more bytes come. The event
// is valid until the next call of Write.
func (s *Splitter) Next() (Event, bool) {
	end := endOfEvent(s.pending[s.scanned:])
	if end < 0 {
		s.pending = append(s.pending[:0], s.pending[s.scanned:]...)
		s.scanned = 0
		return Event{}, false
	}
	raw := s.pending[s.scanned : s.scanned+end]
	s.scanned += end
	return Event{
		Raw: raw,
		ID:  idOf(raw),
	}, true
}

// Rest returns the bytes after the last whole event.
func (s *Splitter) Rest() []byte {
	return s.pending[s.scanned:]
}

// endOfEvent returns the length of the first whole event, or -1.
func endOfEvent(b []byte) int {
	end := bytes.Index(b, blankLine)
	if end >= 0 {
		end += len(blankLine)
	}
	endCRLF := bytes.Index(b, blankLineCRLF)
	if endCRLF >= 0 && (end < 0 || endCRLF+len(blankLineCRLF) < end) {
		end = endCRLF + len(blankLineCRLF)
	}
	return end
}

// idOf returns the number in an event's id field, or 0.
func idOf(raw []byte) int64 {
	for line := range bytes.Lines(raw) {
		after, ok := bytes.CutPrefix(line, idField)
		if !ok {
			continue
		}
		id, err := strconv.ParseInt(string(bytes.TrimSpace(after)), 10, 64)
		if err == nil {
			return id
		}
	}
	return 0
}
