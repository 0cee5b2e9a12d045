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

// Config contains the settings of a Service.
type Config struct {
	Relay              string   // this relay's name, written to holder nodes and tokens
	Servers            []string // addresses of the ownership service
	Path               string   // path below which the service stores a node for each stream
	SessionTimeout     time.Duration
	AcquireTimeout     time.Duration // a resumed stream that is not acquired within it is rejected
	TokenLifetime      time.Duration
	TokenRenewInterval time.Duration // time after which a changed position is sent in a new token
	MaxClockSkew       time.Duration // difference allowed between the wall clocks of relays
	SweepInterval      time.Duration // mean time between two sweeps of expired records; 0 for no sweeps
	AllServersResume   bool          // every server can resume streams, whatever the endpoint list says
}

// Stats contains counters since the start: streams acquired, acquisitions rejected by reason, leases expired
// and records swept.
type Stats struct {
	Acquired, AlreadyOwned, StaleToken, UnknownStream, ServiceUnreachable, TimedOut,
	LeasesExpired, RecordsSwept uint64
}

// Service manages the resumable streams of one relay. Its methods do not block, except Run, Sweep and Close.
type Service struct {
	Config
	Clock *relay.Clock
	Log   zerolog.Logger

	wallNow    func() time.Time
	keys       atomic.Pointer[token.KeyRing]
	validUntil atomic.Int64 // ValidUntil of the lease, as a time.Duration
	session    *zookeeper.Session

	// These fields are used only by Run's goroutine.
	lease   *ownership.Lease
	streams map[uint64]*Stream // by handle
	actions []ownership.Action

	inboxSignal chan struct{} // holds an element while the inbox is not empty

	mu         sync.Mutex
	inbox      []any // each an ownership.Event, or a func() that Run calls
	lastHandle uint64
	stats      Stats
}

// New returns a Service, which starts working when Run is called.
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

// SetKeys replaces the key ring. New tokens are sealed with its first key, and tokens sealed with a key that
// the ring does not contain are rejected.
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

// ValidUntil returns the instant from which on this relay's ownership is not trusted. The clock passes it if
// the ownership service does not answer for too long, or if this process is suspended.
func (s *Service) ValidUntil() time.Duration { return time.Duration(s.validUntil.Load()) }

// enqueue adds an event or a function to the inbox, for Run to handle.
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

// nextHandle returns a handle that was never used.
func (s *Service) nextHandle() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastHandle++
	return s.lastHandle
}

// Run maintains the session and the ownership of streams until the context ends. The goroutines that it
// starts end with the context too.
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

// Close closes the session, which releases all owned streams at once, when the process ends. It waits for
// that no longer than within, and must be called only once.
func (s *Service) Close(within time.Duration) { s.session.Close(within) }

// handleEvent passes an event to the Lease and executes the resulting actions. Only Run's goroutine calls it,
// so streams are notified in the order of the actions.
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

// handleRejected counts a rejected acquisition and passes the answer to its stream.
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
