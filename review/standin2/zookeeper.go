package main

import (
	"bufio"
	"encoding/binary"
	"io"
	"net"
	"strings"
	"sync"
)

// registry is a ZooKeeper-style service with the part of the client protocol that a reader of ephemeral nodes
// needs: sessions, pings, exists, getData and getChildren, with watches that fire once.
type registry struct {
	address string

	mu    sync.Mutex
	zxid  int64
	nodes map[string]string // data by path
	conns map[*registryConn]bool
}

// registryConn is a connection of a session, with the watches set on it.
type registryConn struct {
	net.Conn
	write    sync.Mutex
	data     map[string]bool // guarded by registry.mu
	children map[string]bool // guarded by registry.mu
}

const (
	zkOK     = 0
	zkNoNode = -101

	zkExists      = 3
	zkGetData     = 4
	zkGetChildren = 8
	zkPing        = 11
	zkClose       = -11

	zkNodeCreated     = 1
	zkNodeDeleted     = 2
	zkDataChanged     = 3
	zkChildrenChanged = 4
	zkConnected       = 3
)

func (h *harness) newRegistry(path string) *registry {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		h.cannotRun("%v", err)
	}
	r := &registry{
		address: l.Addr().String(), zxid: 1, nodes: map[string]string{path: ""}, conns: map[*registryConn]bool{},
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go r.serve(c)
		}
	}()
	return r
}

func parentOf(path string) string { return path[:strings.LastIndexByte(path, '/')] }

// set creates a node or changes its data.
func (r *registry) set(path, data string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.zxid++
	_, known := r.nodes[path]
	r.nodes[path] = data
	for c := range r.conns {
		if c.data[path] {
			delete(c.data, path)
			kind := int32(zkDataChanged)
			if !known {
				kind = zkNodeCreated
			}
			c.event(kind, path)
		}
		if !known && c.children[parentOf(path)] {
			delete(c.children, parentOf(path))
			c.event(zkChildrenChanged, parentOf(path))
		}
	}
}

// remove deletes a node, as at the end of its session.
func (r *registry) remove(path string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.zxid++
	delete(r.nodes, path)
	for c := range r.conns {
		if c.data[path] {
			delete(c.data, path)
			c.event(zkNodeDeleted, path)
		}
		if c.children[parentOf(path)] {
			delete(c.children, parentOf(path))
			c.event(zkChildrenChanged, parentOf(path))
		}
	}
}

func (c *registryConn) event(kind int32, path string) {
	var b frame
	c.send(b.i32(-1).i64(-1).i32(0).i32(kind).i32(zkConnected).text(path))
}

func (c *registryConn) send(b frame) {
	c.write.Lock()
	defer c.write.Unlock()
	c.Write(append(frame(nil).i32(int32(len(b))), b...))
}

type frame []byte

func (b frame) i32(x int32) frame   { return binary.BigEndian.AppendUint32(b, uint32(x)) }
func (b frame) i64(x int64) frame   { return binary.BigEndian.AppendUint64(b, uint64(x)) }
func (b frame) text(s string) frame { return append(b.i32(int32(len(s))), s...) }

// stat appends a node's metadata.
func (b frame) stat(data string) frame {
	return b.i64(1).i64(1).i64(0).i64(0).i32(0).i32(0).i32(0).i64(0).i32(int32(len(data))).i32(0).i64(1)
}

func readFrame(in io.Reader) ([]byte, error) {
	var head [4]byte
	if _, err := io.ReadFull(in, head[:]); err != nil {
		return nil, err
	}
	p := make([]byte, binary.BigEndian.Uint32(head[:])&0xfffff)
	_, err := io.ReadFull(in, p)
	return p, err
}

func (r *registry) serve(raw net.Conn) {
	defer raw.Close()
	c := &registryConn{Conn: raw, data: map[string]bool{}, children: map[string]bool{}}
	in := bufio.NewReader(raw)
	hello, err := readFrame(in)
	if err != nil || len(hello) < 28 {
		return
	}
	timeout := int32(binary.BigEndian.Uint32(hello[12:]))
	session := int64(binary.BigEndian.Uint64(hello[16:]))
	r.mu.Lock()
	if session == 0 {
		r.zxid++
		session = 0x100000000 + r.zxid
	}
	r.conns[c] = true
	r.mu.Unlock()
	defer func() {
		r.mu.Lock()
		delete(r.conns, c)
		r.mu.Unlock()
	}()
	c.send(frame(nil).i32(0).i32(timeout).i64(session).text("0123456789abcdef"))
	for {
		p, err := readFrame(in)
		if err != nil || len(p) < 8 {
			return
		}
		xid, op := int32(binary.BigEndian.Uint32(p)), int32(binary.BigEndian.Uint32(p[4:]))
		if !r.answer(c, xid, op, p[8:]) {
			return
		}
	}
}

// answer answers one request. It holds the lock, so that an answer and the events after it keep their order.
func (r *registry) answer(c *registryConn, xid, op int32, body []byte) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	head := func(code int32) frame { return frame(nil).i32(xid).i64(r.zxid).i32(code) }
	switch op {
	case zkPing, zkClose:
		c.send(head(zkOK))
		return op == zkPing
	case zkExists, zkGetData, zkGetChildren:
	default:
		return false
	}
	if len(body) < 5 {
		return false
	}
	n := binary.BigEndian.Uint32(body)
	path, watch := string(body[4:4+n]), body[4+n] == 1
	data, known := r.nodes[path]
	switch {
	case op == zkGetChildren && known:
		var names []string
		for p := range r.nodes {
			if parentOf(p) == path {
				names = append(names, p[len(path)+1:])
			}
		}
		b := head(zkOK).i32(int32(len(names)))
		for _, name := range names {
			b = b.text(name)
		}
		c.children[path] = c.children[path] || watch
		c.send(b)
	case op == zkGetData && known:
		c.data[path] = c.data[path] || watch
		c.send(head(zkOK).text(data).stat(data))
	case op == zkExists:
		c.data[path] = c.data[path] || watch
		if known {
			c.send(head(zkOK).stat(data))
		} else {
			c.send(head(zkNoNode))
		}
	default:
		c.send(head(zkNoNode))
	}
	return true
}
