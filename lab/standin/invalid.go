package standin

import (
	"io"
	"net/http"

	"headcourse/platform/wire"
)

// invalidAnswers are the behaviours of servers that write bytes that are no answer. A reader that takes one for an answer gets
// another body than the request's.
var invalidAnswers = map[Behaviour]func(identity string) string{
	InvalidStatus: func(identity string) string {
		return "HTTP/1.1 000 OK\r\n" + identity + "Content-Length: 4\r\n\r\nnone"
	},
	InvalidField: func(identity string) string {
		return "HTTP/1.1 200 OK\r\n" + identity + "Transfer Encoding: chunked\r\n\r\n4\r\nnone\r\n0\r\n\r\n"
	},
	InvalidTrailer: func(identity string) string {
		return "HTTP/1.1 200 OK\r\n" + identity + "Transfer-Encoding: chunked\r\n\r\n4\r\nnone\r\n0\r\na\n"
	},
	CutHead: func(identity string) string {
		return "HTTP/1.1 200 OK\r\n" + identity + "Content-Type: text/event-stream\r\n"
	},
}

// writeInvalidAnswer writes bytes that are no answer to a request and closes the connection. It returns false if the behaviour is
// another one.
func writeInvalidAnswer(w http.ResponseWriter, behaviour Behaviour) bool {
	invalid, ok := invalidAnswers[behaviour]
	if !ok {
		return false
	}
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return true
	}
	defer func() { _ = conn.Close() }()
	identity := wire.HeaderID + ": " + w.Header().Get(wire.HeaderID) + "\r\n" + wire.HeaderSeal + ": " + w.Header().Get(wire.HeaderSeal) + "\r\n"
	// A gateway that has gone on needs no answer.
	_, _ = io.WriteString(conn, invalid(identity))
	return true
}
