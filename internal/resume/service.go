package resume

import (
	"context"
	"math/rand/v2"
	"path"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"capersail/internal/ownership"
	"capersail/internal/relay"
	"capersail/internal/token"
	"capersail/internal/wire/zookeeper"
)

// Config is what a Service is set to.
type Config struct {
	Relay              string   // this relay's name, for holder nodes and tokens
	Servers            []string // addresses of the ownership service
	Path               string   // under which the service keeps a node for each stream
	SessionTimeout     time.Duration
	AcquireTimeout     time.Duration // a stream that is not acquired by then is rejected
	TokenLifetime      time.Duration
	TokenRenewInterval time.Duration // a client has its position in a token at least so often
	MaxClockSkew       time.Duration // by which relays' wall clocks may differ
	SweepInterval      time.Duration // between two searches for records without a valid token; 0 for none
	AllServersResume   bool          // every server takes streams up, whatever the endpoint list says
}

// Stats count since the start: streams acquired, rejected by reason and expired, and records swept.
type Stats struct {
	Acquired, AlreadyOwned, StaleToken, UnknownStream, ServiceUnreachable, TimedOut,
	LeasesExpired, RecordsSwept uint64
}

// Service is one relay's. Its methods never block, but for Run, Sweep and Close.
type Service struct {
	Config
	Clock *relay.Clock
	Log   zerolog.Logger

	wallNow    func() time.Time
	keys       atomic.Pointer[token.KeyRing]
	validUntil atomic.Int64 // the lease's, as a time.Duration
	session    *zookeeper.Session

	// Run's goroutine alone uses these.
	lease   *ownership.Lease
	streams map[uint64]*Stream // by handle
	actions []ownership.Action

	inboxSignal chan struct{} // holds a token while the inbox is not empty

	mu         sync.Mutex
	inbox      []any // ownership.Event, or a func for Run
	lastHandle uint64
	stats      Stats
}

// New returns a Service that Run begins.
func New(c Config, keys *token.KeyRing, clock *relay.Clock, log zerolog.Logger) *Service {
	s := &Service{
		Config:      c,
		Clock:       clock,
		Log:         log,
		wallNow:     time.Now,
		lease:       ownership.New(rand.Uint64()),
		streams:     map[uint64]*Stream{},
		inboxSignal: make(chan struct{}, 1),
	}
	s.Path = path.Clean(c.Path)
	s.keys.Store(keys)
	s.session = zookeeper.NewSession(c.Servers, c.SessionTimeout, clock, (*sessionEvents)(s), log)
	return s
}

// SetKeys replaces the key ring: its first key seals from now on, and tokens of keys that it lacks are
// rejected.
func (s *Service) SetKeys(keys *token.KeyRing) { s.keys.Store(keys) }

// SetServers replaces the addresses of the ownership service.
func (s *Service) SetServers(servers []string) { s.session.SetAddresses(servers) }

// Stats returns the counters.
func (s *Service) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stats
}

func (s *Service) increment(counter *uint64) {
	s.mu.Lock()
	*counter++
	s.mu.Unlock()
}

// ValidUntil is the instant from which on this relay's ownership is not trusted. It falls behind the clock
// while the ownership service answers nothing, and while this process sleeps.
func (s *Service) ValidUntil() time.Duration { return time.Duration(s.validUntil.Load()) }

// enqueue leaves an event, or a function, to Run.
func (s *Service) enqueue(ev any) {
	s.mu.Lock()
	s.inbox = append(s.inbox, ev)
	s.mu.Unlock()
	select {
	case s.inboxSignal <- struct{}{}:
	default:
	}
}

func (s *Service) takeInbox() []any {
	s.mu.Lock()
	defer s.mu.Unlock()
	batch := s.inbox
	s.inbox = nil
	return batch
}

// nextHandle is a handle that was never used.
func (s *Service) nextHandle() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastHandle++
	return s.lastHandle
}

// Run keeps the session and the ownership until the context ends, and with it the goroutines that it starts.
func (s *Service) Run(ctx context.Context) {
	go s.session.Run(ctx)
	if s.SweepInterval > 0 {
		go s.sweepLoop(ctx)
	}
	timer := time.NewTimer(0)
	defer timer.Stop()
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case <-s.inboxSignal:
		case <-timer.C:
			s.handleEvent(ownership.Tick{})
		}
		for _, ev := range s.takeInbox() {
			switch ev := ev.(type) {
			case func():
				ev()
			case ownership.Event:
				s.handleEvent(ev)
			}
		}
		timer.Reset(max(time.Millisecond, s.lease.NextTick()-s.Clock.Now()))
	}
}

// Close ends the session, and with it all ownership at once, as the process ends. It waits no longer than
// within for that, and is called once.
func (s *Service) Close(within time.Duration) { s.session.Close(within) }

// handleEvent lets the Lease act. Only Run's goroutine calls it, so streams are notified of decisions in
// their order.
func (s *Service) handleEvent(ev ownership.Event) {
	s.actions = s.lease.Handle(s.Clock.Now(), ev, s.actions[:0])
	s.validUntil.Store(int64(s.lease.ValidUntil()))
	for _, act := range s.actions {
		switch a := act.(type) {
		case ownership.Request:
			s.sendRequest(a)
		case ownership.StreamAcquired:
			s.increment(&s.stats.Acquired)
			s.streams[a.Handle].handleAcquired(a.FencingToken)
		case ownership.AcquisitionRejected:
			s.handleRejected(a)
		case ownership.LeaseExpired:
			s.increment(&s.stats.LeasesExpired)
			if st := s.streams[a.Handle]; st != nil {
				st.handleLeaseExpired()
			}
		case ownership.StreamReleased:
			if st := s.streams[a.Handle]; st != nil {
				delete(s.streams, a.Handle)
				st.markReleased()
			}
		}
	}
}

// handleRejected answers a stream whose acquisition was rejected.
func (s *Service) handleRejected(a ownership.AcquisitionRejected) {
	st := s.streams[a.Handle]
	delete(s.streams, a.Handle)
	answer := relay.Answer{Kind: relay.Rejected, RetryAfter: a.RetryAfter}
	switch a.Reason {
	case ownership.ErrAlreadyOwned:
		s.increment(&s.stats.AlreadyOwned)
	case ownership.ErrStaleToken:
		s.increment(&s.stats.StaleToken)
		answer = relay.Answer{Kind: relay.Failed, Note: NoteStaleToken}
	case ownership.ErrUnknownStream:
		s.increment(&s.stats.UnknownStream)
		answer = relay.Answer{Kind: relay.Failed, Note: NoteUnknownStream}
	case ownership.ErrServiceUnreachable:
		s.increment(&s.stats.ServiceUnreachable)
	case ownership.ErrTimedOut:
		s.increment(&s.stats.TimedOut)
	}
	if st != nil {
		st.markReleased()
		st.handleRejected(answer)
	}
}
