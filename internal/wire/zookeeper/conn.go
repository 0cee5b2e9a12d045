package zookeeper

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"time"

	"capersail/internal/relay"
)

func (n *conn) writeFrame(b encoder, within time.Duration) error {
	n.SetWriteDeadline(n.clock.WallDeadline(n.clock.Now() + within))
	_, err := n.Write(append(encoder{}.i32(int32(len(b))), b...))
	return err
}

// readFrame reads one readFrame. A read that a deadline cuts short before its first byte loses nothing.
func (n *conn) readFrame(until time.Duration) ([]byte, error) {
	n.SetReadDeadline(n.clock.WallDeadline(until))
	if _, err := n.buffered.Peek(4); err != nil {
		return nil, err
	}
	head, _ := n.buffered.Peek(4)
	size := int32(binary.BigEndian.Uint32(head))
	if size < 0 || size > maxFrameBytes {
		return nil, fmt.Errorf("frame of %d bytes", size)
	}
	n.buffered.Discard(4)
	p := make([]byte, size)
	_, err := io.ReadFull(n.buffered, p)
	return p, err
}

// sessionState is what either side says of a session when a connection begins.
type sessionState struct {
	sessionID int64 // 0 for a new session
	password  []byte
	lastZxid  int64
	timeout   time.Duration // wanted, then granted; whole milliseconds on the wire
}

// handshake begins or takes up a session on a new connection. errExpired if the service knows it no more.
func (n *conn) handshake(h sessionState) (sessionState, error) {
	if h.password == nil {
		h.password = make([]byte, 16)
	}
	within := h.timeout / 3
	err := n.writeFrame(encoder{}.i32(0).i64(h.lastZxid).i32(int32(h.timeout.Milliseconds())).i64(h.sessionID).bytes(h.password).flag(false), within)
	if err != nil {
		return h, fmt.Errorf("connect request: %w", err)
	}
	p, err := n.readFrame(n.clock.Now() + within)
	if err != nil {
		return h, fmt.Errorf("connect response: %w", err)
	}
	r := &decoder{rest: p}
	r.i32()
	granted, id, pass := r.i32(), r.i64(), r.bytes()
	if r.truncated || granted <= 0 || id == 0 {
		return h, errExpired
	}
	h.timeout = time.Duration(granted) * time.Millisecond
	h.sessionID, h.password = id, append([]byte(nil), pass...)
	return h, nil
}

// errExpired says that the service has forgotten the session, and with it every watch.
var errExpired = errors.New("session expired")

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
