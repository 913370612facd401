// Package completeness decides whether the answer of a backend server is complete.
//
// There are three kinds of evidence, and each can refute completeness. The framing of HTTP: a length, a last chunk or,
// if the answer has neither, an orderly close of its connection. The format: an event stream ends after a
// complete event. The server: the kernel of a process that crashes also closes its connections in order, so
// an answer that ends with its connection is complete only if its server goes on running.
package completeness

// Framing is how HTTP marks the end of an answer.
type Framing string

// The framings of answers. FramedByStatus has no body, by its status or the method of its request. FramedByClose has
// neither a length nor chunks, and so alone does not tell an answer that was broken off from a complete one.
const (
	FramedByStatus Framing = "status"
	FramedByLength Framing = "length"
	FramedByChunks Framing = "chunks"
	FramedByClose  Framing = "close"
)

// ServerState is what is known of a server after its answer ended.
type ServerState int

// Unknown means that the server was not checked yet; Running that it accepts connections or does not answer a connect; Down that
// it ended unexpectedly, or that nothing shows that it runs; Gone that it was leaving and accepts no connections any more: it may
// have ended its last answers in order, or have been killed in the middle of them.
const (
	Unknown ServerState = iota
	Running
	Down
	Gone
)

// End is the end of an answer that its framing marks as complete.
type End struct {
	Framing Framing
	// IsStream is set for event streams. EventCount is the number of complete events that this server sent;
	// HasUnfinishedEvent is set if a part of an event follows them.
	IsStream           bool
	EventCount         int
	HasUnfinishedEvent bool
	Server             ServerState
}

// Verdict is the decision about an end.
type Verdict string

// The verdicts. NeedsServerState means that the decision depends on the state of the server, which must be
// checked. After all others but Complete, the answer was broken off.
const (
	Complete         Verdict = "complete"
	NeedsServerState Verdict = "needs_server_state"
	EndsInsideEvent  Verdict = "ends_inside_event"
	HasNoEvents      Verdict = "has_no_events"
	ServerCrashed    Verdict = "server_crashed"
	ServerGone       Verdict = "server_gone"
)

// Decide returns the verdict about an end.
func (e End) Decide() Verdict {
	switch {
	case e.IsStream && e.HasUnfinishedEvent:
		return EndsInsideEvent
	case e.Framing != FramedByClose:
		return Complete
	case e.IsStream && e.EventCount == 0:
		return HasNoEvents
	case e.Server == Unknown:
		return NeedsServerState
	case e.Server == Down:
		return ServerCrashed
	case e.Server == Gone:
		return ServerGone
	default:
		return Complete
	}
}

// WithServer returns the end with the state of its server.
func (e End) WithServer(state ServerState) End {
	e.Server = state
	return e
}
