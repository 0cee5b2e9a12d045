package discovery

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math"
	"strconv"
	"strings"
)

const (
	maxHeaderLineBytes = 4096 // status line or field line of a response, with its line end
	maxHeaderFields    = 100
)

// writeRequest sends a GET request for path.
func writeRequest(w io.Writer, address, path string) error {
	_, err := fmt.Fprintf(w, "GET %s HTTP/1.1\r\nHost: %s\r\nAccept: application/json\r\n\r\n", path, address)
	return err
}

// readHeader reads the status line and the header fields of a response and returns its body. A status other
// than 200 is returned as a statusError.
func readHeader(r *bufio.Reader) (io.Reader, error) {
	status, err := readLine(r)
	if err != nil {
		return nil, fmt.Errorf("read HTTP status line: %w", err)
	}
	parts := strings.SplitN(status, " ", 3)
	if len(parts) < 2 || !strings.HasPrefix(parts[0], "HTTP/1.") {
		return nil, fmt.Errorf("malformed HTTP status line %.60q", status)
	}
	if parts[1] != "200" {
		return nil, statusError{parts[1]}
	}
	length, chunked := int64(math.MaxInt64), false
	for n := 0; ; n++ {
		line, err := readLine(r)
		if err != nil || n > maxHeaderFields {
			return nil, fmt.Errorf("read HTTP header after %d fields: %w", n, err)
		}
		if line == "" {
			break
		}
		name, value, _ := strings.Cut(line, ":")
		value = strings.TrimSpace(value)
		switch strings.ToLower(name) {
		case "content-length":
			if length, err = strconv.ParseInt(value, 10, 64); err != nil || length < 0 {
				return nil, fmt.Errorf("invalid content-length %.40q", value)
			}
		case "transfer-encoding":
			chunked = strings.EqualFold(value, "chunked")
		}
	}
	if chunked {
		return &chunkedBody{r: r}, nil
	}
	return io.LimitReader(r, length), nil
}

// readLine reads a line of the header without its line end.
func readLine(r *bufio.Reader) (string, error) {
	line, err := r.ReadSlice('\n')
	return strings.TrimRight(string(line), "\r\n"), err
}

// chunkedBody decodes a body in chunked transfer coding (RFC 9112, section 7.1). It does not read the
// trailer.
type chunkedBody struct {
	r         *bufio.Reader
	remaining int64 // bytes of the current chunk not read yet
	inChunk   bool  // the line end after the current chunk has not been read
}

// Read implements io.Reader.
func (c *chunkedBody) Read(p []byte) (int, error) {
	for c.remaining == 0 {
		if c.inChunk {
			if _, err := c.r.ReadSlice('\n'); err != nil {
				return 0, eofToUnexpectedEOF(err)
			}
			c.inChunk = false
		}
		line, err := c.r.ReadSlice('\n')
		if err != nil {
			return 0, eofToUnexpectedEOF(err)
		}
		size, _, _ := strings.Cut(strings.TrimSpace(string(line)), ";")
		c.remaining, err = strconv.ParseInt(strings.TrimSpace(size), 16, 64)
		if err != nil || c.remaining < 0 {
			return 0, fmt.Errorf("invalid chunk size %.40q", size)
		}
		if c.remaining == 0 {
			return 0, io.EOF
		}
		c.inChunk = true
	}
	n, err := c.r.Read(p[:min(int64(len(p)), c.remaining)])
	c.remaining -= int64(n)
	return n, eofToUnexpectedEOF(err)
}

// eofToUnexpectedEOF returns io.ErrUnexpectedEOF for io.EOF, which in the middle of a body means that it is
// truncated, and other errors unchanged.
func eofToUnexpectedEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}
