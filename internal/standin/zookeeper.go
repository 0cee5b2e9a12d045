// Package standin holds the outside systems that tests speak to, written from their public specifications:
// a service of ephemeral nodes and an XMPP server. Nothing in the program imports it.
package standin

import (
	"encoding/binary"
	"io"
	"net"
	"strings"
	"sync"
)

// ZooKeeper is a service of one path's children. Its watches fire once, as ZooKeeper's do.
type ZooKeeper struct {
	Address string

	path  string
	mu    sync.Mutex
	nodes map[string]string
	conns map[*zkConn]bool
	epoch int64 // sessions of an earlier one have expired
	zxid  int64
}

type zkConn struct {
	net.Conn
	list bool // watches the children
	data map[string]bool
}

// NewZooKeeper starts the service on loopback.
func NewZooKeeper(path string) (*ZooKeeper, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	z := &ZooKeeper{Address: l.Addr().String(), path: path, nodes: map[string]string{}, conns: map[*zkConn]bool{}, epoch: 1}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go z.serve(&zkConn{Conn: c, data: map[string]bool{}})
		}
	}()
	return z, nil
}

// Set creates a node or changes its data; "" removes it, as the end of its owner's session does.
func (z *ZooKeeper) Set(name, data string) {
	z.mu.Lock()
	defer z.mu.Unlock()
	z.zxid++
	_, had := z.nodes[name]
	if data == "" {
		delete(z.nodes, name)
	} else {
		z.nodes[name] = data
	}
	for c := range z.conns {
		if (data == "" || !had) && c.list {
			c.list = false
			c.event(4, z.path)
		}
		if c.data[name] {
			delete(c.data, name)
			kind := 3
			if data == "" {
				kind = 2
			}
			c.event(kind, z.path+"/"+name)
		}
	}
}

// Expire forgets every session.
func (z *ZooKeeper) Expire() {
	z.mu.Lock()
	defer z.mu.Unlock()
	z.epoch++
	for c := range z.conns {
		c.Close()
	}
}

func u32(b []byte, x int) []byte    { return binary.BigEndian.AppendUint32(b, uint32(int32(x))) }
func u64(b []byte, x int64) []byte  { return binary.BigEndian.AppendUint64(b, uint64(x)) }
func str(b []byte, s string) []byte { return append(u32(b, len(s)), s...) }

func (c *zkConn) frame(b []byte) { c.Write(append(u32(nil, len(b)), b...)) }

func (c *zkConn) event(kind int, path string) {
	c.frame(str(u32(u32(u32(u64(u32(nil, -1), -1), 0), kind), 3), path))
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
	session := int64(binary.BigEndian.Uint64(hello[16:]))
	z.mu.Lock()
	answer := str(u64(u32(u32(nil, 0), int(binary.BigEndian.Uint32(hello[12:]))), z.epoch), "0123456789abcdef")
	if session != 0 && session != z.epoch {
		answer = str(u64(u32(u32(nil, 0), 0), 0), "0123456789abcdef")
	}
	z.conns[c] = true
	c.frame(answer)
	z.mu.Unlock()
	defer func() {
		z.mu.Lock()
		delete(z.conns, c)
		z.mu.Unlock()
	}()
	for {
		p, err := c.read()
		if err != nil || len(p) < 8 {
			return
		}
		z.answer(c, int(int32(binary.BigEndian.Uint32(p))), binary.BigEndian.Uint32(p[4:]), p[8:])
	}
}

func (z *ZooKeeper) answer(c *zkConn, xid int, op uint32, p []byte) {
	z.mu.Lock()
	defer z.mu.Unlock()
	reply := u64(u32(nil, xid), z.zxid)
	path, watch := "", false
	if len(p) > 4 {
		n := int(binary.BigEndian.Uint32(p))
		path, watch = string(p[4:4+n]), p[4+n] == 1
	}
	switch op {
	case 8:
		c.list = c.list || watch
		reply = u32(u32(reply, 0), len(z.nodes))
		for name := range z.nodes {
			reply = str(reply, name)
		}
	case 4:
		name := strings.TrimPrefix(path, z.path+"/")
		if data, ok := z.nodes[name]; ok {
			c.data[name] = watch
			reply = append(str(u32(reply, 0), data), make([]byte, 68)...) // its Stat
		} else {
			reply = u32(reply, -101)
		}
	default:
		reply = u32(reply, 0)
	}
	c.frame(reply)
}
