package gateway_test

import (
	"io"
	"net/http"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"headcourse/core/config"
	"headcourse/platform/wire"
)

// soundAnswer is an answer that is not a stream.
var soundAnswer = rawAnswer{
	contentType: "text/plain",
	header:      "Content-Length: 5",
	body:        "whole",
}

// checkNotPassedOn checks that a client never gets an answer that is none.
func checkNotPassedOn(t *testing.T, invalid rawAnswer) {
	t.Helper()
	checkReplaced(t, invalid, "bad_answer")
}

// checkReplaced checks that a request is run by another server in place of one with an invalid answer if it may be, and fails with
// an unknown outcome and a reason otherwise.
func checkReplaced(t *testing.T, invalid rawAnswer, reason string) {
	t.Helper()
	sound := func(int) rawAnswer { return soundAnswer }
	for kind, want := range map[config.Kind]clientAnswer{
		config.Safe: {
			status: http.StatusOK,
			body:   soundAnswer.body,
		},
		config.Unsafe: {
			status: http.StatusBadGateway,
			body:   reason + "\n",
		},
	} {
		respond := firstThen(invalid, sound)
		first, second := startRawServer(t, respond), startRawServer(t, respond)
		answer := requestAnswer(t, serversView(kind, first.address(), second.address()))
		qt.Check(t, answer.err, qt.IsNil)
		qt.Check(t, answer.status, qt.Equals, want.status)
		qt.Check(t, answer.body, qt.Equals, want.body)
		if kind == config.Unsafe {
			qt.Check(t, first.requests.Load()+second.requests.Load(), qt.Equals, int64(1))
		}
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

// invalidFields are lines that are no header fields.
var invalidFields = []string{
	"X Odd: a", "X-Odd : a", "Content-Length : 3", "Content Length: 3", "Transfer Encoding: chunked", " Content-Length: 3", "\tX-Odd: a",
	"X\x01Odd: a", "X\x00: a", "X\tOdd: a", "X\x7f: a", "X\rOdd: a", "X\x80: a", "X(Odd): a", ": a", "X-Odd",
	"X-Odd: a\x00", "X-Odd: a\x01b", "X-Odd: a\rb", "X-Odd: a\x7f", "X-Odd: a\nX-Other: b",
}

// Guards against answers in whose heads the name of a field holds a blank or a control byte, which clients got with that line
// passed on, or with a body that ended elsewhere (MIXED).
func TestAnswerWithInvalidFieldIsNotPassedOn(t *testing.T) {
	for _, field := range invalidFields {
		t.Run(field, func(t *testing.T) {
			invalid := soundAnswer
			invalid.header += "\r\n" + field
			checkNotPassedOn(t, invalid)
			// The first field of the head, without a length.
			invalid = rawAnswer{
				status: "200 OK\r\n" + field,
				body:   inChunks("whole"),
			}
			checkNotPassedOn(t, invalid)
			invalid.contentType = eventStreamType
			invalid.body = inChunks(numberedEvents(0))
			checkNotPassedOn(t, invalid)
		})
	}
}

// Guards against interim and stale answers, which precede an answer, that are none.
func TestInvalidAnswerBeforeAnswerIsNotSkipped(t *testing.T) {
	for _, preceding := range []string{
		"HTTP/1.1 103 Early Hints\r\nX Odd: a\r\n\r\n",
		"HTTP/1.1 099 Odd\r\n\r\n",
		"HTTP/1.1 000 OK\r\n" + wire.HeaderID + ": former\r\nContent-Length: 5\r\n\r\nother",
		"HTTP/1.1 200 OK\r\n" + wire.HeaderID + ": former\r\nContent-Length : 5\r\n\r\nother",
	} {
		t.Run(preceding, func(t *testing.T) {
			invalid := soundAnswer
			invalid.precedingAnswer = preceding
			checkNotPassedOn(t, invalid)
		})
	}
}

// Guards against heads that a reader takes to end where they don't: at a bare line feed, or with chunks that HTTP/1.0 has not.
func TestHeadWithAmbiguousEndIsNotPassedOn(t *testing.T) {
	ambiguous := soundAnswer
	ambiguous.header = "Content-Length: 5\r\n\nwh\r\n\r\nle\r\nX-Odd: a"
	checkNotPassedOn(t, ambiguous)
	checkNotPassedOn(t, rawAnswer{
		version: "HTTP/1.0",
		header:  "Transfer-Encoding: chunked",
		body:    inChunks("whole"),
	})
}

// Guards against bytes after the last chunk that are taken for the end of an answer, or passed over, although they are none (MIXED).
func TestAnswerWithInvalidTrailerIsNotPassedOn(t *testing.T) {
	for _, trailer := range []string{"a\n", "\n", "X Odd: a\r\n\r\n", "X-Odd\r\n\r\n", "X\x01: a\r\n\r\n", "HTTP/1.1 200 OK\r\n\r\n"} {
		t.Run(trailer, func(t *testing.T) {
			invalid := chunkedAnswer("whole")
			invalid.contentType = "text/plain"
			invalid.body = "5\r\nwhole\r\n0\r\n" + trailer
			checkNotPassedOn(t, invalid)
		})
	}
	// A stream that has begun is resumed, or breaks off.
	invalid := chunkedAnswer("")
	invalid.body = strings.TrimSuffix(inChunks("id: 1\ndata: 1\n\n"), "\r\n") + "a\n"
	respond := firstThen(invalid, wholeStream)
	answer := requestAnswer(t, streamView(true, startRawServer(t, respond), startRawServer(t, respond)))
	qt.Check(t, answer.err, qt.IsNil)
	qt.Check(t, answer.body, qt.Equals, numberedEvents(0))
	respond = firstThen(invalid, wholeStream)
	answer = requestAnswer(t, streamView(false, startRawServer(t, respond), startRawServer(t, respond)))
	qt.Check(t, answer.err, qt.ErrorIs, io.ErrUnexpectedEOF)
}

// Guards against a server that stops in the middle of the head of its answer, after which clients get a 200 with an empty or short
// body that is framed as whole (MIXED, ORDER).
func TestCutHeadIsNotPassedOn(t *testing.T) {
	const (
		reason = "connection_broken"
		// maxHeadBytes is more than the heads have; longer cuts leave out the last byte.
		maxHeadBytes = 200
	)
	for name, cut := range map[string]rawAnswer{
		"length": soundAnswer,
		"chunks": chunkedAnswer("whole"),
		"close": {
			contentType: eventStreamType,
			body:        numberedEvents(0),
		},
		"after an interim answer": {
			precedingAnswer: interimAnswer,
			header:          "Content-Length: 5",
			body:            "whole",
		},
		"after a stale answer": {
			precedingAnswer: staleAnswer,
			header:          "Content-Length: 5",
			body:            "whole",
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			// Each cut is played at the reader of heads; here a few show what becomes of the request.
			const step = 29
			for cut.headBytes = 1; cut.headBytes < maxHeadBytes; cut.headBytes += step {
				cut.resets = cut.headBytes%2 == 0
				checkReplaced(t, cut, reason)
			}
		})
	}
}

// Guards against an operator who cannot see which server writes bytes that are no answer.
func TestInvalidAnswerIsLoggedWithItsLine(t *testing.T) {
	invalid := soundAnswer
	invalid.status = "000 OK"
	options := newOptions(newSource(serversView(config.Unsafe, startRawServer(t, func(int) rawAnswer { return invalid }).address())))
	core, lines := observer.New(zap.WarnLevel)
	options.Log = zap.New(core)
	qt.Check(t, readAnswer(t, startGateway(t, options).Address(), func() {}).status, qt.Equals, http.StatusBadGateway)
	logged := lines.FilterMessage("servers: bytes that are no answer").All()
	qt.Assert(t, logged, qt.HasLen, 1)
	fields := logged[0].ContextMap()
	qt.Check(t, fields["server"], qt.Equals, "i-0")
	qt.Check(t, fields["error"], qt.Contains, "HTTP/1.1 000 OK")
	qt.Check(t, metrics.GetOrRegisterCounter("answers_invalid", options.Registry).Count(), qt.Equals, int64(1))
}
