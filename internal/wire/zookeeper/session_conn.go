package zookeeper

import (
	"context"
	"errors"
	"fmt"
	"time"
)

var (
	errNoAddress      = errors.New("no address of the ownership service is configured")
	errSessionClosed  = errors.New("session closed")
	errUnexpectedPing = errors.New("answer to a ping without an outstanding ping")
)

// xidError says that an answer does not have the xid of the oldest outstanding request.
type xidError struct{ xid int32 }

func (e *xidError) Error() string { return fmt.Sprintf("answer to request %d out of order", e.xid) }

// runConnection opens a connection, uses it until it ends, and returns why it ended.
func (s *Session) runConnection(ctx context.Context) error {
	s.mu.Lock()
	ctx, s.closeConn = context.WithCancel(ctx)
	defer s.closeConn()
	if len(s.addresses) == 0 {
		s.mu.Unlock()
		return errNoAddress
	}
	address := s.addresses[s.nextAddress%len(s.addresses)]
	s.nextAddress++
	s.mu.Unlock()
	n, err := dialConn(ctx, address, s.Timeout/dialDivisor, s.Clock, batchBytes)
	if err != nil {
		return err
	}
	defer n.Close()
	wanted := s.state
	wanted.timeout = s.Timeout
	sentAt := s.Clock.Now()
	granted, err := n.handshake(wanted)
	if err != nil {
		return err
	}
	s.state = granted
	s.connectFailures = connectFailures{}
	s.mu.Lock()
	s.connected, s.lastXid = true, 0
	s.mu.Unlock()
	s.Events.Connected(granted.sessionID, granted.timeout, sentAt)
	written := make(chan error, 1)
	go func() { written <- s.writeLoop(ctx, n, granted.timeout/pingDivisor) }()
	err = s.readLoop(n)
	s.mu.Lock()
	s.closeConn()
	s.mu.Unlock()
	n.Close()
	if writeErr := <-written; writeErr != nil && ctx.Err() == nil {
		err = writeErr
	}
	return err
}

// writeLoop writes queued requests in batches, and a ping when nothing has been written for pingInterval. It
// returns nil when the context ends, or the error of the connection.
func (s *Session) writeLoop(ctx context.Context, n *conn, pingInterval time.Duration) error {
	lastWriteAt := s.Clock.Now()
	for {
		batch, now, more := s.takeBatch(lastWriteAt + pingInterval)
		if len(batch) > 0 {
			lastWriteAt = now
			n.SetWriteDeadline(s.Clock.WallDeadline(now + s.Timeout/writeDivisor))
			if _, err := n.Write(batch); err != nil {
				n.Close()
				return fmt.Errorf("write: %w", err)
			}
		}
		if more {
			continue
		}
		select {
		case <-ctx.Done():
			return nil
		case <-s.writerWake:
		case <-s.Clock.After(max(time.Millisecond, lastWriteAt+pingInterval-s.Clock.Now())):
		}
	}
}

// takeBatch moves queued requests to the pending ones and returns them encoded. If there are none and a ping
// is due, it returns a ping. more reports whether requests are still queued.
func (s *Session) takeBatch(pingDueAt time.Duration) (batch encoder, now time.Duration, more bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now = s.Clock.Now()
	taken := 0
	for ; taken < len(s.unsent) && len(batch) < batchBytes; taken++ {
		r := s.unsent[taken]
		s.lastXid++
		r.xid, r.sentAt = s.lastXid, now
		batch = batch.i32(int32(len(r.body) + requestHeaderBytes)).i32(r.xid).i32(r.op)
		batch = append(batch, r.body...)
		s.pending = append(s.pending, r)
	}
	s.unsent = s.unsent[taken:]
	if len(batch) == 0 && now >= pingDueAt {
		batch = batch.i32(requestHeaderBytes).i32(xidPing).i32(opPing)
		s.pingsSentAt = append(s.pingsSentAt, now)
	}
	return batch, now, len(s.unsent) > 0
}

// readLoop handles answers and events until the connection ends, and returns why it ended.
func (s *Session) readLoop(n *conn) error {
	for {
		p, err := n.readFrame(s.Clock.Now() + s.state.timeout/silenceDivisor)
		if err != nil {
			return fmt.Errorf("read: %w", err)
		}
		if err := s.handleFrame(&decoder{rest: p}); err != nil {
			return err
		}
	}
}

// handleFrame handles a frame: an event, or the answer to a ping or a request.
func (s *Session) handleFrame(d *decoder) error {
	xid, zxid, code := d.i32(), d.i64(), Code(d.i32())
	if zxid > 0 {
		s.state.lastZxid = zxid
	}
	switch {
	case d.truncated:
		return errTruncated
	case xid == xidEvent:
		d.i32() // the event type
		if d.i32() == stateExpired {
			return errExpired
		}
		return nil
	case xid == xidPing:
		return s.handlePingAnswer()
	}
	return s.handleAnswer(xid, code, d)
}

func (s *Session) handlePingAnswer() error {
	s.mu.Lock()
	if len(s.pingsSentAt) == 0 {
		s.mu.Unlock()
		return errUnexpectedPing
	}
	sentAt := s.pingsSentAt[0]
	s.pingsSentAt = s.pingsSentAt[1:]
	s.mu.Unlock()
	s.Events.AnswerReceived(sentAt)
	return nil
}

func (s *Session) handleAnswer(xid int32, code Code, d *decoder) error {
	s.mu.Lock()
	if len(s.pending) == 0 || s.pending[0].xid != xid {
		s.mu.Unlock()
		return &xidError{xid}
	}
	r := s.pending[0]
	s.pending[0] = request{} // allows its body to be garbage-collected
	s.pending = s.pending[1:]
	s.mu.Unlock()
	s.Events.AnswerReceived(r.sentAt)
	answer := decodeAnswer(r.op, code, d)
	if d.truncated {
		r.done(Answer{Code: ConnectionLoss})
		return fmt.Errorf("answer to request %d: %w", xid, errTruncated)
	}
	r.done(answer)
	if r.op == opClose {
		return errSessionClosed
	}
	return nil
}
