package platform

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net"
)

// maxLineBytes is the longest line that the protocol allows, including its terminator.
const maxLineBytes = 4096

var errLineTooLong = errors.New("line exceeds 4096 bytes")

// lineReader reads lines from a connection. If a read deadline expires in the middle of a line, the bytes
// read so far are kept for the next call.
type lineReader struct {
	conn     net.Conn
	buffered *bufio.Reader
	partial  []byte // start of a line whose read was interrupted by a deadline
	// pace is called with the size of each line before it is returned; nil for servers. Its error ends the
	// connection's input.
	pace func(messages, bytes int) error
}

func newLineReader(conn net.Conn) *lineReader {
	return &lineReader{conn: conn, buffered: bufio.NewReaderSize(conn, maxLineBytes)}
}

// prepend makes the reader return p, which was read from the connection directly, before further bytes of the
// connection. The buffer must be empty.
func (l *lineReader) prepend(p []byte) {
	if len(p) > 0 {
		l.buffered = bufio.NewReaderSize(io.MultiReader(bytes.NewReader(p), l.conn), maxLineBytes)
	}
}

// readLine returns the next line, at the pace of its sender; see readNext.
func (l *lineReader) readLine() ([]byte, error) {
	line, err := l.readNext()
	if l.pace == nil || len(line) == 0 {
		return line, err
	}
	if gone := l.pace(1, len(line)); gone != nil {
		return nil, gone
	}
	return line, err
}

// readNext returns the next line including its terminator; it is valid until the next call. If the line is
// too long, readNext returns the part received so far and errLineTooLong; the rest is returned by later calls
// as if it were a line. Any other error is an error of the connection and comes without a line.
func (l *lineReader) readNext() ([]byte, error) {
	part, err := l.buffered.ReadSlice('\n')
	switch {
	case err == nil && len(l.partial) == 0:
		return part, nil
	case err == nil:
		return l.takePartial(part), nil
	case errors.Is(err, bufio.ErrBufferFull) || len(l.partial)+len(part) > maxLineBytes:
		return l.takePartial(part), errLineTooLong
	}
	l.partial = append(l.partial, part...)
	return nil, err
}

// takePartial returns the interrupted line followed by part, and resets the partial line.
func (l *lineReader) takePartial(part []byte) []byte {
	line := append(l.partial, part...)
	l.partial = l.partial[:0]
	return line
}
