package fake

import (
	"encoding/binary"
	"io"
	"net"
	"time"
)

// zkConn is the connection of one client. All fields except out are protected by the lock of the service.
type zkConn struct {
	net.Conn
	session         *zkSession
	out             chan zkReply
	watchesChildren bool            // a watch of the root's children is set
	watchedData     map[string]bool // paths with a data watch
	heldAnswers     []zkReply       // held back by the fault HoldAnswers
}

// zkReply is a frame to be sent at a given time, or at once if that time has passed.
type zkReply struct {
	frame  []byte
	sendAt time.Time
}

// serve answers the requests of a connection until it ends. The goroutine that writes ends with the
// connection.
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

// connect creates or resumes a session and answers the handshake. The answer for an unknown session has a
// timeout of 0. It returns false if the connection must be closed, for example if the client has seen later
// changes than this service.
func (z *ZooKeeper) connect(c *zkConn, hello []byte) bool {
	id := int64(binary.BigEndian.Uint64(hello[16:]))
	timeout := int(binary.BigEndian.Uint32(hello[12:]))
	z.mu.Lock()
	defer z.mu.Unlock()
	for z.faults.frozen {
		z.unfrozen.Wait()
	}
	seen := int64(binary.BigEndian.Uint64(hello[4:]))
	if z.faults.unreachable || seen > z.zxid-z.faults.replicaLag {
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
	s.lastRequestAt = time.Now()
	c.session = s
	c.queue(zkWriter{}.ints(0, timeout).long(s.id).text("0123456789abcdef"), time.Time{})
	return true
}

// disconnect detaches the connection from its session, unless the session already has another connection.
func (z *ZooKeeper) disconnect(c *zkConn) {
	z.mu.Lock()
	defer z.mu.Unlock()
	if c.session.conn == c {
		c.session.conn = nil
	}
}

// write sends the queued frames, each at its time, until the queue is closed.
func (c *zkConn) write() {
	for r := range c.out {
		time.Sleep(time.Until(r.sendAt))
		if _, err := c.Write(r.frame); err != nil {
			c.Close()
		}
	}
}

// queue queues a frame, and closes the connection if the queue is full.
func (c *zkConn) queue(b []byte, at time.Time) {
	select {
	case c.out <- zkReply{zkWriter{}.ints(len(b)).raw(b), at}:
	default:
		c.Close()
	}
}

func (c *zkConn) queueEvent(kind int, node string) {
	c.queue(zkWriter{}.ints(-1).long(-1).ints(0, kind, stateConnected).text(node), time.Time{})
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

// stateConnected is the session state in every watch event.
const stateConnected = 3

// Event types of watches.
const (
	eventNodeDeleted     = 2
	eventDataChanged     = 3
	eventChildrenChanged = 4
)

// notifyWatches notifies the watches of a path and removes them, since a watch fires once.
func (z *ZooKeeper) notifyWatches(p string, kind int) {
	for _, s := range z.sessions {
		c := s.conn
		switch {
		case c == nil:
		case kind == eventChildrenChanged && p == z.root && c.watchesChildren:
			c.watchesChildren = false
			c.queueEvent(kind, p)
		case kind != eventChildrenChanged && c.watchedData[p]:
			delete(c.watchedData, p)
			c.queueEvent(kind, p)
		}
	}
}
