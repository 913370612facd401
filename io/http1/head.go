package http1

import (
	"bufio"
	"bytes"
	"io"
	"strconv"
	"strings"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
	"golang.org/x/net/http/httpguts"
)

// ErrInvalidHead reports bytes that are not the head of an answer, or a trailer (RFC 9112, sections 4, 5 and 7.1.2).
var ErrInvalidHead = errors.New("invalid head of answer")

// Bounds of statuses (RFC 9110, section 15).
const (
	minStatus      = 100
	minFinalStatus = 200
	maxStatus      = 599
	statusDigits   = 3
)

// versionPrefix begins a status line; a digit follows.
const versionPrefix = "HTTP/1."

// maxLoggedBytes bounds the part of a line that an error shows.
const maxLoggedBytes = 80

// ReadHead reads the head of an answer. fasthttp accepts more than the standard allows, and reads what it does not know as
// something else, so that the bytes are checked first. The error is io.EOF if the connection ends before the first byte,
// io.ErrUnexpectedEOF if it ends inside the head, and ErrInvalidHead, wrapped, if the bytes are not a head or too many.
func ReadHead(reader *bufio.Reader, head *fasthttp.ResponseHeader) error {
	if _, err := peekHead(reader); err != nil {
		return err
	}
	return head.Read(reader)
}

// checkedHead is a head that is buffered whole.
type checkedHead struct {
	// length is its size in bytes, with empty lines before it.
	length   int
	status   int
	isHTTP10 bool
	// isBegun is set once the status line has been checked, isComplete once the empty line after the fields has.
	isBegun    bool
	isComplete bool
}

// peekHead reads a head into the buffer of a reader and checks it. Its errors are those of ReadHead.
func peekHead(reader *bufio.Reader) (checkedHead, error) {
	var head checkedHead
	for size := 1; ; size = reader.Buffered() + 1 {
		_, readErr := reader.Peek(size)
		buffered, _ := reader.Peek(reader.Buffered())
		if err := head.check(buffered); err != nil || head.isComplete {
			return head, err
		}
		switch {
		case readErr == nil:
		case errors.Is(readErr, bufio.ErrBufferFull):
			return head, errors.Wrapf(ErrInvalidHead, "more than %d bytes", reader.Size())
		case errors.Is(readErr, io.EOF) && len(buffered) > 0:
			return head, io.ErrUnexpectedEOF
		default:
			return head, readErr
		}
	}
}

// check checks the lines that have arrived since the last call.
func (h *checkedHead) check(buffered []byte) error {
	for !h.isComplete {
		line, _, isWhole := bytes.Cut(buffered[h.length:], []byte("\n"))
		if !isWhole {
			return nil
		}
		h.length += len(line) + 1
		content, err := withoutEnd(line)
		if err != nil {
			return err
		}
		if err = h.checkLine(content); err != nil {
			return err
		}
	}
	return nil
}

// withoutEnd returns a line without the carriage return that must end it before its line feed.
func withoutEnd(line []byte) ([]byte, error) {
	content, isEnded := bytes.CutSuffix(line, []byte("\r"))
	if !isEnded {
		return nil, invalidLine("ends without carriage return", line)
	}
	return content, nil
}

// checkLine checks a line without its end. Empty lines before a head are skipped, as what a former answer may have left.
func (h *checkedHead) checkLine(line []byte) error {
	switch {
	case !h.isBegun && len(line) == 0:
		return nil
	case !h.isBegun:
		h.isBegun = true
		return h.checkStatusLine(line)
	case len(line) == 0:
		h.isComplete = true
		return nil
	default:
		return h.checkField(line)
	}
}

// checkField checks a header field.
func (h *checkedHead) checkField(line []byte) error {
	name, err := fieldName(line)
	if err != nil {
		return err
	}
	if h.isHTTP10 && strings.EqualFold(name, fasthttp.HeaderTransferEncoding) {
		return invalidLine("chunks in HTTP/1.0", line)
	}
	return nil
}

// fieldName returns the name of a field: a token, with a colon right after it and a value without control characters. A line
// that begins with white space would continue the field before it; what sends answers to a gateway must not fold
// lines (RFC 9112, section 5.2).
func fieldName(line []byte) (string, error) {
	name, value, hasColon := bytes.Cut(line, []byte(":"))
	if !hasColon || !httpguts.ValidHeaderFieldName(string(name)) {
		return "", invalidLine("no name of a field", line)
	}
	if !httpguts.ValidHeaderFieldValue(string(value)) {
		return "", invalidLine("no value of a field", line)
	}
	return string(name), nil
}

// CheckTrailer checks a line after the last chunk of an answer, with its line feed. It reports whether that is the empty line
// that ends the answer, and returns ErrInvalidHead, wrapped, if it is neither that nor a field.
func CheckTrailer(line []byte) (isLast bool, err error) {
	content, err := withoutEnd(bytes.TrimSuffix(line, []byte("\n")))
	if err != nil || len(content) == 0 {
		return err == nil, err
	}
	_, err = fieldName(content)
	return false, err
}

// checkStatusLine checks the first line: a version of HTTP/1, a status, and perhaps a reason.
func (h *checkedHead) checkStatusLine(line []byte) error {
	version, rest, _ := bytes.Cut(line, []byte(" "))
	minor, isHTTP1 := bytes.CutPrefix(version, []byte(versionPrefix))
	if !isHTTP1 || len(minor) != 1 || minor[0] < '0' || minor[0] > '9' {
		return invalidLine("no version of HTTP/1", line)
	}
	h.isHTTP10 = minor[0] == '0'
	digits, reason, _ := bytes.Cut(rest, []byte(" "))
	status, err := strconv.ParseUint(string(digits), 10, 16)
	if err != nil || len(digits) != statusDigits || status < minStatus || status > maxStatus {
		return invalidLine("no status", line)
	}
	if status == fasthttp.StatusSwitchingProtocols {
		return invalidLine("other protocol, which was not asked for", line)
	}
	if !httpguts.ValidHeaderFieldValue(string(reason)) {
		return invalidLine("control character in reason", line)
	}
	h.status = int(status)
	return nil
}

// invalidLine returns an ErrInvalidHead about a line.
func invalidLine(reason string, line []byte) error {
	return errors.Wrapf(ErrInvalidHead, "%s: %q", reason, line[:min(len(line), maxLoggedBytes)])
}
