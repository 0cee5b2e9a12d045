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
	maxHeadLine   = 4096 // bytes of a line of a response's head
	maxHeadFields = 100
)

// writeRequest asks for a path.
func writeRequest(w io.Writer, address, path string) error {
	_, err := fmt.Fprintf(w, "GET %s HTTP/1.1\r\nHost: %s\r\nAccept: application/json\r\n\r\n", path, address)
	return err
}

// readHead reads a response's status and fields and returns its body. Another status than 200 is a
// statusError.
func readHead(r *bufio.Reader) (io.Reader, error) {
	status, err := readLine(r)
	if err != nil {
		return nil, fmt.Errorf("status line: %w", err)
	}
	parts := strings.SplitN(status, " ", 3)
	if len(parts) < 2 || !strings.HasPrefix(parts[0], "HTTP/1.") {
		return nil, fmt.Errorf("status line %.60q", status)
	}
	if parts[1] != "200" {
		return nil, statusError{parts[1]}
	}
	length, chunked := int64(math.MaxInt64), false
	for n := 0; ; n++ {
		line, err := readLine(r)
		if err != nil || n > maxHeadFields {
			return nil, fmt.Errorf("head: %d fields: %w", n, err)
		}
		if line == "" {
			break
		}
		name, value, _ := strings.Cut(line, ":")
		value = strings.TrimSpace(value)
		switch strings.ToLower(name) {
		case "content-length":
			if length, err = strconv.ParseInt(value, 10, 64); err != nil || length < 0 {
				return nil, fmt.Errorf("content-length %.40q", value)
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

// readLine reads a line of a head without its end.
func readLine(r *bufio.Reader) (string, error) {
	line, err := r.ReadSlice('\n')
	return strings.TrimRight(string(line), "\r\n"), err
}

// chunkedBody reads a body in chunks (RFC 9112, 7.1) without its trailer.
type chunkedBody struct {
	r         *bufio.Reader
	remaining int64 // of the present chunk
	inChunk   bool  // its end has not been read
}

// Read is io.Reader's.
func (c *chunkedBody) Read(p []byte) (int, error) {
	for c.remaining == 0 {
		if c.inChunk {
			if _, err := c.r.ReadSlice('\n'); err != nil {
				return 0, truncated(err)
			}
			c.inChunk = false
		}
		line, err := c.r.ReadSlice('\n')
		if err != nil {
			return 0, truncated(err)
		}
		size, _, _ := strings.Cut(strings.TrimSpace(string(line)), ";")
		c.remaining, err = strconv.ParseInt(strings.TrimSpace(size), 16, 64)
		if err != nil || c.remaining < 0 {
			return 0, fmt.Errorf("chunk size %.40q", size)
		}
		if c.remaining == 0 {
			return 0, io.EOF
		}
		c.inChunk = true
	}
	n, err := c.r.Read(p[:min(int64(len(p)), c.remaining)])
	c.remaining -= int64(n)
	return n, truncated(err)
}

// truncated tells an end in the middle of a body from a clean one.
func truncated(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}
