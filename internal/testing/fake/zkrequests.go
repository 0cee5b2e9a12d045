package fake

import (
	"path"
	"strings"
	"time"
)

// The protocol's operations.
const (
	opCreate   = 1
	opDelete   = 2
	opExists   = 3
	opGetData  = 4
	opSetData  = 5
	opChildren = 8
	opSync     = 9
	opPing     = 11
	opCheck    = 13
	opMulti    = 14
	opClose    = -11
)

// The protocol's error codes.
const (
	zInconsistent  = -2 // a part of a transaction whose other part failed
	zUnimplemented = -6
	zNoNode        = -101
	zBadVersion    = -103
	zNoChildren    = -108
	zExists        = -110
	zNotEmpty      = -111
)

// answer does one request and queues its answer. It returns false if the connection is to end.
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
	case opPing:
	case opClose:
		z.end(c.session)
		return false
	case opMulti:
		body = z.multi(c, in)
		if z.faults.swallow > 0 {
			z.faults.swallow--
			return false
		}
	case opChildren:
		code, body = z.children(c, in)
	default:
		code, body, _ = z.step(c, op, in)
	}
	frame := append(u32(u64(u32(nil, xid), z.zxid), code), body...)
	if z.faults.hold > 0 && op != opPing {
		z.holdBack(c, frame)
		return true
	}
	c.frame(frame, time.Now().Add(z.faults.delay))
	return true
}

// holdBack keeps an answer until there are as many as the fault asks for, and sends them all then.
func (z *ZooKeeper) holdBack(c *zkConn, frame []byte) {
	c.held = append(c.held, zreply{frame: frame})
	if len(c.held) < z.faults.hold {
		return
	}
	for _, r := range c.held {
		c.frame(r.frame, time.Time{})
	}
	c.held = nil
	z.faults.hold = 0
}

// children lists a node's children, and watches them if asked to.
func (z *ZooKeeper) children(c *zkConn, in *zin) (code int, body []byte) {
	dir := in.str()
	if z.nodes[dir] == nil {
		return zNoNode, nil
	}
	c.list = c.list || in.flag() && dir == z.path
	n := 0
	for p := range z.nodes {
		if p != "/" && path.Dir(p) == dir {
			body = str(body, path.Base(p))
			n++
		}
	}
	return 0, append(u32(nil, n), body...)
}

// step does one request, or one part of a transaction; undo takes it back.
func (z *ZooKeeper) step(c *zkConn, op int, in *zin) (code int, body []byte, undo func()) {
	undo = func() {}
	p := in.str()
	n := z.nodes[p]
	if n == nil && op != opCreate && op != opSync {
		switch op {
		case opSetData:
			in.str()
			in.i32()
		case opDelete, opCheck:
			in.i32()
		}
		return zNoNode, nil, undo
	}
	switch op {
	case opCreate:
		return z.create(c, p, in)
	case opDelete:
		return z.delete(p, in)
	case opExists:
		return 0, n.stat(nil), undo
	case opGetData:
		if in.flag() {
			c.data[p] = true
		}
		return 0, n.stat(str(nil, n.data)), undo
	case opSetData:
		return z.setData(p, in)
	case opSync:
		return 0, str(nil, p), undo
	case opCheck:
		if !n.hasVersion(in.i32()) {
			return zBadVersion, nil, undo
		}
		return 0, nil, undo
	}
	return zUnimplemented, nil, undo
}

// hasVersion tells whether a request that asks for a version may change the node; -1 is any.
func (n *znode) hasVersion(version int) bool {
	return version == -1 || version == n.version
}

func (z *ZooKeeper) create(c *zkConn, p string, in *zin) (code int, body []byte, undo func()) {
	undo = func() {}
	data := in.str()
	in.skipACL()
	flags := in.i32()
	parent := z.nodes[path.Dir(p)]
	switch {
	case parent == nil:
		return zNoNode, nil, undo
	case parent.owner != 0:
		return zNoChildren, nil, undo
	case z.nodes[p] != nil:
		return zExists, nil, undo
	}
	made := &znode{data: data}
	if flags&1 != 0 {
		made.owner = c.session.id
	}
	z.add(p, made)
	return 0, str(nil, p), func() { delete(z.nodes, p) }
}

func (z *ZooKeeper) delete(p string, in *zin) (code int, body []byte, undo func()) {
	undo = func() {}
	n := z.nodes[p]
	if !n.hasVersion(in.i32()) {
		return zBadVersion, nil, undo
	}
	for o := range z.nodes {
		if strings.HasPrefix(o, p+"/") {
			return zNotEmpty, nil, undo
		}
	}
	z.remove(p)
	return 0, nil, func() { z.nodes[p] = n }
}

func (z *ZooKeeper) setData(p string, in *zin) (code int, body []byte, undo func()) {
	undo = func() {}
	n := z.nodes[p]
	data, version := in.str(), in.i32()
	if !n.hasVersion(version) {
		return zBadVersion, nil, undo
	}
	was := *n
	z.zxid++
	n.data = data
	n.version++
	z.fire(p, watchData)
	return 0, n.stat(nil), func() { *n = was }
}
