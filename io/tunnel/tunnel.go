// Package tunnel connects a daemon to a backend server through another daemon, its peer.
//
// A daemon that has lost its links to the servers still reaches the other daemons. It opens a
// connection to a peer and names the server; the peer connects to the server, directly and never by a
// further tunnel, and copies bytes. All decisions about a request stay with the daemon that accepted
// it: deadline, retries, limits, directives and the client's disconnect apply as on a direct
// connection, and both directions are subject to back-pressure.
//
// The opening and its answer are one JSON line each. Then the bytes to the server follow as they are.
// Those from the server come in frames of a length (two bytes, big endian) and as many bytes. A frame
// of length 0 means that the server closed its connection in an orderly way. A tunnel that ends
// without it was broken off by the server, the peer or a link, so that its answer is incomplete.
//
// A peer opens tunnels only to backend servers in its own view, and only for the addresses of listed
// daemons.
package tunnel

import (
	"bufio"
	"encoding/json"
	"time"

	"github.com/pkg/errors"
)

// openRequest is the first line of a tunnel.
type openRequest struct {
	// Address is the IP:port of the server.
	Address string `json:"address"`
	// TimeoutMS bounds connecting to it, in milliseconds.
	TimeoutMS int64 `json:"timeout_ms"`
}

// openAnswer is the answer to it.
type openAnswer struct {
	Result result `json:"result"`
}

// result is the result of opening a tunnel.
type result string

// Results. resultRefused and resultUnreachable: the server refused the peer, or did not answer, while
// other servers of its service accepted a connect. resultNoLinks: nor did the others, so the peer's own
// links may be at fault. resultUnknownServer: the peer's view has no such server. resultBusy: the peer
// has too many tunnels. resultDraining: the peer is stopping. resultForbidden: the caller is no
// listed daemon.
const (
	resultConnected     result = "connected"
	resultRefused       result = "refused"
	resultUnreachable   result = "unreachable"
	resultNoLinks       result = "no_links"
	resultUnknownServer result = "unknown_server"
	resultBusy          result = "busy"
	resultDraining      result = "draining"
	resultForbidden     result = "forbidden"
	resultBadRequest    result = "bad_request"
)

const (
	// maxLineBytes bounds a line.
	maxLineBytes = 512
	// frameHeaderBytes is the length of a frame's header; maxFrameBytes bounds a frame's content.
	// Events of streams have some hundred bytes.
	frameHeaderBytes = 2
	maxFrameBytes    = 4 << 10
	// lineTimeout bounds the arrival of the first line at a peer.
	lineTimeout = 500 * time.Millisecond
)

// encodeLine returns a message as a line.
func encodeLine(message any) ([]byte, error) {
	encoded, err := json.Marshal(message)
	if err != nil {
		return nil, errors.Wrap(err, "encode line of tunnel")
	}
	return append(encoded, '\n'), nil
}

// readLine reads a message. The reader's buffer bounds the line.
func readLine(reader *bufio.Reader, message any) error {
	line, err := reader.ReadSlice('\n')
	if err != nil {
		return errors.Wrap(err, "read line of tunnel")
	}
	return errors.Wrapf(json.Unmarshal(line, message), "decode line of tunnel %.80q", line)
}
