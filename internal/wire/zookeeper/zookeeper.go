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
	opCreate                 = 1
	opDelete                 = 2
	opExists                 = 3
	opGetData                = 4
	opSetData                = 5
	opGetChildren            = 8
	opSync                   = 9
	opPing                   = 11
	opCheck                  = 13
	opMulti                  = 14
	opClose                  = -11
	xidEvent                 = -1
	xidPing                  = -2
	codeNoNode               = -101
	codeBadVersion           = -103
	codeNodeExists           = -110
	codeNotEmpty             = -111
	codeRuntimeInconsistency = -2 // of what a transaction did not come to
	stateExpired             = -112

	maxFrameBytes = 4 << 20
)

// errExpired says that the service has forgotten the session, and with it every watch.
var errExpired = errors.New("session expired")

// Ensemble says which service is followed, and which of its paths.
type Ensemble struct {
	Addresses      []string
	Path           string
	SessionTimeout time.Duration // the session time-out to ask for
}

func (e Ensemble) equal(o Ensemble) bool {
	return slices.Equal(e.Addresses, o.Addresses) && e.Path == o.Path && e.SessionTimeout == o.SessionTimeout
}

// Client follows one path. It implements relay.Discovery: the module says when to watch again after a
// failure, with jitter.
type Client struct {
	Ensemble
	Requests *relay.RequestTable
	Log      zerolog.Logger

	watchWanted     chan struct{}
	ensembleChanged chan struct{} // holds one token while a new ensemble waits to be followed

	mu        sync.Mutex
	wanted    Ensemble
	closeConn context.CancelFunc // ends the connection that is open

	sessionID      int64 // of the session, 0 for none
	password       []byte
	lastZxid       int64
	nextAddress    int // which address to try
	nodes          map[string]relay.Endpoint
	sessionTimeout time.Duration // the session time-out
}

// NewClient returns a client of a service.
func NewClient(e Ensemble, x *relay.RequestTable, log zerolog.Logger) *Client {
	e.Path = strings.TrimRight(e.Path, "/")
	return &Client{Ensemble: e, wanted: e, Requests: x, Log: log, watchWanted: make(chan struct{}, 1), ensembleChanged: make(chan struct{}, 1),
		nodes: map[string]relay.Endpoint{}}
}

// SetEnsemble follows another service, or another path, at once. The connection that is open is ended, and the
// module does not hear of it: nothing has failed, and the servers known stay until the new list is there.
func (c *Client) SetEnsemble(e Ensemble) {
	e.Path = strings.TrimRight(e.Path, "/")
	c.mu.Lock()
	defer c.mu.Unlock()
	if e.equal(c.wanted) {
		return
	}
	c.wanted = e
	select {
	case c.ensembleChanged <- struct{}{}:
	default:
	}
	if c.closeConn != nil {
		c.closeConn()
	}
}

// beginConnection takes up the wanted service. Another one knows nothing of the session that there was.
func (c *Client) beginConnection(ctx context.Context) context.Context {
	c.mu.Lock()
	defer c.mu.Unlock()
	select {
	case <-c.ensembleChanged:
	default:
	}
	if !c.wanted.equal(c.Ensemble) {
		c.Ensemble, c.sessionID, c.password, c.lastZxid, c.nextAddress = c.wanted, 0, nil, 0, 0
	}
	ctx, c.closeConn = context.WithCancel(ctx)
	return ctx
}

// Watch asks for the list and for changes from now on.
func (c *Client) Watch() {
	select {
	case c.watchWanted <- struct{}{}:
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
		case <-c.ensembleChanged:
		case <-c.watchWanted:
		}
		err := c.watchPath(c.beginConnection(ctx))
		c.closeConn()
		if ctx.Err() != nil {
			return
		}
		if len(c.ensembleChanged) > 0 {
			continue
		}
		select { // what was asked for meanwhile is answered by this end too
		case <-c.watchWanted:
		default:
		}
		if errors.Is(err, errExpired) { // the next watch begins a new session and reads the whole list again
			c.sessionID, c.password = 0, nil
		}
		c.Log.Info().Err(err).Msg("watch of the ephemeral nodes ended")
		c.Requests.UpdateEndpoints(decide.WatchFailed, nil)
	}
}

// conn is one connection of the session, and what the list has asked for on it.
type conn struct {
	net.Conn
	buffered        *bufio.Reader
	clock           *relay.Clock
	lastXid         int32
	nodeByXid       map[int32]string // data asked for and not answered, by xid
	childrenXid     int32            // xid of the children asked for, 0 if none
	childrenChanged bool             // they have changed meanwhile
	snapshotDue     bool             // the whole list has not been told yet
}

// sendWatch sends a request for a path with its watch and returns the xid.
func (n *conn) sendWatch(op int32, path string, within time.Duration) (int32, error) {
	n.lastXid++
	return n.lastXid, n.writeFrame(encoder{}.i32(n.lastXid).i32(op).bytes([]byte(path)).flag(true), within)
}

// connect connects to the next address and begins or takes up the session.
func (c *Client) connect(ctx context.Context) (*conn, error) {
	address := c.Addresses[c.nextAddress%len(c.Addresses)]
	c.nextAddress++
	raw, err := splice.Dial(ctx, address, c.SessionTimeout/3)
	if err != nil {
		return nil, fmt.Errorf("dial: %w", err)
	}
	context.AfterFunc(ctx, func() { raw.Close() })
	n := &conn{Conn: raw, buffered: bufio.NewReader(raw), clock: c.Requests.Clock, nodeByXid: map[int32]string{}, snapshotDue: true}
	h, err := n.handshake(sessionState{sessionID: c.sessionID, password: c.password, lastZxid: c.lastZxid, timeout: c.SessionTimeout})
	if err != nil {
		raw.Close()
		return nil, err
	}
	c.sessionTimeout, c.sessionID, c.password = h.timeout, h.sessionID, h.password
	return n, nil
}

// watchPath holds one connection: it reads the whole list, then every change, and pings. A service that is
// silent for two thirds of the session has lost us.
func (c *Client) watchPath(ctx context.Context) error {
	n, err := c.connect(ctx)
	if err != nil {
		return err
	}
	defer n.Close()
	if n.childrenXid, err = n.sendWatch(opGetChildren, c.Path, c.sessionTimeout/3); err != nil {
		return err
	}
	heard := n.clock.Now()
	for {
		p, err := n.readFrame(n.clock.Now() + c.sessionTimeout/3)
		if splice.TimedOut(err) && n.clock.Now()-heard < c.sessionTimeout*2/3 {
			if err := n.writeFrame(encoder{}.i32(xidPing).i32(opPing), c.sessionTimeout/3); err != nil {
				return fmt.Errorf("ping: %w", err)
			}
			continue
		}
		if err != nil {
			return fmt.Errorf("read: %w", err)
		}
		heard = n.clock.Now()
		if err := c.handleFrame(n, &decoder{rest: p}); err != nil {
			return err
		}
	}
}

// handleFrame takes one frame: an event, or the answer to a request.
func (c *Client) handleFrame(n *conn, r *decoder) error {
	xid, zxid, code := r.i32(), r.i64(), r.i32()
	if zxid > 0 {
		c.lastZxid = zxid
	}
	switch {
	case xid == xidPing:
	case xid == xidEvent:
		kind, state, path := r.i32(), r.i32(), string(r.bytes())
		if state == stateExpired {
			return errExpired
		}
		return c.handleEvent(n, kind, path)
	case xid == n.childrenXid:
		if code != 0 && code != codeNoNode {
			return fmt.Errorf("children of %s: error %d", c.Path, code)
		}
		n.childrenXid = 0
		return c.handleChildren(n, r, code)
	default:
		name, ok := n.nodeByXid[xid]
		if !ok {
			return fmt.Errorf("answer to unknown request %d", xid)
		}
		delete(n.nodeByXid, xid)
		c.handleNodeData(n, name, r, code)
	}
	if r.truncated {
		return errors.New("frame cut off")
	}
	return nil
}

// handleEvent asks again for what a watch says has changed; a watch fires once, and asking sets it again.
func (c *Client) handleEvent(n *conn, kind int32, path string) (err error) {
	const deleted, dataChanged = 2, 3
	switch {
	case path == c.Path && n.childrenXid != 0:
		n.childrenChanged = true
	case path == c.Path:
		n.childrenXid, err = n.sendWatch(opGetChildren, c.Path, c.sessionTimeout/3)
	case kind == dataChanged:
		err = c.fetchNode(n, strings.TrimPrefix(path, c.Path+"/"))
	case kind == deleted:
		c.removeNode(strings.TrimPrefix(path, c.Path+"/"))
	}
	return err
}

func (c *Client) fetchNode(n *conn, name string) error {
	xid, err := n.sendWatch(opGetData, c.Path+"/"+name, c.sessionTimeout/3)
	n.nodeByXid[xid] = name
	return err
}

// handleChildren compares the handleChildren with those known. On a new connection all data is read again.
func (c *Client) handleChildren(n *conn, r *decoder, code int32) error {
	here := map[string]bool{}
	if code == 0 {
		count := r.i32()
		for i := int32(0); i < count && !r.truncated; i++ {
			here[string(r.bytes())] = true
		}
		if r.truncated {
			return errors.New("list of children cut off")
		}
	}
	if n.snapshotDue { // who is not there any more is missing from the whole list told below
		c.nodes = map[string]relay.Endpoint{}
	}
	for name := range c.nodes {
		if !here[name] {
			c.removeNode(name)
		}
	}
	for name := range here {
		if _, known := c.nodes[name]; !known {
			if err := c.fetchNode(n, name); err != nil {
				return err
			}
		}
	}
	c.publishSnapshot(n)
	if n.childrenChanged {
		n.childrenChanged = false
		var err error
		n.childrenXid, err = n.sendWatch(opGetChildren, c.Path, c.sessionTimeout/3)
		return err
	}
	return nil
}

// publishSnapshot tells the publishSnapshot list once all data of a new connection is there.
func (c *Client) publishSnapshot(n *conn) {
	if !n.snapshotDue || len(n.nodeByXid) > 0 {
		return
	}
	n.snapshotDue = false
	list := make([]relay.Endpoint, 0, len(c.nodes))
	for _, l := range c.nodes {
		list = append(list, l)
	}
	c.Requests.UpdateEndpoints(decide.Snapshot, list)
}

// removeNode drops a node. An ephemeral node vanishes with its server's session.
func (c *Client) removeNode(name string) {
	if l, known := c.nodes[name]; known {
		delete(c.nodes, name)
		l.Mode = decide.Removed
		c.Requests.UpdateEndpoints(decide.Delta, []relay.Endpoint{l})
	}
}

// handleNodeData takes one node's handleNodeData. Data that makes no sense is logged, and its server is not used.
func (c *Client) handleNodeData(n *conn, name string, r *decoder, code int32) {
	defer c.publishSnapshot(n)
	if code == codeNoNode {
		c.removeNode(name)
		return
	}
	l, err := parseNode(name, r.bytes())
	if code != 0 || err != nil {
		c.Log.Warn().Err(err).Int32("code", code).Str("node", name).Msg("bad node; skipped")
		c.removeNode(name)
		return
	}
	c.nodes[name] = l
	if !n.snapshotDue {
		c.Requests.UpdateEndpoints(decide.Delta, []relay.Endpoint{l})
	}
}

// parseNode reads a parseNode's JSON.
func parseNode(name string, data []byte) (relay.Endpoint, error) {
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
