// Package zookeeper follows a list of servers kept as ephemeral nodes: the children of a path, each with
// its address and lifecycle as JSON. It speaks ZooKeeper's own framing: a length, then big-endian records.
package zookeeper

import (
	"bufio"
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"slices"
	"strings"
	"sync"

	"github.com/rs/zerolog"
	"github.com/valyala/fastjson"

	"capersail/decide"
	"capersail/internal/memory"
	"capersail/internal/wire/link"
)

// The figures of ZooKeeper's client protocol that are used here.
const (
	opGetData     = 4
	opGetChildren = 8
	opPing        = 11
	xidEvent      = -1
	xidPing       = -2
	errNoNode     = -101

	maxFrame = 4 << 20
)

// errExpired says that the service has forgotten the session, and with it every watch.
var errExpired = errors.New("session expired")

// Ensemble says which service is followed, and which of its paths.
type Ensemble struct {
	Addresses []string
	Path      string
	Session   float64 // wanted session time-out in milliseconds
}

func (e Ensemble) same(o Ensemble) bool {
	return slices.Equal(e.Addresses, o.Addresses) && e.Path == o.Path && e.Session == o.Session
}

// Client follows one path. It implements memory.Discovery: the module says when to watch again after a
// failure, with jitter.
type Client struct {
	Ensemble
	X   *memory.Exchange
	Log zerolog.Logger

	asks  chan struct{}
	moved chan struct{} // holds one token while a new ensemble waits to be followed

	mu     sync.Mutex
	wanted Ensemble
	hangUp context.CancelFunc // ends the connection that is open

	id      int64 // of the session, 0 for none
	secret  []byte
	zxid    int64
	next    int // which address to try
	nodes   map[string]memory.Listed
	granted float64
}

// NewClient returns a client of a service.
func NewClient(e Ensemble, x *memory.Exchange, log zerolog.Logger) *Client {
	e.Path = strings.TrimRight(e.Path, "/")
	return &Client{Ensemble: e, wanted: e, X: x, Log: log, asks: make(chan struct{}, 1), moved: make(chan struct{}, 1),
		nodes: map[string]memory.Listed{}}
}

// Move follows another service, or another path, at once. The connection that is open is ended, and the
// module does not hear of it: nothing has failed, and the servers known stay until the new list is there.
func (c *Client) Move(e Ensemble) {
	e.Path = strings.TrimRight(e.Path, "/")
	c.mu.Lock()
	defer c.mu.Unlock()
	if e.same(c.wanted) {
		return
	}
	c.wanted = e
	select {
	case c.moved <- struct{}{}:
	default:
	}
	if c.hangUp != nil {
		c.hangUp()
	}
}

// begin takes up the wanted service. Another one knows nothing of the session that there was.
func (c *Client) begin(ctx context.Context) context.Context {
	c.mu.Lock()
	defer c.mu.Unlock()
	select {
	case <-c.moved:
	default:
	}
	if !c.wanted.same(c.Ensemble) {
		c.Ensemble, c.id, c.secret, c.zxid, c.next = c.wanted, 0, nil, 0, 0
	}
	ctx, c.hangUp = context.WithCancel(ctx)
	return ctx
}

// Watch asks for the list and for changes from now on.
func (c *Client) Watch() {
	select {
	case c.asks <- struct{}{}:
	default: // one is waiting already
	}
}

// Fetch asks for the whole list: a watch begins with it.
func (c *Client) Fetch() { c.Watch() }

// Run follows the path whenever a watch is asked for, until the context ends.
func (c *Client) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.moved:
		case <-c.asks:
		}
		err := c.follow(c.begin(ctx))
		c.hangUp()
		if ctx.Err() != nil {
			return
		}
		if len(c.moved) > 0 {
			continue
		}
		select { // what was asked for meanwhile is answered by this end too
		case <-c.asks:
		default:
		}
		if errors.Is(err, errExpired) { // the next watch begins a new session and reads the whole list again
			c.id, c.secret = 0, nil
		}
		c.Log.Info().Err(err).Msg("watch of the ephemeral nodes ended")
		c.X.Members(decide.Failed, nil)
	}
}

// conn is one connection of the session.
type conn struct {
	net.Conn
	r     *bufio.Reader
	clock *memory.Clock
	xid   int32
	paths map[int32]string // data asked for and not answered, by xid
	list  int32            // xid of the children asked for, 0 if none
	again bool             // they have changed meanwhile
	first bool             // the whole list has not been told yet
}

// record writes fields one after the other; reader takes them apart.
type record []byte

func (b record) i32(x int32) record { return binary.BigEndian.AppendUint32(b, uint32(x)) }
func (b record) i64(x int64) record { return binary.BigEndian.AppendUint64(b, uint64(x)) }
func (b record) bytes(p []byte) record {
	return append(b.i32(int32(len(p))), p...)
}
func (b record) flag(x bool) record {
	if x {
		return append(b, 1)
	}
	return append(b, 0)
}

// reader reads fields; the first that is cut off spoils the rest.
type reader struct {
	p   []byte
	bad bool
}

func (r *reader) take(n int) []byte {
	if n < 0 || n > len(r.p) {
		r.bad, r.p = true, nil
		return make([]byte, 8)
	}
	p := r.p[:n]
	r.p = r.p[n:]
	return p
}
func (r *reader) i32() int32 { return int32(binary.BigEndian.Uint32(r.take(4))) }
func (r *reader) i64() int64 { return int64(binary.BigEndian.Uint64(r.take(8))) }
func (r *reader) bytes() []byte {
	n := r.i32()
	if n == -1 || r.bad { // null
		return nil
	}
	return r.take(int(n))
}

func (n *conn) send(b record, within float64) error {
	n.SetWriteDeadline(n.clock.Wall(n.clock.Now() + within))
	_, err := n.Write(append(record{}.i32(int32(len(b))), b...))
	return err
}

// frame reads one frame. A read that a deadline cuts short before its first byte loses nothing.
func (n *conn) frame(until float64) ([]byte, error) {
	n.SetReadDeadline(n.clock.Wall(until))
	if _, err := n.r.Peek(4); err != nil {
		return nil, err
	}
	head, _ := n.r.Peek(4)
	size := int32(binary.BigEndian.Uint32(head))
	if size < 0 || size > maxFrame {
		return nil, fmt.Errorf("frame of %d bytes", size)
	}
	n.r.Discard(4)
	p := make([]byte, size)
	_, err := io.ReadFull(n.r, p)
	return p, err
}

// ask sends a request for a path with its watch and returns the xid.
func (n *conn) ask(op int32, path string, within float64) (int32, error) {
	n.xid++
	return n.xid, n.send(record{}.i32(n.xid).i32(op).bytes([]byte(path)).flag(true), within)
}

// open connects to the next address and begins or takes up the session.
func (c *Client) open(ctx context.Context) (*conn, error) {
	address := c.Addresses[c.next%len(c.Addresses)]
	c.next++
	raw, err := link.Dial(ctx, address, c.Session/3)
	if err != nil {
		return nil, fmt.Errorf("dial: %w", err)
	}
	context.AfterFunc(ctx, func() { raw.Close() })
	n := &conn{Conn: raw, r: bufio.NewReader(raw), clock: c.X.Clock, paths: map[int32]string{}, first: true}
	secret := c.secret
	if secret == nil {
		secret = make([]byte, 16)
	}
	err = n.send(record{}.i32(0).i64(c.zxid).i32(int32(c.Session)).i64(c.id).bytes(secret).flag(false), c.Session/3)
	if err != nil {
		raw.Close()
		return nil, fmt.Errorf("connect request: %w", err)
	}
	p, err := n.frame(n.clock.Now() + c.Session/3)
	if err != nil {
		raw.Close()
		return nil, fmt.Errorf("connect response: %w", err)
	}
	r := &reader{p: p}
	r.i32()
	granted, id, pass := r.i32(), r.i64(), r.bytes()
	if r.bad || granted <= 0 || id == 0 {
		raw.Close()
		return nil, errExpired
	}
	c.granted, c.id, c.secret = float64(granted), id, append([]byte(nil), pass...)
	return n, nil
}

// follow holds one connection: it reads the whole list, then every change, and pings. A service that is
// silent for two thirds of the session has lost us.
func (c *Client) follow(ctx context.Context) error {
	n, err := c.open(ctx)
	if err != nil {
		return err
	}
	defer n.Close()
	if n.list, err = n.ask(opGetChildren, c.Path, c.granted/3); err != nil {
		return err
	}
	heard := n.clock.Now()
	for {
		p, err := n.frame(n.clock.Now() + c.granted/3)
		if link.TimedOut(err) && n.clock.Now()-heard < c.granted*2/3 {
			if err := n.send(record{}.i32(xidPing).i32(opPing), c.granted/3); err != nil {
				return fmt.Errorf("ping: %w", err)
			}
			continue
		}
		if err != nil {
			return fmt.Errorf("read: %w", err)
		}
		heard = n.clock.Now()
		if err := c.reply(n, &reader{p: p}); err != nil {
			return err
		}
	}
}

// reply takes one frame: an event, or the answer to a request.
func (c *Client) reply(n *conn, r *reader) error {
	xid, zxid, code := r.i32(), r.i64(), r.i32()
	if zxid > 0 {
		c.zxid = zxid
	}
	switch {
	case xid == xidPing:
	case xid == xidEvent:
		kind, state, path := r.i32(), r.i32(), string(r.bytes())
		if state == -112 {
			return errExpired
		}
		return c.event(n, kind, path)
	case xid == n.list:
		if code != 0 && code != errNoNode {
			return fmt.Errorf("children of %s: error %d", c.Path, code)
		}
		n.list = 0
		return c.children(n, r, code)
	default:
		name, ok := n.paths[xid]
		if !ok {
			return fmt.Errorf("answer to unknown request %d", xid)
		}
		delete(n.paths, xid)
		c.data(n, name, r, code)
	}
	if r.bad {
		return errors.New("frame cut off")
	}
	return nil
}

// event asks again for what a watch says has changed; a watch fires once, and asking sets it again.
func (c *Client) event(n *conn, kind int32, path string) (err error) {
	const deleted, dataChanged = 2, 3
	switch {
	case path == c.Path && n.list != 0:
		n.again = true
	case path == c.Path:
		n.list, err = n.ask(opGetChildren, c.Path, c.granted/3)
	case kind == dataChanged:
		err = c.get(n, strings.TrimPrefix(path, c.Path+"/"))
	case kind == deleted:
		c.gone(strings.TrimPrefix(path, c.Path+"/"))
	}
	return err
}

func (c *Client) get(n *conn, name string) error {
	xid, err := n.ask(opGetData, c.Path+"/"+name, c.granted/3)
	n.paths[xid] = name
	return err
}

// children compares the children with those known. On a new connection all data is read again.
func (c *Client) children(n *conn, r *reader, code int32) error {
	here := map[string]bool{}
	if code == 0 {
		count := r.i32()
		for i := int32(0); i < count && !r.bad; i++ {
			here[string(r.bytes())] = true
		}
		if r.bad {
			return errors.New("list of children cut off")
		}
	}
	if n.first { // who is not there any more is missing from the whole list told below
		c.nodes = map[string]memory.Listed{}
	}
	for name := range c.nodes {
		if !here[name] {
			c.gone(name)
		}
	}
	for name := range here {
		if _, known := c.nodes[name]; !known {
			if err := c.get(n, name); err != nil {
				return err
			}
		}
	}
	c.whole(n)
	if n.again {
		n.again = false
		var err error
		n.list, err = n.ask(opGetChildren, c.Path, c.granted/3)
		return err
	}
	return nil
}

// whole tells the whole list once all data of a new connection is there.
func (c *Client) whole(n *conn) {
	if !n.first || len(n.paths) > 0 {
		return
	}
	n.first = false
	list := make([]memory.Listed, 0, len(c.nodes))
	for _, l := range c.nodes {
		list = append(list, l)
	}
	c.X.Members(decide.Whole, list)
}

// gone drops a node. An ephemeral node vanishes with its server's session.
func (c *Client) gone(name string) {
	if l, known := c.nodes[name]; known {
		delete(c.nodes, name)
		l.Mode = decide.GoneMode
		c.X.Members(decide.Delta, []memory.Listed{l})
	}
}

// data takes one node's data. Data that makes no sense is logged, and its server is not used.
func (c *Client) data(n *conn, name string, r *reader, code int32) {
	defer c.whole(n)
	if code == errNoNode {
		c.gone(name)
		return
	}
	l, err := node(name, r.bytes())
	if code != 0 || err != nil {
		c.Log.Warn().Err(err).Int32("code", code).Str("node", name).Msg("bad node; skipped")
		c.gone(name)
		return
	}
	c.nodes[name] = l
	if !n.first {
		c.X.Members(decide.Delta, []memory.Listed{l})
	}
}

// node reads a node's JSON.
func node(name string, data []byte) (memory.Listed, error) {
	v, err := fastjson.ParseBytes(data)
	if err != nil {
		return memory.Listed{}, fmt.Errorf("data: %w", err)
	}
	l := memory.Listed{ID: name, Address: string(v.GetStringBytes("address")), Zone: string(v.GetStringBytes("zone")),
		Cell: int32(v.GetInt("cell")), Started: v.GetFloat64("startedAtMs"), Load: -1}
	if load := v.Get("load"); load != nil {
		l.Load = max(load.GetFloat64(), 0)
	}
	switch mode := string(v.GetStringBytes("lifecycle")); mode {
	case "Ready", "":
		l.Mode = decide.Ready
	case "Terminating":
		l.Mode = decide.Draining
	default:
		return l, fmt.Errorf("lifecycle %q", mode)
	}
	if _, _, err := net.SplitHostPort(l.Address); err != nil {
		return l, fmt.Errorf("address: %w", err)
	}
	return l, nil
}
