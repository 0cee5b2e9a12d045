package fake

import (
	"encoding/binary"
	"io"
	"net"
	"time"
)

type zkConn struct {
	net.Conn
	session         *zkSession
	out             chan zkReply
	watchesChildren bool // watches the children
	watchedData     map[string]bool
	heldAnswers     []zkReply
}

type zkReply struct {
	frame  []byte
	sendAt time.Time
}

func (z *ZooKeeper) serve(c *zkConn) {
	defer c.Close()
	hello, err := c.read()
	if err != nil || len(hello) < 28 {
		return
	}
	if !z.connect(c, hello) {
		return
	}
	go c.write()
	defer close(c.out)
	defer z.disconnect(c)
	for {
		p, err := c.read()
		if err != nil || len(p) < 8 || !z.answer(c, p) {
			return
		}
	}
}

// connect begins a session or takes up one, and answers so. A session that is not known gets a timeout of 0.
func (z *ZooKeeper) connect(c *zkConn, hello []byte) bool {
	id := int64(binary.BigEndian.Uint64(hello[16:]))
	timeout := int(binary.BigEndian.Uint32(hello[12:]))
	z.mu.Lock()
	defer z.mu.Unlock()
	for z.faults.frozen {
		z.thawed.Wait()
	}
	if z.faults.unreachable {
		return false
	}
	s := z.sessions[id]
	if id == 0 {
		z.lastID++
		s = &zkSession{id: z.lastID}
		z.sessions[s.id] = s
	}
	if s == nil {
		timeout = 0
		s = &zkSession{conn: c}
	} else if s.conn != nil {
		s.conn.Close()
	}
	s.conn = c
	s.timeout = time.Duration(timeout) * time.Millisecond
	s.heardAt = time.Now()
	c.session = s
	c.queue(appendString(appendUint64(appendUint32(appendUint32(nil, 0), timeout), s.id), "0123456789abcdef"), time.Time{})
	return true
}

// disconnect leaves the session without a connection, unless it has another by now.
func (z *ZooKeeper) disconnect(c *zkConn) {
	z.mu.Lock()
	defer z.mu.Unlock()
	if c.session.conn == c {
		c.session.conn = nil
	}
}

// write sends what is queued, each frame when its time has come, until the queue is closed.
func (c *zkConn) write() {
	for r := range c.out {
		time.Sleep(time.Until(r.sendAt))
		if _, err := c.Write(r.frame); err != nil {
			c.Close()
		}
	}
}

func (c *zkConn) queue(b []byte, at time.Time) {
	select {
	case c.out <- zkReply{append(appendUint32(nil, len(b)), b...), at}:
	default:
		c.Close()
	}
}

func (c *zkConn) queueEvent(kind int, node string) {
	c.queue(appendString(appendUint32(appendUint32(appendUint32(appendUint64(appendUint32(nil, -1), -1), 0), kind), 3), node), time.Time{})
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

// The kinds of a watch's event.
const (
	watchDeleted  = 2
	watchData     = 3
	watchChildren = 4
)

// notifyWatches tells the watches of a path.
func (z *ZooKeeper) notifyWatches(p string, kind int) {
	for _, s := range z.sessions {
		c := s.conn
		switch {
		case c == nil:
		case kind == watchChildren && p == z.root && c.watchesChildren:
			c.watchesChildren = false
			c.queueEvent(kind, p)
		case kind != watchChildren && c.watchedData[p]:
			delete(c.watchedData, p)
			c.queueEvent(kind, p)
		}
	}
}
