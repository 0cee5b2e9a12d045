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

// errExpired says that the session has expired at the service, and with it every watch and ephemeral node.
var errExpired = errors.New("session expired")

// conn is a connection of a session.
type conn struct {
	net.Conn
	buffered *bufio.Reader
	clock    *relay.Clock
}

// dialConn connects to address. The connection is closed when the context ends.
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

// writeFrame writes b as one frame. Errors of the connection are returned unchanged.
func (n *conn) writeFrame(b encoder, timeout time.Duration) error {
	n.SetWriteDeadline(n.clock.WallDeadline(n.clock.Now() + timeout))
	_, err := n.Write(append(encoder{}.i32(int32(len(b))), b...))
	return err
}

// readFrame reads one frame; until is the deadline on the clock. If the deadline passes before the frame's
// length has been received, no data is lost and the call can be repeated. Errors of the connection are
// returned unchanged; a frame with an invalid length is an error too.
func (n *conn) readFrame(until time.Duration) ([]byte, error) {
	const lengthBytes = 4
	n.SetReadDeadline(n.clock.WallDeadline(until))
	head, err := n.buffered.Peek(lengthBytes)
	if err != nil {
		return nil, err
	}
	size := int32(binary.BigEndian.Uint32(head))
	if size < 0 || size > maxFrameBytes {
		return nil, fmt.Errorf("invalid frame length of %d bytes", size)
	}
	n.buffered.Discard(lengthBytes)
	p := make([]byte, size)
	_, err = io.ReadFull(n.buffered, p)
	return p, err
}

const (
	// The session time-out divided by handshakeDivisor bounds the write of a connect request and the wait for
	// its response.
	handshakeDivisor = 3
	passwordBytes    = 16
	protocolVersion  = 0
)

// sessionState is the state of a session that the connect request and its response contain.
type sessionState struct {
	sessionID int64 // 0 for a new session
	password  []byte
	lastZxid  int64         // of the newest change that this client has seen
	timeout   time.Duration // requested, then granted; whole milliseconds on the wire
}

// handshake begins or resumes a session on a new connection, and returns the state that the service has
// granted. It fails with errExpired if the session has expired, with a refusedError if the service closes the
// connection without a response, and with errors of the connection.
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
		return state, fmt.Errorf("write connect request: %w", err)
	}
	p, err := n.readFrame(n.clock.Now() + timeout)
	switch {
	case splice.TimedOut(err):
		return state, fmt.Errorf("read connect response: %w", err)
	case err != nil:
		return state, &refusedError{err}
	}
	d := &decoder{rest: p}
	d.i32() // the protocol version
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
