package http1

import (
	"bufio"
	"net"
)

// answerBufferSize holds the largest head of an answer, in bytes.
const answerBufferSize = 8 << 10

// answerConn is a connection of fasthttp's client, whose requests follow one another. It checks the head of each answer
// before the client gets any of it, and fails the read otherwise.
type answerConn struct {
	net.Conn
	reader *bufio.Reader
	// awaitsHead is set from a request until the head of its final answer. headLeft is the number of bytes of a checked
	// head that are not read yet.
	awaitsHead bool
	headLeft   int
}

// newAnswerConn returns a connection that checks answers.
func newAnswerConn(conn net.Conn) *answerConn {
	return &answerConn{
		Conn:   conn,
		reader: bufio.NewReaderSize(conn, answerBufferSize),
	}
}

// Write writes a part of a request.
func (c *answerConn) Write(source []byte) (int, error) {
	c.awaitsHead = true
	return c.Conn.Write(source)
}

// Read reads a part of an answer. Its errors are those of ReadHead and of the connection.
func (c *answerConn) Read(target []byte) (int, error) {
	if c.headLeft == 0 && c.awaitsHead {
		head, err := peekHead(c.reader)
		if err != nil {
			return 0, err
		}
		c.headLeft = head.length
		c.awaitsHead = head.status < minFinalStatus
	}
	if c.headLeft == 0 {
		return c.reader.Read(target)
	}
	n, err := c.reader.Read(target[:min(len(target), c.headLeft)])
	c.headLeft -= n
	return n, err
}
