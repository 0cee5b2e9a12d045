package zookeeper

import (
	"encoding/binary"
	"fmt"
	"io"
	"time"
)

// record writes fields one after the other; reader takes them apart.
type record []byte

func (b record) i32(x int32) record { return binary.BigEndian.AppendUint32(b, uint32(x)) }
func (b record) i64(x int64) record { return binary.BigEndian.AppendUint64(b, uint64(x)) }
func (b record) bytes(p []byte) record {
	return append(b.i32(int32(len(p))), p...)
}
func (b record) flag(x bool) record {
	if x {
		return append(b, 1)
	}
	return append(b, 0)
}

// reader reads fields; the first that is cut off spoils the rest.
type reader struct {
	p   []byte
	bad bool
}

func (r *reader) take(n int) []byte {
	if n < 0 || n > len(r.p) {
		r.bad, r.p = true, nil
		return make([]byte, 8)
	}
	p := r.p[:n]
	r.p = r.p[n:]
	return p
}
func (r *reader) i32() int32 { return int32(binary.BigEndian.Uint32(r.take(4))) }
func (r *reader) i64() int64 { return int64(binary.BigEndian.Uint64(r.take(8))) }
func (r *reader) bytes() []byte {
	n := r.i32()
	if n == -1 || r.bad { // null
		return nil
	}
	return r.take(int(n))
}

func (n *conn) send(b record, within time.Duration) error {
	n.SetWriteDeadline(n.clock.WallDeadline(n.clock.Now() + within))
	_, err := n.Write(append(record{}.i32(int32(len(b))), b...))
	return err
}

// frame reads one frame. A read that a deadline cuts short before its first byte loses nothing.
func (n *conn) frame(until time.Duration) ([]byte, error) {
	n.SetReadDeadline(n.clock.WallDeadline(until))
	if _, err := n.r.Peek(4); err != nil {
		return nil, err
	}
	head, _ := n.r.Peek(4)
	size := int32(binary.BigEndian.Uint32(head))
	if size < 0 || size > maxFrame {
		return nil, fmt.Errorf("frame of %d bytes", size)
	}
	n.r.Discard(4)
	p := make([]byte, size)
	_, err := io.ReadFull(n.r, p)
	return p, err
}

// hello is what either side says of a session when a connection begins.
type hello struct {
	id      int64 // 0 for a new session
	secret  []byte
	zxid    int64
	timeout time.Duration // wanted, then granted; whole milliseconds on the wire
}

// shake begins or takes up a session on a new connection. errExpired if the service knows it no more.
func (n *conn) shake(h hello) (hello, error) {
	if h.secret == nil {
		h.secret = make([]byte, 16)
	}
	within := h.timeout / 3
	err := n.send(record{}.i32(0).i64(h.zxid).i32(int32(h.timeout.Milliseconds())).i64(h.id).bytes(h.secret).flag(false), within)
	if err != nil {
		return h, fmt.Errorf("connect request: %w", err)
	}
	p, err := n.frame(n.clock.Now() + within)
	if err != nil {
		return h, fmt.Errorf("connect response: %w", err)
	}
	r := &reader{p: p}
	r.i32()
	granted, id, pass := r.i32(), r.i64(), r.bytes()
	if r.bad || granted <= 0 || id == 0 {
		return h, errExpired
	}
	h.timeout = time.Duration(granted) * time.Millisecond
	h.id, h.secret = id, append([]byte(nil), pass...)
	return h, nil
}
