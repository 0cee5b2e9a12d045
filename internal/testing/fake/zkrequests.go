package fake

import (
	"path"
	"strings"
	"time"
)

// Operation codes of the protocol.
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

// ephemeralFlag marks a create request whose node is deleted when its session ends.
const ephemeralFlag = 1

// Error codes of the protocol.
const (
	zInconsistent  = -2 // an operation of a transaction in which another operation failed
	zUnimplemented = -6
	zNoNode        = -101
	zBadVersion    = -103
	zNoChildren    = -108
	zExists        = -110
	zNotEmpty      = -111
)

// answer executes one request and queues its answer. It returns false if the connection must be closed.
func (z *ZooKeeper) answer(c *zkConn, p []byte) bool {
	z.mu.Lock()
	defer z.mu.Unlock()
	for z.faults.frozen {
		z.unfrozen.Wait()
	}
	if z.sessions[c.session.id] != c.session || c.session.conn != c || z.faults.unreachable {
		return false
	}
	c.session.lastRequestAt = time.Now()
	in := &zkReader{p}
	xid, op := in.readInt(), in.readInt()
	code, body := 0, []byte(nil)
	switch op {
	case opPing:
	case opClose:
		z.endSession(c.session)
		return false
	case opMulti:
		body = z.performTransaction(c, in)
		if z.faults.dropAnswers > 0 {
			z.faults.dropAnswers--
			return false
		}
	case opChildren:
		code, body = z.listChildren(c, in)
	default:
		code, body, _ = z.performOperation(c, op, in)
	}
	frame := zkWriter{}.ints(xid).long(z.zxid).ints(code).raw(body)
	if z.faults.holdAnswers > 0 && op != opPing {
		z.holdAnswer(c, frame)
		return true
	}
	c.queue(frame, time.Now().Add(z.faults.delay))
	return true
}

// holdAnswer keeps an answer until the number of answers that the fault demands has been reached, and then
// sends all of them.
func (z *ZooKeeper) holdAnswer(c *zkConn, frame []byte) {
	c.heldAnswers = append(c.heldAnswers, zkReply{frame: frame})
	if len(c.heldAnswers) < z.faults.holdAnswers {
		return
	}
	for _, r := range c.heldAnswers {
		c.queue(r.frame, time.Time{})
	}
	c.heldAnswers = nil
	z.faults.holdAnswers = 0
}

// listChildren lists the children of a node, and sets a watch if the request asks for one.
func (z *ZooKeeper) listChildren(c *zkConn, in *zkReader) (code int, body []byte) {
	dir := in.readString()
	if z.nodes[dir] == nil {
		return zNoNode, nil
	}
	c.watchesChildren = c.watchesChildren || in.readBool() && dir == z.root
	n := 0
	var names zkWriter
	for p := range z.nodes {
		if p != "/" && path.Dir(p) == dir {
			names = names.text(path.Base(p))
			n++
		}
	}
	return 0, zkWriter{}.ints(n).raw(names)
}

// performOperation executes one request or one operation of a transaction; undo reverts it. An operation on a
// missing node still consumes its fields, because the next operation follows them.
func (z *ZooKeeper) performOperation(c *zkConn, op int, in *zkReader) (code int, body []byte, undo func()) {
	undo = func() {}
	p := in.readString()
	n := z.nodes[p]
	if n == nil && op != opCreate && op != opSync {
		switch op {
		case opSetData:
			in.readString()
			in.readInt()
		case opDelete, opCheck:
			in.readInt()
		}
		return zNoNode, nil, undo
	}
	switch op {
	case opCreate:
		return z.createNode(c, p, in)
	case opDelete:
		return z.deleteNode(p, in)
	case opExists:
		return 0, n.appendStat(nil), undo
	case opGetData:
		if in.readBool() {
			c.watchedData[p] = true
		}
		return 0, n.appendStat(zkWriter{}.text(n.data)), undo
	case opSetData:
		return z.setData(p, in)
	case opSync:
		return 0, zkWriter{}.text(p), undo
	case opCheck:
		if !n.hasVersion(in.readInt()) {
			return zBadVersion, nil, undo
		}
		return 0, nil, undo
	}
	return zUnimplemented, nil, undo
}

// hasVersion reports whether the node has the requested version; -1 matches any version.
func (n *zkNode) hasVersion(version int) bool {
	return version == -1 || version == n.version
}

func (z *ZooKeeper) createNode(c *zkConn, p string, in *zkReader) (code int, body []byte, undo func()) {
	undo = func() {}
	data := in.readString()
	in.skipACL()
	flags := in.readInt()
	parent := z.nodes[path.Dir(p)]
	switch {
	case parent == nil:
		return zNoNode, nil, undo
	case parent.owner != 0:
		return zNoChildren, nil, undo
	case z.nodes[p] != nil:
		return zExists, nil, undo
	}
	node := &zkNode{data: data}
	if flags&ephemeralFlag != 0 {
		node.owner = c.session.id
	}
	z.addNode(p, node)
	return 0, zkWriter{}.text(p), func() { delete(z.nodes, p) }
}

func (z *ZooKeeper) deleteNode(p string, in *zkReader) (code int, body []byte, undo func()) {
	undo = func() {}
	n := z.nodes[p]
	if !n.hasVersion(in.readInt()) {
		return zBadVersion, nil, undo
	}
	for o := range z.nodes {
		if strings.HasPrefix(o, p+"/") {
			return zNotEmpty, nil, undo
		}
	}
	z.removeNode(p)
	return 0, nil, func() { z.nodes[p] = n }
}

func (z *ZooKeeper) setData(p string, in *zkReader) (code int, body []byte, undo func()) {
	undo = func() {}
	n := z.nodes[p]
	data, version := in.readString(), in.readInt()
	if !n.hasVersion(version) {
		return zBadVersion, nil, undo
	}
	was := *n
	z.zxid++
	n.data = data
	n.version++
	z.notifyWatches(p, eventDataChanged)
	return 0, n.appendStat(nil), func() { *n = was }
}
