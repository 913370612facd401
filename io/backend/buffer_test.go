package backend_test

import (
	"io"
	"net"
	"strconv"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"headcourse/core/memory"
	"headcourse/io/backend"
)

// readAll reads a body without a limit for all of them.
func readAll(exchange *backend.Exchange, limit int) ([]byte, error) {
	content, _, err := exchange.ReadBody(limit, &memory.Budget{})
	return content, err
}

// Guards against bodies that take more memory than there is for them, and against memory that stays reserved for a
// body that was not read.
func TestBodyIsReadIntoReservedMemory(t *testing.T) {
	const (
		large = 300 << 10
		limit = 1 << 20
	)
	for name, row := range map[string]struct {
		size   int
		budget int64
		err    error
	}{
		"small body without memory": {
			size:   60 << 10,
			budget: 1,
		},
		"large body": {
			size:   large,
			budget: limit,
		},
		"large body without memory": {
			size:   large,
			budget: large,
			err:    backend.ErrNoMemory,
		},
		"too long a body": {
			size:   limit + 1,
			budget: 10 * limit,
			err:    backend.ErrBodyTooLong,
		},
	} {
		for _, hasLength := range []bool{true, false} {
			content := strings.Repeat("x", row.size)
			exchange := exchangeWith(t, content, hasLength)
			var budget memory.Budget
			budget.SetLimit(row.budget)
			read, reserved, err := exchange.ReadBody(limit, &budget)
			comment := qt.Commentf("%s, length stated: %v", name, hasLength)
			if row.err != nil {
				qt.Check(t, err, qt.ErrorIs, row.err, comment)
			} else {
				qt.Check(t, err, qt.IsNil, comment)
				qt.Check(t, string(read) == content, qt.IsTrue, comment)
			}
			qt.Check(t, budget.Used(), qt.Equals, reserved, comment)
			exchange.Abort()
		}
	}
}

// exchangeWith returns an exchange of which the head was read and whose body has a content.
func exchangeWith(t *testing.T, content string, hasLength bool) *backend.Exchange {
	t.Helper()
	head := "HTTP/1.1 200 OK\r\n\r\n"
	if hasLength {
		head = "HTTP/1.1 200 OK\r\nContent-Length: " + strconv.Itoa(len(content)) + "\r\n\r\n"
	}
	return startServer(t, func(_ *testing.T, conn *net.TCPConn) bool {
		// The client closes the connection before the end of a body that is too long.
		_, _ = io.WriteString(conn, head+content)
		return false
	}).send(&backend.Client{})
}
