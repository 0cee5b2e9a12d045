package zookeeper

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"capersail/internal/relay"
)

const (
	// A session's time-out divided by pingDivisor is how long it may go without a request. Ownership is
	// trusted by what was answered last, so pings come more often than a session needs to live.
	pingDivisor = 6
	// Divided by silenceDivisor, how long a service may be silent before another address is tried.
	silenceDivisor = 2
	// Divided by dialDivisor and writeDivisor, how long a dial and a write may take.
	dialDivisor  = 6
	writeDivisor = 3
	// batchBytes of requests are written at once at most.
	batchBytes = 64 << 10
	// minReconnectBackoff is the pause before the next address is tried. It doubles, each with jitter.
	minReconnectBackoff = 50 * time.Millisecond
	maxReconnectBackoff = time.Second
	minReconnectJitter  = 0.5 // of a pause; the most is one more
)

// Events is notified of what happens to a session, in order and from one goroutine, as answers are.
type Events interface {
	// Connected: a session, new or resumed, was granted its time-out by a request sent at sentAt.
	Connected(session int64, granted, sentAt time.Duration)
	// Disconnected: every request without an answer has been answered ConnectionLoss.
	Disconnected()
	// Expired: the service has forgotten the session.
	Expired()
	// AnswerReceived: something sent at sentAt was answered.
	AnswerReceived(sentAt time.Duration)
}

// Session keeps one session with a service, over connections to any of its addresses. Requests are pipelined:
// they are written together, without waiting for one another's answers, and answered in their order.
type Session struct {
	Timeout time.Duration // the session time-out to ask for
	Clock   *relay.Clock
	Log     zerolog.Logger
	Events  Events

	closeOnce       sync.Once
	writerWake      chan struct{}   // holds a token while there may be something to write
	state           sessionState    // of Run alone
	connectFailures connectFailures // the same

	mu          sync.Mutex // guards what follows
	addresses   []string
	nextAddress int
	closeConn   context.CancelFunc // ends the connection that is open
	connected   bool               // requests are taken
	closing     bool
	outstandingRequests
}

// outstandingRequests is what a connection owes answers to.
type outstandingRequests struct {
	unsent      []request
	pending     []request       // written, without an answer, the oldest first
	pingsSentAt []time.Duration // of those without an answer, the oldest first
	lastXid     int32
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
func NewSession(
	addresses []string, timeout time.Duration, clock *relay.Clock, events Events, log zerolog.Logger,
) *Session {
	return &Session{
		Timeout:     timeout,
		Clock:       clock,
		Log:         log,
		Events:      events,
		addresses:   addresses,
		nextAddress: rand.IntN(max(1, len(addresses))),
		writerWake:  make(chan struct{}, 1),
	}
}

// SetAddresses follows another list of addresses. The connection that is open is closed; the session goes on
// if the addresses are the same service's.
func (s *Session) SetAddresses(addresses []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.addresses = addresses
	if s.closeConn != nil {
		s.closeConn()
	}
}

// enqueue queues a request; done is called once, with ConnectionLoss where there is no answer. It never
// blocks.
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

// Close ends the session at the service, and with it its ephemeral nodes, and waits for that no longer than a
// timeout. Without it they stay until the session's time-out. Whoever calls it beside or after the first
// waits no longer than that.
func (s *Session) Close(timeout time.Duration) {
	s.closeOnce.Do(func() { s.close(timeout) })
}

func (s *Session) close(timeout time.Duration) {
	done := make(chan struct{})
	s.enqueue(opClose, nil, func(Answer) { close(done) })
	s.mu.Lock()
	s.closing = true
	s.mu.Unlock()
	select {
	case <-done:
	case <-s.Clock.After(timeout):
	}
}

// Run keeps the session until the context ends, or Close has ended it.
func (s *Session) Run(ctx context.Context) {
	for pause := minReconnectBackoff; ctx.Err() == nil; {
		startedAt := s.Clock.Now()
		err := s.runConnection(ctx)
		s.failOutstanding()
		s.mu.Lock()
		closing, addresses := s.closing, len(s.addresses)
		s.mu.Unlock()
		refused := s.connectFailures.recordFailure(err, s.Clock.Now(), addresses, s.Timeout)
		if refused || errors.Is(err, errExpired) {
			s.state = sessionState{}
			s.connectFailures = connectFailures{}
			s.Events.Expired()
		}
		if ctx.Err() != nil || closing {
			return
		}
		s.Log.Warn().Err(err).Msg("ownership service connection ended")
		if s.Clock.Now()-startedAt > maxReconnectBackoff || errors.Is(err, errExpired) {
			pause = minReconnectBackoff
		}
		jitter := minReconnectJitter + rand.Float64()
		select {
		case <-ctx.Done():
		case <-s.Clock.After(time.Duration(float64(pause) * jitter)):
		}
		pause = min(2*pause, maxReconnectBackoff)
	}
}

// failOutstanding answers everything that has no answer with ConnectionLoss.
func (s *Session) failOutstanding() {
	s.mu.Lock()
	wasConnected := s.connected
	unanswered := append(s.pending, s.unsent...)
	s.connected, s.pending, s.unsent, s.pingsSentAt = false, nil, nil, nil
	s.mu.Unlock()
	for _, r := range unanswered {
		r.done(Answer{Code: ConnectionLoss})
	}
	if wasConnected {
		s.Events.Disconnected()
	}
}
