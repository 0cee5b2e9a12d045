package main

import (
	"encoding/binary"
	"errors"
	"io"
	"net"
	"sync"
)

// zooKeeper is a small ZooKeeper service for reading an endpoint list: sessions, pings, getChildren and
// getData with one-time watches, by ZooKeeper's client protocol. Sessions never expire.
type zooKeeper struct {
	address string
	root    string

	mu       sync.Mutex
	zxid     int64
	sessions int64
	nodes    map[string]string // data by name, children of root
	conns    map[*zkConn]bool
}

type zkConn struct {
	net.Conn
	writeMu       sync.Mutex
	watchChildren bool
	watchData     map[string]bool
}

const (
	zkGetData     = 4
	zkGetChildren = 8
	zkPing        = 11
	zkClose       = -11
	zkNoNode      = -101
	zkUnsupported = -6

	zkEventDeleted         = 2
	zkEventDataChanged     = 3
	zkEventChildrenChanged = 4
	zkStateConnected       = 3
)

func startZooKeeper(root string) (*zooKeeper, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	z := &zooKeeper{
		address: l.Addr().String(), root: root, zxid: 1, nodes: map[string]string{}, conns: map[*zkConn]bool{},
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go z.serve(&zkConn{Conn: c, watchData: map[string]bool{}})
		}
	}()
	return z, nil
}

// set creates a child of the root, changes its data, or deletes it if data is "".
func (z *zooKeeper) set(name, data string) {
	z.mu.Lock()
	defer z.mu.Unlock()
	_, existed := z.nodes[name]
	z.zxid++
	if data == "" {
		delete(z.nodes, name)
	} else {
		z.nodes[name] = data
	}
	for c := range z.conns {
		if existed && c.watchData[name] {
			delete(c.watchData, name)
			kind := int32(zkEventDataChanged)
			if data == "" {
				kind = zkEventDeleted
			}
			c.event(kind, z.root+"/"+name)
		}
		if existed != (data != "") && c.watchChildren {
			c.watchChildren = false
			c.event(zkEventChildrenChanged, z.root)
		}
	}
}

func (c *zkConn) event(kind int32, path string) {
	b := put32(nil, -1)
	b = put64(b, -1)
	b = put32(b, 0)
	b = put32(b, kind)
	b = put32(b, zkStateConnected)
	c.frame(putBytes(b, []byte(path)))
}

func (c *zkConn) frame(b []byte) {
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	c.Write(append(put32(nil, int32(len(b))), b...))
}

func put32(b []byte, x int32) []byte { return binary.BigEndian.AppendUint32(b, uint32(x)) }
func put64(b []byte, x int64) []byte { return binary.BigEndian.AppendUint64(b, uint64(x)) }
func putBytes(b, p []byte) []byte    { return append(put32(b, int32(len(p))), p...) }

func readFrame(c net.Conn) ([]byte, error) {
	var head [4]byte
	if _, err := io.ReadFull(c, head[:]); err != nil {
		return nil, err
	}
	n := binary.BigEndian.Uint32(head[:])
	if n > 1<<20 {
		return nil, errors.New("frame too long")
	}
	p := make([]byte, n)
	_, err := io.ReadFull(c, p)
	return p, err
}

func (z *zooKeeper) serve(c *zkConn) {
	defer c.Close()
	connect, err := readFrame(c)
	if err != nil || len(connect) < 24 {
		return
	}
	timeout, session := int32(binary.BigEndian.Uint32(connect[12:])), int64(binary.BigEndian.Uint64(connect[16:]))
	z.mu.Lock()
	if session == 0 {
		z.sessions++
		session = 0x1000 + z.sessions
	}
	z.conns[c] = true
	z.mu.Unlock()
	defer func() {
		z.mu.Lock()
		delete(z.conns, c)
		z.mu.Unlock()
	}()
	answer := put32(nil, 0)
	answer = put32(answer, timeout)
	answer = put64(answer, session)
	answer = putBytes(answer, make([]byte, 16))
	c.frame(append(answer, 0))
	for {
		p, err := readFrame(c)
		if err != nil || len(p) < 8 {
			return
		}
		xid, op := int32(binary.BigEndian.Uint32(p)), int32(binary.BigEndian.Uint32(p[4:]))
		z.answer(c, xid, op, p[8:])
		if op == zkClose {
			return
		}
	}
}

func (z *zooKeeper) answer(c *zkConn, xid, op int32, body []byte) {
	z.mu.Lock()
	defer z.mu.Unlock()
	code, out := int32(0), []byte(nil)
	switch op {
	case zkPing, zkClose:
	case zkGetChildren:
		c.watchChildren = true
		out = put32(out, int32(len(z.nodes)))
		for name := range z.nodes {
			out = putBytes(out, []byte(name))
		}
	case zkGetData:
		n := int(binary.BigEndian.Uint32(body))
		path := string(body[4 : 4+n])
		name := path[min(len(path), len(z.root)+1):]
		data, known := z.nodes[name]
		if !known {
			code = zkNoNode
			break
		}
		c.watchData[name] = true
		out = append(putBytes(out, []byte(data)), make([]byte, 68)...)
	default:
		code = zkUnsupported
	}
	b := put32(nil, xid)
	b = put64(b, z.zxid)
	b = put32(b, code)
	c.frame(append(b, out...))
}
