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
	// The session time-out divided by pingDivisor is the interval between pings when nothing else is written.
	// It is shorter than the session needs to stay alive, because a relay relies on its ownership only for a
	// time after the last answer.
	pingDivisor = 6
	// The session time-out divided by silenceDivisor is how long the service may send nothing before another
	// address is tried.
	silenceDivisor = 2
	// The session time-out divided by dialDivisor and writeDivisor bounds a dial and a write.
	dialDivisor  = 6
	writeDivisor = 3
	// batchBytes is the size from which a batch of requests is written without adding more to it.
	batchBytes = 64 << 10
	// minReconnectBackoff is the first pause before the next address is tried. Each pause doubles the last
	// one, up to maxReconnectBackoff.
	minReconnectBackoff = 50 * time.Millisecond
	maxReconnectBackoff = time.Second
	// minReconnectJitter is the smallest factor by which a pause is multiplied; the largest is one more.
	minReconnectJitter = 0.5
)

// Events receives the events of a session. Its methods are called in order and by one goroutine, which also
// calls the done functions of answered requests.
type Events interface {
	// Connected is called when a session has been begun or resumed by a connect request sent at sentAt.
	// granted is its time-out.
	Connected(session int64, granted, sentAt time.Duration)
	// Disconnected is called when the connection has ended, after every request without an answer has failed
	// with ConnectionLoss.
	Disconnected()
	// Expired is called when the session has expired or must be given up.
	Expired()
	// AnswerReceived is called when a request or ping sent at sentAt has been answered.
	AnswerReceived(sentAt time.Duration)
}

// Session keeps one session with a service, over one connection at a time to any of its addresses. Requests
// are pipelined: they are written in batches without waiting for answers, and answered in their order.
type Session struct {
	Timeout time.Duration // session time-out to request
	Clock   *relay.Clock
	Log     zerolog.Logger
	Events  Events

	closeOnce       sync.Once
	writerWake      chan struct{}   // holds a token while there may be requests to write
	state           sessionState    // used only by Run
	connectFailures connectFailures // used only by Run

	mu          sync.Mutex // guards the fields below
	addresses   []string
	nextAddress int
	closeConn   context.CancelFunc // closes the open connection
	connected   bool               // requests are accepted
	closing     bool
	outstandingRequests
}

// outstandingRequests are the requests and pings of a connection that have not been answered.
type outstandingRequests struct {
	unsent      []request
	pending     []request       // written and not answered, oldest first
	pingsSentAt []time.Duration // of the pings not answered, oldest first
	lastXid     int32
}

// request is a request whose body is encoded. Its xid is assigned when it is written.
type request struct {
	op     int32
	body   encoder
	xid    int32
	sentAt time.Duration
	done   func(Answer)
}

// NewSession returns a Session, which is begun by Run.
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

// SetAddresses changes the addresses of the service. The open connection is closed. The session is resumed if
// the new addresses belong to the same service.
func (s *Session) SetAddresses(addresses []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.addresses = addresses
	if s.closeConn != nil {
		s.closeConn()
	}
}

// enqueue queues a request and does not block. done is called exactly once, with ConnectionLoss if there is
// no answer.
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

// Close ends the session at the service, which deletes its ephemeral nodes, and waits for that at most for
// the time-out. Without Close the nodes remain until the session expires. Concurrent calls return together
// with the first one, later calls at once.
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

// Run keeps the session until the context ends or Close is called.
func (s *Session) Run(ctx context.Context) {
	for pause := minReconnectBackoff; ctx.Err() == nil; {
		startedAt := s.Clock.Now()
		err := s.runConnection(ctx)
		s.failOutstanding()
		s.mu.Lock()
		closing, addresses := s.closing, len(s.addresses)
		s.mu.Unlock()
		refused := s.connectFailures.record(err, s.Clock.Now(), addresses, s.Timeout)
		if refused || errors.Is(err, errExpired) {
			s.state = sessionState{}
			s.connectFailures = connectFailures{}
			s.Events.Expired()
		}
		if ctx.Err() != nil || closing {
			return
		}
		s.Log.Warn().Err(err).
			Msg("connection to the ownership service ended, reconnecting: check the service if this repeats")
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

// failOutstanding ends all requests that have not been answered with ConnectionLoss.
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
