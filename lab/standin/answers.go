package standin

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"headcourse/platform/wire"
)

// handleRequest checks that the request may arrive and answers it according to the server's
// behaviour.
func (s *Server) handleRequest(w http.ResponseWriter, r *http.Request) {
	if !s.isForThisServer(w, r) {
		return
	}
	s.platform.retries[s.service].RecordArrival(r.Header.Get(wire.HeaderID))
	s.platform.recordArrival(r)
	s.arrivals.Add(1)
	s.checkArrival(r)
	crashingPart := s.platform.findCrashingPart(r)
	if crashingPart != nil {
		s.platform.recordPartArrival(*crashingPart)
	}
	s.mutex.Lock()
	behaviour := s.behaviour
	isHead := s.domain == "" || (s.state.Group != nil && s.state.Group.Rank == 0 && s.state.Group.State == "open")
	s.mutex.Unlock()
	if !isHead {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	id := r.Header.Get(wire.HeaderID)
	if behaviour == Rejecting || !s.awaitCompleteGroup(r) {
		s.addRetryAfter(w, r)
		w.Header().Set(wire.HeaderNotExecuted, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	s.platform.recordRun(s, r, id)
	defer s.beginRun()()
	if isCrashing(r) {
		s.platform.crash(s, r)
		panic(http.ErrAbortHandler)
	}
	s.currentStillness().pass(BeforeHead)
	w.Header().Set(wire.HeaderID, id)
	w.Header().Set(wire.HeaderSeal, "seal."+s.id+"."+id)
	if crashingPart != nil {
		s.crashOnPart(w, r, *crashingPart)
	}
	switch {
	case writeInvalidAnswer(w, behaviour):
	case behaviour == Failing:
		w.WriteHeader(http.StatusInternalServerError)
	case r.Header.Get(wire.HeaderModel) != "":
		s.writeStream(w, r, behaviour)
	default:
		s.writeAnswer(w, id, body, behaviour)
	}
}

// checkArrival checks that a request may arrive by what the server and the operator have announced.
func (s *Server) checkArrival(r *http.Request) {
	if s.currentStillness().hasHeldArrivals() {
		return
	}
	s.platform.checkDirectives(s, r)
	s.platform.checkEvacuation(s)
	s.checkCold()
	s.platform.checkLimit(s, r.Header.Get(headerDaemon))
}

// writeAnswer answers a request that is not streamed.
func (s *Server) writeAnswer(w http.ResponseWriter, id string, body []byte, behaviour Behaviour) {
	time.Sleep(s.slowed(processingTime))
	content := plainAnswer(id, len(body))
	if behaviour.isUnframed() {
		s.writeUnframedAnswer(w, content, behaviour)
		return
	}
	switch behaviour {
	case Truncating:
		w.Header().Set("Content-Length", strconv.Itoa(len(content)))
		// The connection ends before Content-Length bytes are written.
		_, _ = io.WriteString(w, content[:len(content)/2])
	case ExtraAnswer:
		s.writeExtraAnswer(w, content)
	default:
		if s.currentStillness().isStill(BeforeEnd) {
			s.writeHeldAnswer(w, content)
			return
		}
		_, _ = io.WriteString(w, content)
	}
}

// plainAnswer returns the answer to a request that is not streamed.
func plainAnswer(id string, bodyBytes int) string {
	return "answer to " + id + " with " + strconv.Itoa(bodyBytes) + " bytes"
}

// writeExtraAnswer writes the answer and then a second one that belongs to no request.
func (s *Server) writeExtraAnswer(w http.ResponseWriter, content string) {
	controller := http.NewResponseController(w)
	conn, buffer, err := controller.Hijack()
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	head := "HTTP/1.1 200 OK\r\n" + wire.HeaderID + ": " + w.Header().Get(wire.HeaderID) + "\r\n" + wire.HeaderSeal + ": " + w.Header().Get(wire.HeaderSeal) + "\r\n"
	_, _ = fmt.Fprintf(buffer, "%sContent-Length: %d\r\n\r\n%s", head, len(content), content)
	_, _ = fmt.Fprintf(buffer, "HTTP/1.1 200 OK\r\n%s: nobody\r\n%s: foreign\r\nContent-Length: 7\r\n\r\nforeign", wire.HeaderID, wire.HeaderSeal)
	_ = buffer.Flush()
	time.Sleep(processingTime)
}

// awaitCompleteGroup waits until all members of the server's group are present. It returns
// false after incompleteGroupTimeout or when the request is cancelled.
func (s *Server) awaitCompleteGroup(r *http.Request) bool {
	for deadline := time.Now().Add(incompleteGroupTimeout); ; {
		if s.domain == "" || s.platform.isComplete(s) {
			return true
		}
		if time.Now().After(deadline) || r.Context().Err() != nil {
			return false
		}
		time.Sleep(eventInterval)
	}
}

// writeStream writes the events of a stream that follow the last one that the caller received.
func (s *Server) writeStream(w http.ResponseWriter, r *http.Request, behaviour Behaviour) {
	events := requestedEvents(r)
	w.Header().Set("Content-Type", "text/event-stream")
	if behaviour.isUnframed() {
		s.writeUnframedStream(w, r, behaviour, events)
		return
	}
	s.writeChunkedStream(w, r, behaviour, events)
}

// requestedEvents returns the events that a request for a stream asks for.
func requestedEvents(r *http.Request) []string {
	_, maxTokens, _ := strings.Cut(r.Header.Get(wire.HeaderTokens), ",")
	tokens, _ := strconv.Atoi(maxTokens)
	count := max(1, tokens/tokensPerEvent)
	lastReceived, _ := strconv.Atoi(r.Header.Get(wire.HeaderLastEvent))
	var events []string
	for i := lastReceived + 1; i <= count; i++ {
		events = append(events, StreamEvent(r.Header.Get(wire.HeaderID), i))
	}
	return events
}

// writeChunkedStream writes events in chunks. Truncating and ChunkedTruncating servers break off inside the middle
// one.
func (s *Server) writeChunkedStream(w http.ResponseWriter, r *http.Request, behaviour Behaviour, events []string) {
	controller := http.NewResponseController(w)
	truncates := behaviour == Truncating || behaviour == ChunkedTruncating
	s.holdFirstEvent(controller)
	for i, event := range events {
		if i > 0 {
			s.currentStillness().pass(BetweenEvents)
		}
		time.Sleep(s.slowed(eventInterval))
		if !s.awaitCompleteGroup(r) || r.Context().Err() != nil {
			panic(http.ErrAbortHandler)
		}
		isCut := truncates && i == len(events)/2
		if isCut {
			event = event[:len(event)/2]
		}
		_, _ = io.WriteString(w, event)
		_ = controller.Flush()
		if isCut && behaviour == Truncating {
			panic(http.ErrAbortHandler)
		}
		if isCut {
			return
		}
	}
	s.currentStillness().pass(BeforeEnd)
}

// StreamEvent returns the text of one event, by its number, in the stream that answers a
// request.
func StreamEvent(id string, number int) string {
	return fmt.Sprintf("id: %d\ndata: piece %d of %s\n\n", number, number, id)
}
