package zookeeper

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"time"

	"capersail/internal/wire/splice"
)

// runConnection holds one runConnection to its end.
func (s *Session) runConnection(ctx context.Context) error {
	s.mu.Lock()
	ctx, s.closeConn = context.WithCancel(ctx)
	defer s.closeConn()
	if len(s.addresses) == 0 {
		s.mu.Unlock()
		return errors.New("no address")
	}
	address := s.addresses[s.nextAddress%len(s.addresses)]
	s.nextAddress++
	s.mu.Unlock()
	raw, err := splice.Dial(ctx, address, s.Timeout/6)
	if err != nil {
		return fmt.Errorf("dial: %w", err)
	}
	defer raw.Close()
	context.AfterFunc(ctx, func() { raw.Close() })
	n := &conn{Conn: raw, buffered: bufio.NewReaderSize(raw, batchBytes), clock: s.Clock}
	wanted := s.state
	wanted.timeout = s.Timeout
	sentAt := s.Clock.Now()
	h, err := n.handshake(wanted)
	if err != nil {
		return err
	}
	s.state = h
	s.mu.Lock()
	s.connected, s.lastXid = true, 0
	s.mu.Unlock()
	s.Events.Connected(h.sessionID, h.timeout, sentAt)
	written := make(chan error, 1)
	go func() { written <- s.writeLoop(ctx, n, h.timeout/pingDivisor) }()
	err = s.readLoop(n)
	s.mu.Lock()
	s.closeConn()
	s.mu.Unlock()
	raw.Close()
	if werr := <-written; werr != nil && ctx.Err() == nil {
		err = werr
	}
	return err
}

// writeLoop sends what is queued, all of it together, and a ping when nothing was sent for a while.
func (s *Session) writeLoop(ctx context.Context, n *conn, pingEvery time.Duration) error {
	last := s.Clock.Now()
	for {
		s.mu.Lock()
		now, out, sent := s.Clock.Now(), encoder{}, 0
		for ; sent < len(s.unsent) && len(out) < batchBytes; sent++ {
			r := s.unsent[sent]
			s.lastXid++
			r.xid, r.sentAt = s.lastXid, now
			out = append(out.i32(int32(len(r.body)+8)).i32(r.xid).i32(r.op), r.body...)
			s.pending = append(s.pending, r)
		}
		s.unsent = s.unsent[sent:]
		more := len(s.unsent) > 0
		if len(out) == 0 && now-last >= pingEvery {
			out = out.i32(8).i32(xidPing).i32(opPing)
			s.pingsSentAt = append(s.pingsSentAt, now)
		}
		s.mu.Unlock()
		if len(out) > 0 {
			last = now
			n.SetWriteDeadline(s.Clock.WallDeadline(now + s.Timeout/3))
			if _, err := n.Write(out); err != nil {
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
		case <-s.Clock.After(max(time.Millisecond, last+pingEvery-s.Clock.Now())):
		}
	}
}

// readLoop takes answers and events until the connection ends.
func (s *Session) readLoop(n *conn) error {
	for {
		p, err := n.readFrame(s.Clock.Now() + s.state.timeout/silenceDivisor)
		if err != nil {
			return fmt.Errorf("read: %w", err)
		}
		r := &decoder{rest: p}
		xid, zxid, code := r.i32(), r.i64(), Code(r.i32())
		if zxid > 0 {
			s.state.lastZxid = zxid
		}
		switch {
		case r.truncated:
			return errors.New("answer cut off")
		case xid == xidEvent:
			if r.i32(); r.i32() == stateExpired {
				return errExpired
			}
			continue
		case xid == xidPing:
			s.mu.Lock()
			if len(s.pingsSentAt) == 0 {
				s.mu.Unlock()
				return errors.New("answer to a ping that was not sent")
			}
			at := s.pingsSentAt[0]
			s.pingsSentAt = s.pingsSentAt[1:]
			s.mu.Unlock()
			s.Events.Answered(at)
			continue
		}
		s.mu.Lock()
		if len(s.pending) == 0 || s.pending[0].xid != xid {
			s.mu.Unlock()
			return fmt.Errorf("answer to request %d out of turn", xid)
		}
		q := s.pending[0]
		s.pending[0] = request{}
		s.pending = s.pending[1:]
		s.mu.Unlock()
		s.Events.Answered(q.sentAt)
		a := decodeAnswer(q.op, code, r)
		if r.truncated {
			q.done(Answer{Code: ConnectionLoss})
			return fmt.Errorf("answer to request %d cut off", xid)
		}
		q.done(a)
		if q.op == opClose {
			return errors.New("session closed")
		}
	}
}
