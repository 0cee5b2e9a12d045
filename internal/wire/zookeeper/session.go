package zookeeper

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"capersail/internal/relay"
	"capersail/internal/wire/splice"
)

const (
	// pingDivisor: a session's time-out divided by it is how long it may go without a request. Ownership is
	// trusted by what was answered last, so pings come more often than a session needs to live.
	pingDivisor = 6
	// silenceDivisor: and by this, how long a service may be silent before another address is tried.
	silenceDivisor = 2
	// batchBytes of requests are written at once at most.
	batchBytes = 64 << 10
	// minReconnectBackoff is the pause before the next address is tried. It doubles, each with jitter.
	minReconnectBackoff = 50 * time.Millisecond
	maxReconnectBackoff = time.Second
)

// Code is how a request ended: 0, an error of the service's (negative), or Lost.
type Code int32

// The codes that callers tell apart.
const (
	OK             Code = 0
	NoNode         Code = codeNoNode
	BadVersion     Code = codeBadVersion
	NodeExists     Code = codeNodeExists
	NotEmpty       Code = codeNotEmpty
	ConnectionLoss Code = 1 // no answer came: it may have been done, or may not
)

// Stat is what of a node's state is used here.
type Stat struct {
	Version  int32
	Owner    int64 // the session of an ephemeral node, 0 of others
	Children int32
}

// Answer is the answer to one request.
type Answer struct {
	Code     Code
	Stat     Stat
	Data     []byte
	Children []string
}

// Events is told what happens to a session, in order and from one goroutine, as answers are.
type Events interface {
	// Connected: a session stands, a new one or one taken up again, by a request sent at sentAt.
	Connected(session int64, granted, sentAt time.Duration)
	// Disconnected: every request without an answer has been answered Lost.
	Disconnected()
	// Expired: the service has forgotten the session.
	Expired()
	// Answered: something sent at sentAt was answered.
	Answered(sentAt time.Duration)
}

// Session keeps one session with a service, over connections to any of its addresses. Requests are pipelined:
// they are written together, without waiting for one another's answers, and answered in their order.
type Session struct {
	Timeout time.Duration // the session time-out to ask for
	Clock   *relay.Clock
	Log     zerolog.Logger
	Events  Events

	mu          sync.Mutex
	addresses   []string
	nextAddress int
	closeConn   context.CancelFunc
	connected   bool // requests are taken
	unsent      []request
	pending     []request
	pingsSentAt []time.Duration // when those without an answer were sent
	writerWake  chan struct{}
	lastXid     int32
	closing     bool

	state sessionState // of Run alone
}

// request is one request, encoded but for its xid.
type request struct {
	op     int32
	body   encoder
	xid    int32
	sentAt time.Duration
	done   func(Answer)
}

// NewSession returns a session that Run begins.
func NewSession(addresses []string, timeout time.Duration, clock *relay.Clock, events Events, log zerolog.Logger) *Session {
	return &Session{Timeout: timeout, Clock: clock, Log: log, Events: events, addresses: addresses,
		nextAddress: rand.IntN(max(1, len(addresses))), writerWake: make(chan struct{}, 1)}
}

// SetAddresses follows another list of addresses. The connection that is open is ended; the session goes on if the
// addresses are the same service's.
func (s *Session) SetAddresses(addresses []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.addresses = addresses
	if s.closeConn != nil {
		s.closeConn()
	}
}

// enqueue queues a request; done is called once. It never blocks.
func (s *Session) enqueue(op int32, body encoder, done func(Answer)) {
	s.mu.Lock()
	if !s.connected || s.closing && op != opClose {
		s.mu.Unlock()
		go done(Answer{Code: ConnectionLoss})
		return
	}
	s.unsent = append(s.unsent, request{op: op, body: body, done: done})
	s.mu.Unlock()
	s.wakeWriter()
}

func (s *Session) wakeWriter() {
	select {
	case s.writerWake <- struct{}{}:
	default:
	}
}

// Get reads a node's data.
func (s *Session) Get(path string, done func(Answer)) {
	s.enqueue(opGetData, encoder{}.bytes([]byte(path)).flag(false), done)
}

// Exists reads a node's state.
func (s *Session) Exists(path string, done func(Answer)) {
	s.enqueue(opExists, encoder{}.bytes([]byte(path)).flag(false), done)
}

// Sync makes what is read after it no older than the moment at which the service takes it.
func (s *Session) Sync(path string, done func(Answer)) {
	s.enqueue(opSync, encoder{}.bytes([]byte(path)), done)
}

// Children lists a node's children.
func (s *Session) Children(path string, done func(Answer)) {
	s.enqueue(opGetChildren, encoder{}.bytes([]byte(path)).flag(false), done)
}

// Create makes a node: exclusively, as every create is. An ephemeral one goes with the session.
func (s *Session) Create(path string, data []byte, ephemeral bool, done func(Answer)) {
	s.enqueue(opCreate, encodeCreate(path, data, ephemeral), done)
}

// Set writes a node's data if it has the version; -1 is any.
func (s *Session) Set(path string, data []byte, version int32, done func(Answer)) {
	s.enqueue(opSetData, encodeSet(path, data, version), done)
}

// Delete removes a node if it has the version; -1 is any.
func (s *Session) Delete(path string, version int32, done func(Answer)) {
	s.enqueue(opDelete, encoder{}.bytes([]byte(path)).i32(version), done)
}

// Step is one part of a transaction.
type Step struct {
	op   int32
	body encoder
}

// CreateStep is Create in a transaction.
func CreateStep(path string, data []byte, ephemeral bool) Step {
	return Step{opCreate, encodeCreate(path, data, ephemeral)}
}

// SetStep is Set in a transaction.
func SetStep(path string, data []byte, version int32) Step {
	return Step{opSetData, encodeSet(path, data, version)}
}

// CheckStep fails a transaction unless the node has the version.
func CheckStep(path string, version int32) Step {
	return Step{opCheck, encoder{}.bytes([]byte(path)).i32(version)}
}

// Multi does all steps or none. The answer's code is that of the first step that cannot be done, its Stat
// that of the last SetStep.
func (s *Session) Multi(steps []Step, done func(Answer)) {
	body := encoder{}
	for _, step := range steps {
		body = append(body.i32(step.op).flag(false).i32(-1), step.body...)
	}
	s.enqueue(opMulti, body.i32(-1).flag(true).i32(-1), done)
}

func encodeCreate(path string, data []byte, ephemeral bool) encoder {
	b := encoder{}.bytes([]byte(path)).bytes(data).i32(1).i32(31).bytes([]byte("world")).bytes([]byte("anyone"))
	if ephemeral {
		return b.i32(1)
	}
	return b.i32(0)
}

func encodeSet(path string, data []byte, version int32) encoder {
	return encoder{}.bytes([]byte(path)).bytes(data).i32(version)
}

// Close ends the session at the service, and with it its ephemeral nodes, and waits for that no longer than
// within. Without it they stay until the session's time-out.
func (s *Session) Close(within time.Duration) {
	done := make(chan struct{})
	s.enqueue(opClose, nil, func(Answer) { close(done) })
	s.mu.Lock()
	s.closing = true
	s.mu.Unlock()
	select {
	case <-done:
	case <-s.Clock.After(within):
	}
}

// Run keeps the session until the context ends.
func (s *Session) Run(ctx context.Context) {
	for pause := minReconnectBackoff; ctx.Err() == nil; {
		began := s.Clock.Now()
		err := s.runConnection(ctx)
		s.failOutstanding()
		if errors.Is(err, errExpired) {
			s.state = sessionState{}
			s.Events.Expired()
		}
		s.mu.Lock()
		closing := s.closing
		s.mu.Unlock()
		if ctx.Err() != nil || closing {
			return
		}
		s.Log.Warn().Err(err).Msg("ownership service connection ended")
		if s.Clock.Now()-began > maxReconnectBackoff || errors.Is(err, errExpired) {
			pause = minReconnectBackoff
		}
		select {
		case <-ctx.Done():
		case <-s.Clock.After(time.Duration(float64(pause) * (0.5 + rand.Float64()))):
		}
		pause = min(2*pause, maxReconnectBackoff)
	}
}

// failOutstanding answers everything that has none.
func (s *Session) failOutstanding() {
	s.mu.Lock()
	was := s.connected
	lost := append(s.pending, s.unsent...)
	s.connected, s.pending, s.unsent, s.pingsSentAt = false, nil, nil, nil
	s.mu.Unlock()
	for _, r := range lost {
		r.done(Answer{Code: ConnectionLoss})
	}
	if was {
		s.Events.Disconnected()
	}
}

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

// decodeAnswer reads what comes after an decodeAnswer's header.
func decodeAnswer(op int32, code Code, r *decoder) Answer {
	a := Answer{Code: code}
	if code != OK {
		return a
	}
	switch op {
	case opGetData:
		a.Data = append([]byte(nil), r.bytes()...)
		a.Stat = decodeStat(r)
	case opExists, opSetData:
		a.Stat = decodeStat(r)
	case opGetChildren:
		for i := r.i32(); i > 0 && !r.truncated; i-- {
			a.Children = append(a.Children, string(r.bytes()))
		}
	case opMulti:
		a = decodeMulti(r)
	}
	return a
}

// decodeMulti reads the results of a transaction. Of one that failed all results are errors: 0 before the step that
// cannot be done, its code, and errUndone after it.
func decodeMulti(r *decoder) (a Answer) {
	for {
		kind, last := r.i32(), r.take(1)[0] == 1
		r.i32()
		switch {
		case r.truncated || last:
			return a
		case kind == -1:
			if code := Code(r.i32()); code != OK && code != codeRuntimeInconsistency && a.Code == OK {
				a.Code = code
			}
		case kind == opCreate:
			r.bytes()
		case kind == opSetData:
			a.Stat = decodeStat(r)
		}
	}
}

func decodeStat(r *decoder) (s Stat) {
	r.take(32)
	s.Version = r.i32()
	r.take(8)
	s.Owner = r.i64()
	r.i32()
	s.Children = r.i32()
	r.take(8)
	return s
}
