// Package completeness decides whether the answer of a backend server is complete.
package completeness

// Framing is how HTTP marks the end of an answer.
type Framing string

// The framings of answers. Only FramedByClose, which has neither a length nor chunks, cannot tell an answer
// that was broken off from a complete one.
const (
	FramedByStatus Framing = "status"
	FramedByLength Framing = "length"
	FramedByChunks Framing = "chunks"
	FramedByClose  Framing = "close"
)
