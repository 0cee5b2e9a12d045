// Package zookeeper follows a list of servers kept as ephemeral nodes: the children of a path, each with
// its address and lifecycle as JSON. It speaks ZooKeeper's own framing: a length, then big-endian records.
package zookeeper

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"github.com/valyala/fastjson"

	"capersail/decide"
	"capersail/internal/relay"
	"capersail/internal/wire/splice"
)

// The figures of ZooKeeper's client protocol that are used here.
const (
	opCreate      = 1
	opDelete      = 2
	opExists      = 3
	opGetData     = 4
	opSetData     = 5
	opGetChildren = 8
	opSync        = 9
	opPing        = 11
	opCheck       = 13
	opMulti       = 14
	opClose       = -11
	xidEvent      = -1
	xidPing       = -2
	errNoNode     = -101
	errBadVersion = -103
	errNodeExists = -110
	errNotEmpty   = -111
	errUndone     = -2 // of what a transaction did not come to
	stateExpired  = -112

	maxFrame = 4 << 20
)

// errExpired says that the service has forgotten the session, and with it every watch.
var errExpired = errors.New("session expired")

// Ensemble says which service is followed, and which of its paths.
type Ensemble struct {
	Addresses []string
	Path      string
	Session   time.Duration // the session time-out to ask for
}

func (e Ensemble) same(o Ensemble) bool {
	return slices.Equal(e.Addresses, o.Addresses) && e.Path == o.Path && e.Session == o.Session
}

// Client follows one path. It implements relay.Discovery: the module says when to watch again after a
// failure, with jitter.
type Client struct {
	Ensemble
	X   *relay.RequestTable
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
	nodes   map[string]relay.Endpoint
	granted time.Duration // the session time-out
}

// NewClient returns a client of a service.
func NewClient(e Ensemble, x *relay.RequestTable, log zerolog.Logger) *Client {
	e.Path = strings.TrimRight(e.Path, "/")
	return &Client{Ensemble: e, wanted: e, X: x, Log: log, asks: make(chan struct{}, 1), moved: make(chan struct{}, 1),
		nodes: map[string]relay.Endpoint{}}
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
		c.X.UpdateEndpoints(decide.WatchFailed, nil)
	}
}

// conn is one connection of the session, and what the list has asked for on it.
type conn struct {
	net.Conn
	r     *bufio.Reader
	clock *relay.Clock
	xid   int32
	paths map[int32]string // data asked for and not answered, by xid
	list  int32            // xid of the children asked for, 0 if none
	again bool             // they have changed meanwhile
	first bool             // the whole list has not been told yet
}

// ask sends a request for a path with its watch and returns the xid.
func (n *conn) ask(op int32, path string, within time.Duration) (int32, error) {
	n.xid++
	return n.xid, n.send(record{}.i32(n.xid).i32(op).bytes([]byte(path)).flag(true), within)
}

// open connects to the next address and begins or takes up the session.
func (c *Client) open(ctx context.Context) (*conn, error) {
	address := c.Addresses[c.next%len(c.Addresses)]
	c.next++
	raw, err := splice.Dial(ctx, address, c.Session/3)
	if err != nil {
		return nil, fmt.Errorf("dial: %w", err)
	}
	context.AfterFunc(ctx, func() { raw.Close() })
	n := &conn{Conn: raw, r: bufio.NewReader(raw), clock: c.X.Clock, paths: map[int32]string{}, first: true}
	h, err := n.shake(hello{id: c.id, secret: c.secret, zxid: c.zxid, timeout: c.Session})
	if err != nil {
		raw.Close()
		return nil, err
	}
	c.granted, c.id, c.secret = h.timeout, h.id, h.secret
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
		if splice.TimedOut(err) && n.clock.Now()-heard < c.granted*2/3 {
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
		if state == stateExpired {
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
		c.nodes = map[string]relay.Endpoint{}
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
	list := make([]relay.Endpoint, 0, len(c.nodes))
	for _, l := range c.nodes {
		list = append(list, l)
	}
	c.X.UpdateEndpoints(decide.Snapshot, list)
}

// gone drops a node. An ephemeral node vanishes with its server's session.
func (c *Client) gone(name string) {
	if l, known := c.nodes[name]; known {
		delete(c.nodes, name)
		l.Mode = decide.Removed
		c.X.UpdateEndpoints(decide.Delta, []relay.Endpoint{l})
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
		c.X.UpdateEndpoints(decide.Delta, []relay.Endpoint{l})
	}
}

// node reads a node's JSON.
func node(name string, data []byte) (relay.Endpoint, error) {
	v, err := fastjson.ParseBytes(data)
	if err != nil {
		return relay.Endpoint{}, fmt.Errorf("data: %w", err)
	}
	l := relay.Endpoint{ID: name, Address: string(v.GetStringBytes("address")), Zone: string(v.GetStringBytes("zone")),
		Cell: int32(v.GetInt("cell")), StartedAt: relay.FromUnixMillis(v.GetFloat64("startedAtMs")), Load: -1}
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
