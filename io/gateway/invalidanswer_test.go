package gateway_test

import (
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"

	"headcourse/core/config"
)

// soundAnswer is an answer that is not a stream.
var soundAnswer = rawAnswer{
	contentType: "text/plain",
	header:      "Content-Length: 5",
	body:        "whole",
}

// checkNotPassedOn checks that a client never gets an answer that is none: its request is run by another server if it may be, and
// has an unknown outcome otherwise.
func checkNotPassedOn(t *testing.T, invalid rawAnswer) {
	t.Helper()
	sound := func(int) rawAnswer { return soundAnswer }
	for kind, want := range map[config.Kind]clientAnswer{
		config.Safe: {
			status: http.StatusOK,
			body:   soundAnswer.body,
		},
		config.Unsafe: {
			status: http.StatusBadGateway,
			body:   "bad_answer\n",
		},
	} {
		respond := firstThen(invalid, sound)
		answer := requestAnswer(t, serversView(kind, startRawServer(t, respond).address(), startRawServer(t, respond).address()))
		qt.Check(t, answer.err, qt.IsNil)
		qt.Check(t, answer.status, qt.Equals, want.status)
		qt.Check(t, answer.body, qt.Equals, want.body)
	}
	respond := firstThen(invalid, wholeStream)
	answer := requestAnswer(t, streamView(true, startRawServer(t, respond), startRawServer(t, respond)))
	qt.Check(t, answer.err, qt.IsNil)
	qt.Check(t, answer.body, qt.Equals, numberedEvents(0))
}

// Guards against answers whose status is none, such as 000, which clients got as a 200 (MIXED).
func TestAnswerWithInvalidStatusIsNotPassedOn(t *testing.T) {
	for _, status := range []string{"000 OK", "001 OK", "099 OK", "600 OK", "999 OK", "0 OK", "20 OK", "2000 OK", "+20 OK", "-20 OK", "2x0 OK", " 200 OK", "OK", "101 Switching Protocols"} {
		t.Run(status, func(t *testing.T) {
			invalid := soundAnswer
			invalid.status = status
			checkNotPassedOn(t, invalid)
			invalid.contentType = eventStreamType
			checkNotPassedOn(t, invalid)
		})
	}
}
