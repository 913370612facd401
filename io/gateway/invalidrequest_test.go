package gateway_test

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"headcourse/core/config"
)

// Guards against a field whose name holds a blank being passed on to a server, which may read another request out of it (UNASKED).
func TestRequestWithInvalidFieldIsNotPassedOn(t *testing.T) {
	backend := startRawServer(t, func(int) rawAnswer { return soundAnswer })
	server, _ := startWithViewWait(t, newSource(serversView(config.Unsafe, backend.address())), time.Minute)
	for _, field := range []string{"X Odd: a", "X-Odd : a", "Content Length: 3", "Transfer Encoding: chunked", "Transfer-Encoding : chunked", "X\x01Odd: a", "X-Odd"} {
		conn, reader := dial(t, server)
		writeHead(t, conn, "r1", 4, field+"\r\n")
		_, err := io.WriteString(conn, "body")
		qt.Assert(t, err, qt.IsNil)
		status, _ := readStatus(t, reader)
		qt.Check(t, status, qt.Equals, http.StatusBadRequest, qt.Commentf("%q", field))
	}
	qt.Check(t, backend.requests.Load(), qt.Equals, int64(0))
	conn, reader := dial(t, server)
	writeHead(t, conn, "r1", 4, "X-Odd: "+strings.Repeat("a b\t", 9)+"\r\n")
	_, err := io.WriteString(conn, "body")
	qt.Assert(t, err, qt.IsNil)
	status, _ := readStatus(t, reader)
	qt.Check(t, status, qt.Equals, http.StatusOK)
}
