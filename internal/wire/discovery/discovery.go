// Package discovery watches the platform's list of servers: HTTP/1.1 over net and bufio, JSON lines in a
// chunked answer.
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
	"sync"
	"sync/atomic"

	"github.com/rs/zerolog"
	"github.com/valyala/fastjson"

	"capersail/decide"
	"capersail/internal/memory"
)

const (
	connectWithin = 1000.0
	headWithin    = 4000.0  // discovery works through calls in turn; one that waited too long ends with 503
	quietWithin   = 3500.0  // a watch brings a line at least every 2 s; what it has to tell counts after 6 s
	maxList       = 8 << 20 // bytes of one list
	maxLine       = 4096    // of a head
)

// List is what discovery knew at some time.
type List struct {
	Version int64
	Full    bool
	Entries []memory.Listed
}

// Client asks discovery. The module says when; it also draws the jittered wait after a failed call.
type Client struct {
	clock *memory.Clock
	tell  func(decide.ListKind, []memory.Listed)
	log   zerolog.Logger
	quiet float64       // ms without a line after which a watch has fallen silent
	asks  chan bool     // true for a watch, false for the whole list
	moved chan struct{} // holds one token while a new address waits to be followed

	generation atomic.Int64 // of the newest list taken in

	mu      sync.Mutex
	address string
	hangUp  context.CancelFunc // ends the call that is out
}

// NewClient returns a client of the service at an address.
func NewClient(address string, x *memory.Exchange, log zerolog.Logger) *Client {
	return &Client{address: address, clock: x.Clock, tell: x.Members, log: log, quiet: quietWithin, asks: make(chan bool, 8), moved: make(chan struct{}, 1)}
}

// SetAddress follows discovery to another address at once. The call that is out is ended, and the module
// does not hear of it: nothing has failed, and a back-off would delay news that counts as told 4 s later.
func (c *Client) SetAddress(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if address == c.address {
		return
	}
	c.address = address
	c.follow()
}

// Generation is the version of the newest list taken in, 0 before the first.
func (c *Client) Generation() int64 { return c.generation.Load() }

// Again ends the call that is out and watches anew at once: the one that stands may still have gone silent. The module does not hear of it, as nothing has failed.
func (c *Client) Again() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.follow()
}

// follow makes Run ask anew. The caller holds the lock.
func (c *Client) follow() {
	select {
	case c.moved <- struct{}{}:
	default:
	}
	if c.hangUp != nil {
		c.hangUp()
	}
}

// begin takes up the present address for one call, and tells whether it is a new one.
func (c *Client) begin(ctx context.Context) (call context.Context, address string, moved bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	call, c.hangUp = context.WithCancel(ctx)
	select {
	case <-c.moved:
		moved = true
	default:
	}
	return call, c.address, moved
}

// Watch asks for changes from now on.
func (c *Client) Watch() { c.ask(true) }

// Fetch asks for the whole list once.
func (c *Client) Fetch() { c.ask(false) }

func (c *Client) ask(watch bool) {
	select {
	case c.asks <- watch:
	default: // so many calls wait already that one more brings nothing new; each is answered once
		go c.tell(decide.Failed, nil)
	}
}

// anew is the version of a list that cannot be compared.
const anew = -1

// errOther ends a watch whose first changes are of a version before the one held: this service counts its own.
var errOther = errors.New("changes of an older version than the one held")

// errSilent ends a watch that had begun and brings no line any more. What it misses counts as told 6 s after it fell
// silent, so another is opened at once, and the module hears of it only if that one fails: its back-off, up to 7.5 s for
// 300 relays, is for a service that answers too many.
var errSilent = errors.New("silent")

// Run carries calls out, one after the other, until the context ends. version is that of the list held.
func (c *Client) Run(ctx context.Context, version int64) {
	for watch, moved, silent := false, false, false; ; moved = len(c.moved) > 0 {
		if !moved && !silent {
			select {
			case <-ctx.Done():
				return
			case <-c.moved:
				moved = true
			case watch = <-c.asks:
			}
		}
		call, address, newer := c.begin(ctx)
		watch = watch || moved || newer
		err := c.visit(call, address, watch, &version)
		c.hangUp()
		if ctx.Err() != nil {
			return
		}
		if silent = errors.Is(err, errSilent) && len(c.moved) == 0; silent {
			c.log.Info().Msg("the watch has fallen silent; opening another")
			watch = true
			continue
		}
		if len(c.moved) == 0 && (watch || err != nil) {
			c.log.Info().Err(err).Bool("watch", watch).Msg("discovery call ended")
			c.settle()
			c.tell(decide.Failed, nil)
		}
	}
}

// settle drops what was asked for while a call was out. Its end answers that too: each answer makes the
// module ask once more, so answering twice would have it ask twice as often for good.
func (c *Client) settle() {
	for {
		select {
		case <-c.asks:
		default:
			return
		}
	}
}

// visit makes the calls that one ask stands for. At another address too a watch is opened after the version held, in one call:
// all relays' discovery is one service, and one that cannot tell what changed after that version brings the whole list
// (protocol). A whole list and then a watch were two calls, and a dear one first: when 279 relays were told of a move within
// 4 s, 386 of their calls were answered 503, and relays went by an old list for up to 13 s.
func (c *Client) visit(ctx context.Context, address string, watch bool, version *int64) error {
	const path = "/v1/endpoints"
	if watch && *version != anew {
		err := c.call(ctx, address, fmt.Sprintf("%s?watch=1&after=%d", path, *version), version)
		if !errors.Is(err, errOther) {
			return err
		}
		*version = anew
	}
	if *version == anew || !watch {
		if err := c.call(ctx, address, path, version); errors.Is(err, errSilent) { // no watch: a whole list that was cut short
			return errors.New("the list stopped in the middle")
		} else if err != nil || !watch {
			return err
		}
	}
	return c.call(ctx, address, fmt.Sprintf("%s?watch=1&after=%d", path, *version), version)
}

// call makes one call and takes in every list that it brings.
func (c *Client) call(ctx context.Context, address, path string, version *int64) error {
	d := net.Dialer{Timeout: memory.Duration(connectWithin)}
	conn, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return fmt.Errorf("dial: %w", err)
	}
	defer conn.Close()
	defer context.AfterFunc(ctx, func() { conn.Close() })()
	within := func(ms float64) { conn.SetDeadline(c.clock.Wall(c.clock.Now() + ms)) }
	within(headWithin)
	if _, err := fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: %s\r\nAccept: application/json\r\n\r\n", path, address); err != nil {
		return fmt.Errorf("ask: %w", err)
	}
	r := bufio.NewReaderSize(conn, maxLine)
	body, err := head(r)
	if err != nil {
		return err
	}
	lines := bufio.NewReaderSize(body, 64<<10)
	for begun := false; ; begun = true {
		within(c.quiet)
		line, err := readLine(lines)
		if text := strings.TrimSpace(string(line)); text != "" {
			list, err := Parse(text, c.log)
			if err != nil {
				return err
			}
			if !begun && !list.Full && list.Version < *version {
				return errOther
			}
			*version = list.Version
			c.generation.Store(list.Version)
			kind := decide.Delta
			if list.Full {
				kind = decide.Whole
			}
			c.tell(kind, list.Entries)
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if begun && errors.Is(err, os.ErrDeadlineExceeded) {
			return errSilent
		}
		if err != nil {
			return fmt.Errorf("read: %w", err)
		}
	}
}

// readLine reads a line of at most maxList bytes.
func readLine(r *bufio.Reader) (line []byte, err error) {
	for {
		part, err := r.ReadSlice('\n')
		line = append(line, part...)
		if len(line) > maxList {
			return nil, errors.New("a list over the bound")
		}
		if !errors.Is(err, bufio.ErrBufferFull) {
			return line, err
		}
	}
}

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

// Parse reads one list, as discovery sends it or as a relay's configuration holds it. An entry that makes
// no sense is logged and skipped: one bad line must not hide the news about all other servers.
func Parse(text string, log zerolog.Logger) (*List, error) {
	v, err := fastjson.Parse(text)
	if err != nil {
		return nil, fmt.Errorf("list: %w", err)
	}
	// An empty array is a list too: a watch that has missed nothing begins with one. fastjson gives nil for
	// it, as for no array at all, so the type is what counts.
	if in := v.Get("instances"); v.Type() != fastjson.TypeObject || in != nil && in.Type() != fastjson.TypeArray {
		return nil, fmt.Errorf("list: not an object with an array of instances")
	}
	list := &List{Version: v.GetInt64("generation"), Full: v.GetBool("reset")}
	for _, e := range v.GetArray("instances") {
		if l, err := entry(e); err != nil {
			log.Warn().Err(err).Str("entry", e.String()).Msg("bad entry in the list; skipped")
		} else {
			list.Entries = append(list.Entries, l)
		}
	}
	return list, nil
}

func entry(e *fastjson.Value) (memory.Listed, error) {
	l := memory.Listed{ID: string(e.GetStringBytes("instanceId")), Address: string(e.GetStringBytes("hostPort")),
		Zone: string(e.GetStringBytes("zone")), Cell: int32(e.GetInt("cell")), Started: e.GetFloat64("startedAtMs"),
		Resumes: e.GetBool("resumes")}
	if l.ID == "" {
		return l, fmt.Errorf("instanceId is missing")
	}
	switch mode := string(e.GetStringBytes("lifecycle")); mode {
	case "Ready":
		l.Mode = decide.Ready
	case "Terminating":
		l.Mode = decide.Draining
	case "Gone":
		l.Mode = decide.GoneMode
	default:
		return l, fmt.Errorf("lifecycle %q", mode)
	}
	if l.Mode != decide.GoneMode {
		if _, _, err := net.SplitHostPort(l.Address); err != nil {
			return l, fmt.Errorf("hostPort: %w", err)
		}
	}
	return l, nil
}
