package platform

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net"
)

// maxLineBytes is the longest line the protocol knows, its end included.
const maxLineBytes = 4096

var errLineTooLong = errors.New("line over 4 KiB")

// lineReader reads lines from a connection. A read that a deadline cuts short loses nothing.
type lineReader struct {
	conn     net.Conn
	buffered *bufio.Reader
	partial  []byte // the line that a deadline cut short
}

func newLineReader(conn net.Conn) *lineReader {
	return &lineReader{conn: conn, buffered: bufio.NewReaderSize(conn, maxLineBytes)}
}

// prepend puts bytes that were read past the reader in front of what comes next. All that was buffered has
// been returned.
func (l *lineReader) prepend(p []byte) {
	if len(p) > 0 {
		l.buffered = bufio.NewReaderSize(io.MultiReader(bytes.NewReader(p), l.conn), maxLineBytes)
	}
}

// readLine returns the next line, its end included, valid until the next call. With errLineTooLong it returns
// the part of a longer one that has come so far; the rest follows as if it were a line. Other errors are the
// connection's, and come without a line.
func (l *lineReader) readLine() ([]byte, error) {
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

// takePartial returns the line that a deadline cut short, with what has come since.
func (l *lineReader) takePartial(part []byte) []byte {
	line := append(l.partial, part...)
	l.partial = l.partial[:0]
	return line
}
