package zookeeper

import (
	"encoding/binary"
	"fmt"
	"io"
	"time"
)

// encoder writes fields one after the other; reader takes them apart.
type encoder []byte

func (b encoder) i32(x int32) encoder { return binary.BigEndian.AppendUint32(b, uint32(x)) }
func (b encoder) i64(x int64) encoder { return binary.BigEndian.AppendUint64(b, uint64(x)) }
func (b encoder) bytes(p []byte) encoder {
	return append(b.i32(int32(len(p))), p...)
}
func (b encoder) flag(x bool) encoder {
	if x {
		return append(b, 1)
	}
	return append(b, 0)
}

// decoder reads fields; the first that is cut off spoils the rest.
type decoder struct {
	rest      []byte
	truncated bool
}

func (r *decoder) take(n int) []byte {
	if n < 0 || n > len(r.rest) {
		r.truncated, r.rest = true, nil
		return make([]byte, 8)
	}
	p := r.rest[:n]
	r.rest = r.rest[n:]
	return p
}
func (r *decoder) i32() int32 { return int32(binary.BigEndian.Uint32(r.take(4))) }
func (r *decoder) i64() int64 { return int64(binary.BigEndian.Uint64(r.take(8))) }
func (r *decoder) bytes() []byte {
	n := r.i32()
	if n == -1 || r.truncated { // null
		return nil
	}
	return r.take(int(n))
}

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
