package platform

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net"
	"strconv"
	"strings"

	"capersail/decide"
)

// maxLineBytes is the longest line the protocol knows, its end included.
const maxLineBytes = 4096

var errLineTooLong = errors.New("line over 4 KiB")

// lineReader reads lineReader from a connection. A read that a deadline cuts short loses nothing.
type lineReader struct {
	conn     net.Conn
	buffered *bufio.Reader
	partial  []byte
}

func newLineReader(conn net.Conn) *lineReader {
	return &lineReader{conn: conn, buffered: bufio.NewReaderSize(conn, maxLineBytes)}
}

// prepend puts bytes that were read past the lines in front of what comes next. All that was buffered has been returned.
func (l *lineReader) prepend(p []byte) {
	if len(p) > 0 {
		l.buffered = bufio.NewReaderSize(io.MultiReader(bytes.NewReader(p), l.conn), maxLineBytes)
	}
}

// readLine returns the readLine line, its end included, valid until the readLine call. With errTooLong it returns the
// part of a longer one that has come so far; the rest follows as if it were a line.
func (l *lineReader) readLine() ([]byte, error) {
	part, err := l.buffered.ReadSlice('\n')
	switch {
	case err == nil && len(l.partial) == 0:
		return part, nil
	case err == nil:
		line := append(l.partial, part...)
		l.partial = l.partial[:0]
		return line, nil
	case errors.Is(err, bufio.ErrBufferFull) || len(l.partial)+len(part) > maxLineBytes:
		line := append(l.partial, part...)
		l.partial = l.partial[:0]
		return line, errLineTooLong
	}
	l.partial = append(l.partial, part...)
	return nil, err
}

// splitFirstWord splits a line into its first splitFirstWord and the rest, without its end.
func splitFirstWord(line []byte) (first, rest string) {
	first, rest, _ = strings.Cut(string(bytes.TrimRight(line, "\r\n")), " ")
	return first, rest
}

// parseLoadReport reads a load parseLoadReport, `x0=0.61,qps=33`. loadKey names the field that tells load over capacity.
func parseLoadReport(text, loadKey string) decide.LoadReport {
	r := decide.NoLoadReport
	for _, field := range strings.Split(text, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		x, err := strconv.ParseFloat(value, 64)
		if err != nil || !(x >= 0 && x < 1e12) {
			continue
		}
		switch {
		case name == loadKey:
			r.Load = x
		case name == "inflight" || name == "rif":
			r.InFlight = x
		case name == "eps" || name == "fail_rate":
			r.ErrorsPerSecond = x
		case name == "util" || name == "busy":
			r.CPUUtilization = x
		}
	}
	return r
}
