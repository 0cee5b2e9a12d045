// Package fake holds the outside systems that tests speak to, written from their public specifications:
// a service of ephemeral nodes, an XMPP server, and the platform's servers and list. Nothing that serves imports
// it; the program's demo runs on it.
package fake

import (
	"encoding/binary"
	"io"
	"net"
	"path"
	"strings"
	"sync"
	"time"
)

// ZooKeeper is a tree of nodes with sessions, as far as the relay uses one: create, delete, exists, getData,
// setData, getChildren, sync, multi, pings, watches that fire once, and sessions that end by silence.
type ZooKeeper struct {
	Address string

	path     string // whose children Set writes
	l        net.Listener
	mu       sync.Mutex
	nodes    map[string]*znode
	sessions map[int64]*zsession
	lastID   int64
	zxid     int64
	faults   zfaults
	thawed   *sync.Cond
}

type znode struct {
	data    string
	version int
	owner   int64
}

type zsession struct {
	id      int64
	timeout time.Duration
	heard   time.Time
	conn    *zkConn
}

type zfaults struct {
	refuse  bool
	frozen  bool
	delay   time.Duration
	hold    int // so many requests must have come before the first of them is answered
	swallow int // so many transactions are done, and their connection is cut instead of an answer
}

type zkConn struct {
	net.Conn
	session *zsession
	out     chan zreply
	list    bool // watches the children
	data    map[string]bool
	held    []zreply
}

type zreply struct {
	frame []byte
	at    time.Time
}

// The protocol's error codes.
const (
	zNoNode     = -101
	zBadVersion = -103
	zNoChildren = -108
	zExists     = -110
	zNotEmpty   = -111
)

// NewZooKeeper starts the service on loopback. path and its parents exist from the start.
func NewZooKeeper(root string) (*ZooKeeper, error) { return NewZooKeeperAt("127.0.0.1:0", root) }

// NewZooKeeperAt starts it at an address.
func NewZooKeeperAt(address, root string) (*ZooKeeper, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	z := &ZooKeeper{Address: l.Addr().String(), path: root, l: l, nodes: map[string]*znode{"/": {}}, sessions: map[int64]*zsession{}}
	z.thawed = sync.NewCond(&z.mu)
	for p := root; p != "/"; p = path.Dir(p) {
		z.nodes[p] = &znode{}
	}
	go z.accept(l)
	go func() {
		for range time.Tick(20 * time.Millisecond) {
			z.mu.Lock()
			for _, s := range z.sessions {
				if !z.faults.frozen && time.Since(s.heard) >= s.timeout {
					z.end(s)
				}
			}
			z.mu.Unlock()
		}
	}()
	return z, nil
}

func (z *ZooKeeper) accept(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go z.serve(&zkConn{Conn: c, data: map[string]bool{}, out: make(chan zreply, 1<<16)})
	}
}

// Also listens on one more address, as another member of the ensemble does.
func (z *ZooKeeper) Also() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	go z.accept(l)
	return l.Addr().String(), nil
}

// Close ends the first address, and every connection; sessions live on for what else listens.
func (z *ZooKeeper) Close() {
	z.l.Close()
	z.mu.Lock()
	defer z.mu.Unlock()
	z.cut()
}

// Set creates a node or changes its data; "" removes it, as the end of its owner's session does.
func (z *ZooKeeper) Set(name, data string) {
	z.mu.Lock()
	defer z.mu.Unlock()
	full := z.path + "/" + name
	switch n := z.nodes[full]; {
	case data == "":
		z.remove(full)
	case n == nil:
		z.add(full, &znode{data: data})
	default:
		n.data = data
		n.version++
		z.fire(full, 3)
	}
}

// Nodes lists the paths under a prefix that have nodes.
func (z *ZooKeeper) Nodes(prefix string) (all []string) {
	z.mu.Lock()
	defer z.mu.Unlock()
	for p := range z.nodes {
		if strings.HasPrefix(p, prefix) {
			all = append(all, p)
		}
	}
	return all
}

// Expire forgets every session, with its ephemeral nodes.
func (z *ZooKeeper) Expire() {
	z.mu.Lock()
	defer z.mu.Unlock()
	for _, s := range z.sessions {
		z.end(s)
	}
}

// Cut ends every connection; sessions live on.
func (z *ZooKeeper) Cut() {
	z.mu.Lock()
	defer z.mu.Unlock()
	z.cut()
}

func (z *ZooKeeper) cut() {
	for _, s := range z.sessions {
		if s.conn != nil {
			s.conn.Close()
		}
	}
}

// Refuse makes the service unreachable, or reachable again. Sessions go on ageing.
func (z *ZooKeeper) Refuse(on bool) {
	z.mu.Lock()
	defer z.mu.Unlock()
	z.faults.refuse = on
	if on {
		z.cut()
	}
}

// Freeze stops the service in the middle of everything: it reads nothing, answers nothing, expires nothing.
func (z *ZooKeeper) Freeze(on bool) {
	z.mu.Lock()
	defer z.mu.Unlock()
	z.faults.frozen = on
	z.thawed.Broadcast()
}

// Delay lets every answer take so long; answers to requests that came together come together.
func (z *ZooKeeper) Delay(d time.Duration) {
	z.mu.Lock()
	defer z.mu.Unlock()
	z.faults.delay = d
}

// Hold answers nothing until n requests, but for pings, have come on one connection.
func (z *ZooKeeper) Hold(n int) {
	z.mu.Lock()
	defer z.mu.Unlock()
	z.faults.hold = n
}

// Swallow does the next n transactions without an answer and cuts their connections.
func (z *ZooKeeper) Swallow(n int) {
	z.mu.Lock()
	defer z.mu.Unlock()
	z.faults.swallow = n
}

func (z *ZooKeeper) end(s *zsession) {
	delete(z.sessions, s.id)
	if s.conn != nil {
		s.conn.Close()
	}
	for p, n := range z.nodes {
		if n.owner == s.id {
			z.remove(p)
		}
	}
}

func (z *ZooKeeper) add(p string, n *znode) {
	z.zxid++
	z.nodes[p] = n
	z.fire(path.Dir(p), 4)
}

func (z *ZooKeeper) remove(p string) {
	if z.nodes[p] == nil {
		return
	}
	z.zxid++
	delete(z.nodes, p)
	z.fire(p, 2)
	z.fire(path.Dir(p), 4)
}

// fire tells the watches of a path: 2 deleted, 3 data changed, 4 children changed.
func (z *ZooKeeper) fire(p string, kind int) {
	for _, s := range z.sessions {
		c := s.conn
		switch {
		case c == nil:
		case kind == 4 && p == z.path && c.list:
			c.list = false
			c.event(kind, p)
		case kind != 4 && c.data[p]:
			delete(c.data, p)
			c.event(kind, p)
		}
	}
}

func u32(b []byte, x int) []byte    { return binary.BigEndian.AppendUint32(b, uint32(int32(x))) }
func u64(b []byte, x int64) []byte  { return binary.BigEndian.AppendUint64(b, uint64(x)) }
func str(b []byte, s string) []byte { return append(u32(b, len(s)), s...) }

func (c *zkConn) frame(b []byte, at time.Time) {
	select {
	case c.out <- zreply{append(u32(nil, len(b)), b...), at}:
	default:
		c.Close()
	}
}

func (c *zkConn) event(kind int, node string) {
	c.frame(str(u32(u32(u32(u64(u32(nil, -1), -1), 0), kind), 3), node), time.Time{})
}

func (c *zkConn) read() ([]byte, error) {
	var head [4]byte
	if _, err := io.ReadFull(c, head[:]); err != nil {
		return nil, err
	}
	p := make([]byte, binary.BigEndian.Uint32(head[:]))
	_, err := io.ReadFull(c, p)
	return p, err
}

func (z *ZooKeeper) serve(c *zkConn) {
	defer c.Close()
	hello, err := c.read()
	if err != nil || len(hello) < 28 {
		return
	}
	id, timeout := int64(binary.BigEndian.Uint64(hello[16:])), int(binary.BigEndian.Uint32(hello[12:]))
	z.mu.Lock()
	for z.faults.frozen {
		z.thawed.Wait()
	}
	if z.faults.refuse {
		z.mu.Unlock()
		return
	}
	s := z.sessions[id]
	if id == 0 {
		z.lastID++
		s = &zsession{id: z.lastID}
		z.sessions[s.id] = s
	}
	if s == nil {
		timeout, s = 0, &zsession{conn: c}
	} else if s.conn != nil {
		s.conn.Close()
	}
	s.conn, s.timeout, s.heard, c.session = c, time.Duration(timeout)*time.Millisecond, time.Now(), s
	c.frame(str(u64(u32(u32(nil, 0), timeout), s.id), "0123456789abcdef"), time.Time{})
	z.mu.Unlock()
	go func() {
		for r := range c.out {
			time.Sleep(time.Until(r.at))
			if _, err := c.Write(r.frame); err != nil {
				c.Close()
			}
		}
	}()
	defer close(c.out)
	defer func() {
		z.mu.Lock()
		if s.conn == c {
			s.conn = nil
		}
		z.mu.Unlock()
	}()
	for {
		p, err := c.read()
		if err != nil || len(p) < 8 || !z.answer(c, p) {
			return
		}
	}
}

// zin reads a request's fields.
type zin struct{ p []byte }

func (r *zin) i32() int {
	x := int(int32(binary.BigEndian.Uint32(r.p)))
	r.p = r.p[4:]
	return x
}
func (r *zin) str() string {
	n := max(0, r.i32())
	s := string(r.p[:n])
	r.p = r.p[n:]
	return s
}
func (r *zin) flag() bool {
	x := r.p[0] == 1
	r.p = r.p[1:]
	return x
}

func (z *ZooKeeper) answer(c *zkConn, p []byte) bool {
	z.mu.Lock()
	defer z.mu.Unlock()
	for z.faults.frozen {
		z.thawed.Wait()
	}
	if z.sessions[c.session.id] != c.session || c.session.conn != c || z.faults.refuse {
		return false
	}
	c.session.heard = time.Now()
	in := &zin{p}
	xid, op := in.i32(), in.i32()
	code, body := 0, []byte(nil)
	switch op {
	case 11: // ping
	case -11: // close session
		z.end(c.session)
		return false
	case 14:
		body = z.multi(c, in)
		if z.faults.swallow > 0 {
			z.faults.swallow--
			return false
		}
	case 8:
		dir := in.str()
		if z.nodes[dir] == nil {
			code = zNoNode
			break
		}
		c.list = c.list || in.flag() && dir == z.path
		n := 0
		for p := range z.nodes {
			if p != "/" && path.Dir(p) == dir {
				body = str(body, path.Base(p))
				n++
			}
		}
		body = append(u32(nil, n), body...)
	default:
		code, body, _ = z.step(c, op, in)
	}
	frame := append(u32(u64(u32(nil, xid), z.zxid), code), body...)
	if z.faults.hold > 0 && op != 11 {
		if c.held = append(c.held, zreply{frame: frame}); len(c.held) >= z.faults.hold {
			for _, r := range c.held {
				c.frame(r.frame, time.Time{})
			}
			c.held, z.faults.hold = nil, 0
		}
		return true
	}
	c.frame(frame, time.Now().Add(z.faults.delay))
	return true
}

// step does one request, or one part of a transaction; undo takes it back.
func (z *ZooKeeper) step(c *zkConn, op int, in *zin) (code int, body []byte, undo func()) {
	undo = func() {}
	p := in.str()
	n := z.nodes[p]
	if n == nil && op != 1 && op != 9 {
		switch op {
		case 5:
			in.str()
			in.i32()
		case 2, 13:
			in.i32()
		}
		return zNoNode, nil, undo
	}
	switch op {
	case 1:
		data := in.str()
		for acl := in.i32(); acl > 0; acl-- {
			in.i32()
			in.str()
			in.str()
		}
		flags := in.i32()
		parent := z.nodes[path.Dir(p)]
		switch {
		case parent == nil:
			return zNoNode, nil, undo
		case parent.owner != 0:
			return zNoChildren, nil, undo
		case n != nil:
			return zExists, nil, undo
		}
		made := &znode{data: data}
		if flags&1 != 0 {
			made.owner = c.session.id
		}
		z.add(p, made)
		return 0, str(nil, p), func() { delete(z.nodes, p) }
	case 2:
		version := in.i32()
		if version != -1 && version != n.version {
			return zBadVersion, nil, undo
		}
		for o := range z.nodes {
			if strings.HasPrefix(o, p+"/") {
				return zNotEmpty, nil, undo
			}
		}
		z.remove(p)
		return 0, nil, func() { z.nodes[p] = n }
	case 3:
		return 0, n.stat(nil), undo
	case 4:
		if in.flag() {
			c.data[p] = true
		}
		return 0, n.stat(str(nil, n.data)), undo
	case 5:
		data, version := in.str(), in.i32()
		if version != -1 && version != n.version {
			return zBadVersion, nil, undo
		}
		was := *n
		z.zxid++
		n.data, n.version = data, n.version+1
		z.fire(p, 3)
		return 0, n.stat(nil), func() { *n = was }
	case 9:
		return 0, str(nil, p), undo
	case 13:
		if version := in.i32(); version != -1 && version != n.version {
			return zBadVersion, nil, undo
		}
		return 0, nil, undo
	}
	return -6, nil, undo // unimplemented
}

func (n *znode) stat(b []byte) []byte {
	b = append(b, make([]byte, 32)...)
	b = u64(u32(u32(u32(b, n.version), 0), 0), n.owner)
	return u64(u32(u32(b, len(n.data)), 0), 0)
}

// multi does all parts or none.
func (z *ZooKeeper) multi(c *zkConn, in *zin) []byte {
	var undos []func()
	var ops, codes []int
	var bodies [][]byte
	failed := false
	for {
		op, last := in.i32(), in.flag()
		in.i32()
		if last {
			break
		}
		code, body := -2, []byte(nil)
		if failed {
			z.skip(op, in)
		} else {
			var undo func()
			code, body, undo = z.step(c, op, in)
			undos = append(undos, undo)
			failed = code != 0
		}
		ops, codes, bodies = append(ops, op), append(codes, code), append(bodies, body)
	}
	var out []byte
	for i := range ops {
		if failed {
			out = u32(u32(append(u32(out, -1), 0), codes[i]), codes[i])
		} else {
			out = append(u32(append(u32(out, ops[i]), 0), 0), bodies[i]...)
		}
	}
	for i := len(undos) - 1; failed && i >= 0; i-- {
		undos[i]()
	}
	return u32(append(u32(out, -1), 1), -1)
}

// skip reads a part that is not done.
func (z *ZooKeeper) skip(op int, in *zin) {
	in.str()
	switch op {
	case 1:
		in.str()
		for acl := in.i32(); acl > 0; acl-- {
			in.i32()
			in.str()
			in.str()
		}
		in.i32()
	case 5:
		in.str()
		in.i32()
	default:
		in.i32()
	}
}
