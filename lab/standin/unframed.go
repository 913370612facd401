package standin

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"time"
)

// isUnframed reports whether answers have neither a length nor chunks and end with their connection.
func (b Behaviour) isUnframed() bool {
	switch b {
	case Unframed, UnframedTruncating, UnframedResetting:
		return true
	default:
		return false
	}
}

// unframedAnswer is an answer without a length or chunks.
type unframedAnswer struct {
	conn   net.Conn
	buffer *bufio.ReadWriter
}

// beginUnframed takes the connection over and writes the head of an answer. The caller ends the answer with close or
// reset.
func beginUnframed(w http.ResponseWriter) (*unframedAnswer, error) {
	conn, buffer, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return nil, err
	}
	a := &unframedAnswer{
		conn:   conn,
		buffer: buffer,
	}
	_, _ = buffer.WriteString("HTTP/1.1 200 OK\r\nConnection: close\r\n")
	_ = w.Header().Write(buffer)
	a.write("\r\n")
	return a, nil
}

// write writes a part of the answer at once. It returns false if the connection is broken.
func (a *unframedAnswer) write(text string) bool {
	if _, err := io.WriteString(a.buffer, text); err != nil {
		return false
	}
	return a.buffer.Flush() == nil
}

// close closes the connection in order.
func (a *unframedAnswer) close() {
	_ = a.conn.Close()
}

// reset resets the connection.
func (a *unframedAnswer) reset() {
	if socket, ok := a.conn.(interface{ SetLinger(seconds int) error }); ok {
		// A connection that is closed already needs no reset.
		_ = socket.SetLinger(0)
	}
	_ = a.conn.Close()
}

// writeUnframedAnswer answers a request that is not streamed. A part of an answer that an orderly close ends cannot
// be told from the whole, so broken answers end with a reset.
func (s *Server) writeUnframedAnswer(w http.ResponseWriter, content string, behaviour Behaviour) {
	answer, err := beginUnframed(w)
	if err != nil {
		return
	}
	if behaviour == Unframed {
		answer.write(content)
		answer.close()
		return
	}
	answer.write(content[:len(content)/2])
	time.Sleep(processingTime)
	answer.reset()
}

// writeUnframedStream writes the events from first to last. If the server crashes meanwhile, the stream ends inside an
// event and its connection is closed in order, as a kernel does.
func (s *Server) writeUnframedStream(w http.ResponseWriter, r *http.Request, behaviour Behaviour, events []string) {
	answer, err := beginUnframed(w)
	if err != nil {
		return
	}
	crashed := s.crashSignal()
	for i, event := range events {
		select {
		case <-crashed:
			answer.write(event[:len(event)/2])
			answer.close()
			return
		case <-time.After(eventInterval):
		}
		if !s.awaitCompleteGroup(r) {
			answer.reset()
			return
		}
		isCut := i == len(events)/2
		if isCut && behaviour == UnframedTruncating {
			answer.write(event[:len(event)/2])
			break
		}
		if isCut && behaviour == UnframedResetting {
			answer.reset()
			return
		}
		if !answer.write(event) {
			break
		}
	}
	answer.close()
}

// crashSignal returns a channel that is closed when the server's current start ends.
func (s *Server) crashSignal() <-chan struct{} {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.crashed
}
