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

// handleRequest runs a request.
func (s *Server) handleRequest(w http.ResponseWriter, r *http.Request) {
	if !s.isExpected(w, r) {
		return
	}
	s.platform.checkDirectives(s, r)
	s.platform.checkEvacuated(s)
	s.checkCold()
	s.platform.checkLimit(s, r.Header.Get(headerDaemon))
	s.mutex.Lock()
	mood := s.mood
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
	if mood == Shedding || !s.waitWhole(r) {
		s.askForPause(w, r)
		w.Header().Set(wire.HeaderNotExecuted, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	s.platform.noteRun(s, r, id)
	if isCrashing(r) {
		s.platform.crash(s, r)
		panic(http.ErrAbortHandler)
	}
	w.Header().Set(wire.HeaderID, id)
	w.Header().Set(wire.HeaderSeal, "seal."+s.id+"."+id)
	switch {
	case mood == Failing:
		w.WriteHeader(http.StatusInternalServerError)
	case r.Header.Get(wire.HeaderModel) != "":
		s.stream(w, r, mood)
	default:
		s.answerWhole(w, id, body, mood)
	}
}

// answerWhole answers a plain request.
func (s *Server) answerWhole(w http.ResponseWriter, id string, body []byte, mood Mood) {
	time.Sleep(workTime)
	content := "answer to " + id + " with " + strconv.Itoa(len(body)) + " bytes"
	switch mood {
	case Cutting:
		w.Header().Set("Content-Length", strconv.Itoa(len(content)))
		// The connection ends before the length is reached.
		_, _ = io.WriteString(w, content[:len(content)/2])
	case Extra:
		s.answerTwice(w, content)
	default:
		_, _ = io.WriteString(w, content)
	}
}

// answerTwice sends the answer, and then one to a request that nobody sent.
func (s *Server) answerTwice(w http.ResponseWriter, content string) {
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
	time.Sleep(workTime)
}

// waitWhole waits while the group lacks a member, and returns false when it is
// broken or the caller has gone.
func (s *Server) waitWhole(r *http.Request) bool {
	for end := time.Now().Add(stallTime); ; {
		if s.domain == "" || s.platform.isWhole(s) {
			return true
		}
		if time.Now().After(end) || r.Context().Err() != nil {
			return false
		}
		time.Sleep(eventTime)
	}
}

// stream answers event by event, after the last one that the caller has.
func (s *Server) stream(w http.ResponseWriter, r *http.Request, mood Mood) {
	_, most, _ := strings.Cut(r.Header.Get(wire.HeaderTokens), ",")
	tokens, _ := strconv.Atoi(most)
	count := max(1, tokens/tokensPerEvent)
	last, _ := strconv.Atoi(r.Header.Get(wire.HeaderLastEvent))
	w.Header().Set("Content-Type", "text/event-stream")
	controller := http.NewResponseController(w)
	for i := last + 1; i <= count; i++ {
		time.Sleep(eventTime)
		if !s.waitWhole(r) || r.Context().Err() != nil {
			panic(http.ErrAbortHandler)
		}
		event := Event(r.Header.Get(wire.HeaderID), i)
		if mood == Cutting && i == count/2 {
			_, _ = io.WriteString(w, event[:len(event)/2])
			_ = controller.Flush()
			panic(http.ErrAbortHandler)
		}
		_, _ = io.WriteString(w, event)
		_ = controller.Flush()
	}
}

// Event returns the event of a number in the stream that answers a request.
func Event(id string, number int) string {
	return fmt.Sprintf("id: %d\ndata: piece %d of %s\n\n", number, number, id)
}
