// Package eventstream splits the bytes of a server-sent event stream into complete
// events. A backend server may fail in the middle of an event. Only complete events
// may be forwarded, since another server may have to resume after the last one.
package eventstream

import (
	"bytes"
	"strconv"
)

// Event is one complete event, with the blank line that ends it. ID is 0 if it has none.
type Event struct {
	Raw []byte
	ID  int64
}

// Splitter buffers bytes and returns complete events. The zero value is empty.
type Splitter struct {
	pending []byte
	offset  int
}

// Delimiters and fields of the event stream format.
var (
	blankLine     = []byte("\n\n")
	blankLineCRLF = []byte("\r\n\r\n")
	idField       = []byte("id:")
)

// Write appends data to the buffer.
func (s *Splitter) Write(data []byte) {
	s.pending = append(s.pending, data...)
}

// Next returns the next complete event, or false if the buffer has none. The event
// is valid until the next call of Next or Write.
func (s *Splitter) Next() (Event, bool) {
	end := eventLength(s.pending[s.offset:])
	if end < 0 {
		s.pending = append(s.pending[:0], s.pending[s.offset:]...)
		s.offset = 0
		return Event{}, false
	}
	raw := s.pending[s.offset : s.offset+end]
	s.offset += end
	return Event{
		Raw: raw,
		ID:  parseID(raw),
	}, true
}

// Remainder returns the bytes after the last event that Next returned.
func (s *Splitter) Remainder() []byte {
	return s.pending[s.offset:]
}

// eventLength returns the length of the first complete event, or -1 if there is none.
func eventLength(data []byte) int {
	end := bytes.Index(data, blankLine)
	if end >= 0 {
		end += len(blankLine)
	}
	endCRLF := bytes.Index(data, blankLineCRLF)
	if endCRLF >= 0 && (end < 0 || endCRLF+len(blankLineCRLF) < end) {
		end = endCRLF + len(blankLineCRLF)
	}
	return end
}

// parseID returns the number in the id field of an event, or 0 if there is none.
func parseID(raw []byte) int64 {
	for line := range bytes.Lines(raw) {
		value, ok := bytes.CutPrefix(line, idField)
		if !ok {
			continue
		}
		id, err := strconv.ParseInt(string(bytes.TrimSpace(value)), 10, 64)
		if err == nil {
			return id
		}
	}
	return 0
}
