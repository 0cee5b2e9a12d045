// Package resume is the driver round tokens and claims for one relay: it feeds the ownership.Keeper with what the
// session with the claim service says, does what the Keeper asks, and tells calls whether their streams are
// theirs. It knows no front's wire. docs/design/resume.md has the reasons, docs/RESUME.md the platform's lines.
package resume

import (
	"context"
	"math"
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

// Config is what a Service is told. Times are in milliseconds.
type Config struct {
	Relay              string   // this relay's name, for the holder's node and for tokens
	Servers            []string // the claim service
	Path               string   // under which it keeps a node for each stream
	SessionTimeout     float64
	AcquireTimeout     float64 // a claim that is not won by then is refused
	TokenLifetime      float64
	TokenRenewInterval float64 // a client has its position in its token at least so often
	MaxClockSkew       float64 // by which relays' clocks of the day may differ
	SweepInterval      float64 // records without a good token are looked for so often, 0 for never
	AllServersResume   bool    // every server takes streams up, whatever the list says
}

// Stats are counters since the start, for the log and for tests.
type Stats struct {
	Acquired, AlreadyOwned, StaleToken, UnknownStream, ServiceUnreachable, TimedOut, Expired, Swept uint64
}

// Service is one relay's. Its methods never block, but for Run and Close.
type Service struct {
	Config
	Clock   *relay.Clock
	Log     zerolog.Logger
	unixNow func() int64 // Unix ms

	keys       atomic.Pointer[token.KeyRing]
	validUntil atomic.Uint64 // bits of when claims are no longer to be trusted
	session    *zookeeper.Session
	lease      *ownership.Lease // of Run alone
	streams    map[uint64]*Stream
	actions    []ownership.Action

	mu         sync.Mutex
	inbox      []any // ownership.Event, or a func for Run
	wake       chan struct{}
	lastHandle uint64
	stats      Stats
}

// New returns a Service that Run begins.
func New(c Config, ring *token.KeyRing, clock *relay.Clock, log zerolog.Logger) *Service {
	s := &Service{Config: c, Clock: clock, Log: log, lease: ownership.New(rand.Uint64()), streams: map[uint64]*Stream{},
		wake: make(chan struct{}, 1), unixNow: func() int64 { return time.Now().UnixMilli() }}
	s.Path = path.Clean(c.Path)
	s.keys.Store(ring)
	s.session = zookeeper.NewSession(c.Servers, c.SessionTimeout, clock, (*sessionEvents)(s), log)
	return s
}

// SetKeys takes a new ring of keys: its first seals at once, and what it lacks opens nothing any more.
func (s *Service) SetKeys(r *token.KeyRing) { s.keys.Store(r) }

// SetServers follows other addresses of the claim service.
func (s *Service) SetServers(servers []string) { s.session.Move(servers) }

// Stats returns the counters.
func (s *Service) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stats
}

func (s *Service) count(n *uint64) {
	s.mu.Lock()
	*n++
	s.mu.Unlock()
}

// ValidUntil is when this relay's claims are no longer to be trusted. It falls behind the clock while the claim
// service answers nothing, and while this process sleeps.
func (s *Service) ValidUntil() float64 { return math.Float64frombits(s.validUntil.Load()) }

// enqueue queues an event for Run.
func (s *Service) enqueue(ev any) {
	s.mu.Lock()
	s.inbox = append(s.inbox, ev)
	s.mu.Unlock()
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

func (s *Service) nextHandle() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastHandle++
	return s.lastHandle
}

// Run keeps the session and the claims until the context ends.
func (s *Service) Run(ctx context.Context) {
	go s.session.Run(ctx)
	if s.SweepInterval > 0 {
		go s.sweepLoop(ctx)
	}
	wait := time.NewTimer(0)
	defer wait.Stop()
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case <-s.wake:
		case <-wait.C:
			s.handleEvent(ownership.Tick{})
		}
		s.mu.Lock()
		batch := s.inbox
		s.inbox = nil
		s.mu.Unlock()
		for _, ev := range batch {
			switch ev := ev.(type) {
			case func():
				ev()
			case ownership.Event:
				s.handleEvent(ev)
			}
		}
		wait.Reset(max(time.Millisecond, s.lease.NextTick()-s.Clock.Now()))
	}
}

// Close gives all claims back at once, at the end of a relay's life, and waits for that no longer than within.
func (s *Service) Close(within float64) { s.session.Close(within) }

// handleEvent lets the Keeper act. Only Run calls it, so answers reach calls in the order in which they were decided.
func (s *Service) handleEvent(ev ownership.Event) {
	s.actions = s.lease.Handle(s.Clock.Now(), ev, s.actions[:0])
	s.validUntil.Store(math.Float64bits(relay.Millis(s.lease.ValidUntil())))
	for _, act := range s.actions {
		switch a := act.(type) {
		case ownership.Request:
			s.sendRequest(a)
		case ownership.Acquired:
			s.count(&s.stats.Acquired)
			s.streams[a.Handle].acquired(a.FencingToken)
		case ownership.Rejected:
			s.rejected(a)
		case ownership.LeaseExpired:
			s.count(&s.stats.Expired)
			if st := s.streams[a.Handle]; st != nil {
				st.leaseExpired()
			}
		case ownership.Released:
			if st := s.streams[a.Handle]; st != nil {
				delete(s.streams, a.Handle)
				st.markReleased()
			}
		}
	}
}

func (s *Service) rejected(a ownership.Rejected) {
	st := s.streams[a.Handle]
	delete(s.streams, a.Handle)
	answer := relay.Answer{Kind: relay.Rejected, RetryAfter: a.RetryAfter}
	switch a.Reason {
	case ownership.ErrAlreadyOwned:
		s.count(&s.stats.AlreadyOwned)
	case ownership.ErrStaleToken:
		s.count(&s.stats.StaleToken)
		answer = relay.Answer{Kind: relay.Failed, Note: NoteStaleToken}
	case ownership.ErrUnknownStream:
		s.count(&s.stats.UnknownStream)
		answer = relay.Answer{Kind: relay.Failed, Note: NoteUnknownStream}
	case ownership.ErrServiceUnreachable:
		s.count(&s.stats.ServiceUnreachable)
	case ownership.ErrTimedOut:
		s.count(&s.stats.TimedOut)
	}
	if st != nil {
		st.markReleased()
		st.rejected(answer)
	}
}
