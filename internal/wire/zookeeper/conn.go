package zookeeper

import (
	"bufio"
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"time"

	"capersail/internal/relay"
	"capersail/internal/wire/splice"
)

// errExpired says that the service has forgotten the session, and with it every watch.
var errExpired = errors.New("session expired")

// conn is one connection of a session.
type conn struct {
	net.Conn
	buffered *bufio.Reader
	clock    *relay.Clock
}

// dialConn connects, and closes the connection when the context ends.
func dialConn(
	ctx context.Context, address string, timeout time.Duration, clock *relay.Clock, bufferBytes int,
) (*conn, error) {
	raw, err := splice.Dial(ctx, address, timeout)
	if err != nil {
		return nil, fmt.Errorf("dial: %w", err)
	}
	context.AfterFunc(ctx, func() { raw.Close() })
	return &conn{Conn: raw, buffered: bufio.NewReaderSize(raw, bufferBytes), clock: clock}, nil
}

// writeFrame writes one frame. Its error is the connection's.
func (n *conn) writeFrame(b encoder, timeout time.Duration) error {
	n.SetWriteDeadline(n.clock.WallDeadline(n.clock.Now() + timeout))
	_, err := n.Write(append(encoder{}.i32(int32(len(b))), b...))
	return err
}

// readFrame reads one frame, until an instant of the clock. A read that a deadline cuts short before its
// first byte loses nothing. Its errors are the connection's, and that of a frame of no sensible length.
func (n *conn) readFrame(until time.Duration) ([]byte, error) {
	const lengthBytes = 4
	n.SetReadDeadline(n.clock.WallDeadline(until))
	head, err := n.buffered.Peek(lengthBytes)
	if err != nil {
		return nil, err
	}
	size := int32(binary.BigEndian.Uint32(head))
	if size < 0 || size > maxFrameBytes {
		return nil, fmt.Errorf("frame of %d bytes", size)
	}
	n.buffered.Discard(lengthBytes)
	p := make([]byte, size)
	_, err = io.ReadFull(n.buffered, p)
	return p, err
}

const (
	// handshakeDivisor: a session's time-out divided by it is how long each part of a handshake may take.
	handshakeDivisor = 3
	passwordBytes    = 16
	protocolVersion  = 0
)

// sessionState is what either side says of a session when a connection begins.
type sessionState struct {
	sessionID int64 // 0 for a new session
	password  []byte
	lastZxid  int64
	timeout   time.Duration // wanted, then granted; whole milliseconds on the wire
}

// handshake begins or takes up a session on a new connection, and returns it as it was granted. Its errors
// are errExpired, if the service knows the session no more, a refusedError, and the connection's.
func (n *conn) handshake(state sessionState) (sessionState, error) {
	if state.password == nil {
		state.password = make([]byte, passwordBytes)
	}
	timeout := state.timeout / handshakeDivisor
	request := encoder{}.
		i32(protocolVersion).
		i64(state.lastZxid).
		i32(int32(state.timeout.Milliseconds())).
		i64(state.sessionID).
		bytes(state.password).
		flag(false)
	if err := n.writeFrame(request, timeout); err != nil {
		return state, fmt.Errorf("connect request: %w", err)
	}
	p, err := n.readFrame(n.clock.Now() + timeout)
	switch {
	case splice.TimedOut(err):
		return state, fmt.Errorf("connect response: %w", err)
	case err != nil:
		return state, &refusedError{err}
	}
	d := &decoder{rest: p}
	d.i32() // the version
	granted := d.i32()
	id := d.i64()
	password := d.bytes()
	if d.truncated || granted <= 0 || id == 0 {
		return state, errExpired
	}
	state.timeout = time.Duration(granted) * time.Millisecond
	state.sessionID = id
	state.password = append([]byte(nil), password...)
	return state, nil
}
