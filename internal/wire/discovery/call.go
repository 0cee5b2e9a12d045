package discovery

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math"
	"net"
	"os"
	"strconv"
	"strings"
	"syscall"

	"capersail/decide"
	"capersail/internal/relay"
)

// call makes one call and takes in every list that it brings.
func (c *Client) call(ctx context.Context, address, path string, version *int64) error {
	a := c.open(ctx, address, path)
	defer a.close()
	if a.err != nil {
		return a.failure()
	}
	for text, err := a.first, a.then; ; text, err = a.lists.next() {
		ended := errors.Is(err, io.EOF)
		if len(text) > 0 && (err == nil || ended) {
			list, err := Parse(string(text), c.log)
			if err != nil {
				return err
			}
			if !a.begun && !list.Full && list.Version < *version {
				return errOther
			}
			if !c.doubt.believes(list, *version, c.listed(), address) {
				return errDoubted
			}
			c.logList(a, list, *version)
			*version = list.Version
			c.generation.Store(list.Version)
			kind := decide.Delta
			if list.Full {
				kind = decide.Whole
			}
			c.tell(kind, list.Entries)
		}
		if err == nil {
			c.heard()
		}
		switch {
		case ended:
			return nil
		case fellSilent(err):
			return errSilent
		case err != nil:
			return fmt.Errorf("read: %w", err)
		}
		a.begun = true
		a.conn.SetDeadline(c.clock.Wall(c.clock.Now() + c.quiet))
	}
}

// failure is what a call without an answer ends with. Only a refused connection shows that discovery is down: an answer of 503 and a
// reset may as well be those of one that serves others and has too many callers (protocol, Discovery).
func (a *answer) failure() error {
	switch {
	case slow(a.err) && !a.dialled:
		return fmt.Errorf("%w: %w", errUnreached, a.err)
	case errors.Is(a.err, syscall.ECONNREFUSED):
		return fmt.Errorf("%w: %w", errRefused, a.err)
	}
	return a.err
}

// fellSilent tells whether this side's deadline ended a read. ETIMEDOUT is the kernel's word that the connection is broken.
func fellSilent(err error) bool { return errors.Is(err, os.ErrDeadlineExceeded) }

// slow tells whether time ran out.
func slow(err error) bool {
	var e net.Error
	return errors.As(err, &e) && e.Timeout()
}

// answer is what a call has brought: its first line, or an error.
type answer struct {
	no   int    // of the call, 0 or 1
	id   uint64 // of the call, since the process started
	took float64
	// dialled: its connection came up.
	dialled bool
	conn    net.Conn
	lists   objects
	first   []byte
	then    error // what came with the first line, as the end of a body does
	begun   bool  // the first line has been taken in
	err     error // no first line came
	close   func()
}

// open makes a call and waits for the first line of its answer. One that hangs says nothing of discovery, and to give it up would
// throw away the answer of one that is only slow: a second is made beside it, once, and the first answer counts. One that
// fails at once is not made again here, as discovery may have too many callers.
func (c *Client) open(ctx context.Context, address, path string) *answer {
	answers := make(chan *answer, 2)
	var stops []func()
	ask := func() {
		own, stop := context.WithCancel(ctx)
		no := len(stops)
		stops = append(stops, stop)
		id, began := c.calls.Add(1), c.clock.Now()
		go func() {
			a := c.begins(own, address, path)
			a.no, a.id, a.took, a.close = no, id, c.clock.Now()-began, stop
			c.logCall(own, a, path)
			answers <- a
		}()
	}
	ask()
	second := c.clock.After(c.second)
	for out := 1; ; {
		var a *answer
		select {
		case <-second:
		case a = <-answers:
			out--
		}
		if len(stops) == 1 && (a == nil || slow(a.err)) {
			second = nil
			ask()
			out++
		}
		if a == nil || a.err != nil && out > 0 {
			continue
		}
		for no, stop := range stops {
			if no != a.no {
				stop()
			}
		}
		return a
	}
}

// begins makes one call, up to the first line of its answer. The connection is closed with the context.
func (c *Client) begins(ctx context.Context, address, path string) *answer {
	d := net.Dialer{Timeout: relay.Duration(dialWithin)}
	conn, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return &answer{err: fmt.Errorf("dial: %w", err)}
	}
	context.AfterFunc(ctx, func() { conn.Close() })
	conn.SetDeadline(c.clock.Wall(c.clock.Now() + c.within))
	if _, err := fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: %s\r\nAccept: application/json\r\n\r\n", path, address); err != nil {
		return &answer{dialled: true, err: fmt.Errorf("ask: %w", err)}
	}
	body, err := head(bufio.NewReaderSize(conn, maxLine))
	if err != nil {
		return &answer{dialled: true, err: err}
	}
	a := &answer{dialled: true, conn: conn, lists: objects{bufio.NewReaderSize(body, 64<<10)}}
	if a.first, a.then = a.lists.next(); a.then != nil && !errors.Is(a.then, io.EOF) {
		a.err = fmt.Errorf("read: %w", a.then)
	}
	return a
}

// maxLine is the most bytes of a line of a head.
const maxLine = 4096

// head reads an answer's status and fields and returns its body.
func head(r *bufio.Reader) (io.Reader, error) {
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
		return &chunks{r: r}, nil
	}
	return io.LimitReader(r, length), nil
}

// chunks reads a chunked body.
type chunks struct {
	r    *bufio.Reader
	left int64 // of the present chunk
	open bool  // its end has not been read
}

func (c *chunks) Read(p []byte) (int, error) {
	for c.left == 0 {
		if c.open {
			if _, err := c.r.ReadSlice('\n'); err != nil {
				return 0, cut(err)
			}
			c.open = false
		}
		line, err := c.r.ReadSlice('\n')
		if err != nil {
			return 0, cut(err)
		}
		size, _, _ := strings.Cut(strings.TrimSpace(string(line)), ";")
		if c.left, err = strconv.ParseInt(strings.TrimSpace(size), 16, 64); err != nil || c.left < 0 {
			return 0, fmt.Errorf("chunk size %.40q", size)
		}
		if c.left == 0 {
			return 0, io.EOF
		}
		c.open = true
	}
	n, err := c.r.Read(p[:min(int64(len(p)), c.left)])
	c.left -= int64(n)
	return n, cut(err)
}

// cut marks an end in the middle of a body, which is no clean one.
func cut(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}
