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

// maxHeadLine is the most bytes of a line of a head.
const maxHeadLine = 4096

// readHead reads an answer's status and fields and returns its body.
func readHead(r *bufio.Reader) (io.Reader, error) {
	next := func() (string, error) {
		line, err := r.ReadSlice('\n')
		return strings.TrimRight(string(line), "\r\n"), err
	}
	status, err := next()
	if err != nil {
		return nil, fmt.Errorf("status line: %w", err)
	}
	parts := strings.SplitN(status, " ", 3)
	if len(parts) < 2 || !strings.HasPrefix(parts[0], "HTTP/1.") {
		return nil, fmt.Errorf("status line %.60q", status)
	}
	if parts[1] != "200" {
		return nil, fmt.Errorf("discovery answered %s", parts[1])
	}
	length, chunked := int64(math.MaxInt64), false
	for n := 0; ; n++ {
		line, err := next()
		if err != nil || n > 100 {
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

// chunkedBody reads a chunked body.
type chunkedBody struct {
	r         *bufio.Reader
	remaining int64 // of the present chunk
	inChunk   bool  // its end has not been read
}

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
		if c.remaining, err = strconv.ParseInt(strings.TrimSpace(size), 16, 64); err != nil || c.remaining < 0 {
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

// truncated marks an end in the middle of a body, which is no clean one.
func truncated(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}
