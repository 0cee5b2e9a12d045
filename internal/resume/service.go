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
	Relay       string   // this relay's name, for the holder's node and for tokens
	Servers     []string // the claim service
	Path        string   // under which it keeps a node for each stream
	Session     float64
	ClaimWithin float64 // a claim that is not won by then is refused
	TokenLife   float64
	Renew       float64 // a client has its position in its token at least so often
	Skew        float64 // by which relays' clocks of the day may differ
	SweepEvery  float64 // records without a good token are looked for so often, 0 for never
	EveryServer bool    // every server takes streams up, whatever the list says
}

// Stats are counters since the start, for the log and for tests.
type Stats struct {
	Won, Held, Behind, Unknown, Unreachable, Slow, Lapsed, Swept uint64
}

// Service is one relay's. Its methods never block, but for Run and Close.
type Service struct {
	Config
	Clock *relay.Clock
	Log   zerolog.Logger
	wall  func() int64 // Unix ms

	ring    atomic.Pointer[token.Ring]
	until   atomic.Uint64 // bits of when claims are no longer to be trusted
	session *zookeeper.Session
	keeper  *ownership.Keeper // of Run alone
	streams map[uint64]*Stream
	acts    []ownership.Action

	mu      sync.Mutex
	inbox   []any // ownership.Event, or a func for Run
	ready   chan struct{}
	handles uint64
	stats   Stats
}

// New returns a Service that Run begins.
func New(c Config, ring *token.Ring, clock *relay.Clock, log zerolog.Logger) *Service {
	s := &Service{Config: c, Clock: clock, Log: log, keeper: ownership.New(rand.Uint64()), streams: map[uint64]*Stream{},
		ready: make(chan struct{}, 1), wall: func() int64 { return time.Now().UnixMilli() }}
	s.Path = path.Clean(c.Path)
	s.ring.Store(ring)
	s.session = zookeeper.NewSession(c.Servers, c.Session, clock, (*events)(s), log)
	return s
}

// SetRing takes a new ring of keys: its first seals at once, and what it lacks opens nothing any more.
func (s *Service) SetRing(r *token.Ring) { s.ring.Store(r) }

// Move follows other addresses of the claim service.
func (s *Service) Move(servers []string) { s.session.Move(servers) }

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

// Until is when this relay's claims are no longer to be trusted. It falls behind the clock while the claim
// service answers nothing, and while this process sleeps.
func (s *Service) Until() float64 { return math.Float64frombits(s.until.Load()) }

// post queues an event for Run.
func (s *Service) post(ev any) {
	s.mu.Lock()
	s.inbox = append(s.inbox, ev)
	s.mu.Unlock()
	select {
	case s.ready <- struct{}{}:
	default:
	}
}

func (s *Service) handle() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.handles++
	return s.handles
}

// Run keeps the session and the claims until the context ends.
func (s *Service) Run(ctx context.Context) {
	go s.session.Run(ctx)
	if s.SweepEvery > 0 {
		go s.sweeps(ctx)
	}
	wait := time.NewTimer(0)
	defer wait.Stop()
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case <-s.ready:
		case <-wait.C:
			s.feed(ownership.Tick{})
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
				s.feed(ev)
			}
		}
		wait.Reset(relay.Duration(max(1, s.keeper.Next()-s.Clock.NowMillis())))
	}
}

// Close gives all claims back at once, at the end of a relay's life, and waits for that no longer than within.
func (s *Service) Close(within float64) { s.session.Close(within) }

// feed lets the Keeper act. Only Run calls it, so answers reach calls in the order in which they were decided.
func (s *Service) feed(ev ownership.Event) {
	s.acts = s.keeper.Handle(s.Clock.NowMillis(), ev, s.acts[:0])
	s.until.Store(math.Float64bits(s.keeper.Until()))
	for _, act := range s.acts {
		switch a := act.(type) {
		case ownership.Ask:
			s.ask(a)
		case ownership.Won:
			s.count(&s.stats.Won)
			s.streams[a.Handle].won(a.Generation)
		case ownership.Refused:
			s.refused(a)
		case ownership.Lapsed:
			s.count(&s.stats.Lapsed)
			if st := s.streams[a.Handle]; st != nil {
				st.lapse()
			}
		case ownership.Released:
			if st := s.streams[a.Handle]; st != nil {
				delete(s.streams, a.Handle)
				st.free()
			}
		}
	}
}

func (s *Service) refused(a ownership.Refused) {
	st := s.streams[a.Handle]
	delete(s.streams, a.Handle)
	answer := relay.Answer{Kind: relay.Rejected, RetryAfter: a.After}
	switch a.Why {
	case ownership.Held:
		s.count(&s.stats.Held)
	case ownership.Behind:
		s.count(&s.stats.Behind)
		answer = relay.Answer{Kind: relay.Failed, Note: NoteBehind}
	case ownership.Unknown:
		s.count(&s.stats.Unknown)
		answer = relay.Answer{Kind: relay.Failed, Note: NoteUnknown}
	case ownership.Unreachable:
		s.count(&s.stats.Unreachable)
	case ownership.Slow:
		s.count(&s.stats.Slow)
	}
	if st != nil {
		st.free()
		st.refused(answer)
	}
}

// ask puts a Keeper's request to the claim service.
func (s *Service) ask(a ownership.Ask) {
	record := s.Path + "/" + a.Stream.String()
	holder := record + "/holder"
	done := func(z zookeeper.Answer) {
		r := ownership.Reply{Ask: a.No, Version: z.Stat.Version, Owner: z.Stat.Owner}
		switch z.Code {
		case zookeeper.OK:
		case zookeeper.NoNode:
			r.Code = ownership.NoNode
		case zookeeper.NodeExists:
			r.Code = ownership.Exists
		case zookeeper.BadVersion:
			r.Code = ownership.BadVersion
		case zookeeper.Lost:
			r.Code = ownership.Lost
		default:
			s.Log.Warn().Int32("code", int32(z.Code)).Str("node", record).Msg("claim service refuses a request")
			r.Code = ownership.Other
		}
		if a.Kind == ownership.Read && r.Code == ownership.OK {
			var ok bool
			if r.Record, ok = ownership.ParseRecord(z.Data); !ok {
				s.Log.Warn().Str("node", record).Msg("a record of another version; not used")
				r.Code = ownership.Other
			}
		}
		s.post(r)
	}
	switch a.Kind {
	case ownership.Read:
		s.session.Get(record, done)
	case ownership.Make:
		s.session.Multi([]zookeeper.Step{zookeeper.CreateStep(record, a.Record.Marshal(), false),
			zookeeper.CreateStep(holder, []byte(s.Relay), true)}, done)
	case ownership.Take:
		s.session.Multi([]zookeeper.Step{zookeeper.SetStep(record, a.Record.Marshal(), a.Version),
			zookeeper.CreateStep(holder, []byte(s.Relay), true)}, done)
	case ownership.Look:
		s.session.Sync(holder, func(zookeeper.Answer) {})
		s.session.Exists(holder, done)
	case ownership.Delete:
		s.session.Delete(holder, -1, done)
	case ownership.Raise:
		s.session.Set(record, a.Record.Marshal(), a.Version, done)
	}
}

// events is the Service as its session sees it.
type events Service

func (e *events) Connected(session int64, granted, sentAt float64) {
	s := (*Service)(e)
	s.Log.Info().Float64("session_ms", granted).Msg("claim service: connected")
	for i, p := range ancestors(s.Path) { // made by whoever comes first
		s.session.Create(p, nil, false, func(a zookeeper.Answer) {
			if a.Code != zookeeper.OK && a.Code != zookeeper.NodeExists && a.Code != zookeeper.Lost && i == 0 {
				s.Log.Error().Int32("code", int32(a.Code)).Str("path", p).Msg("claim service: the path cannot be made")
			}
		})
	}
	s.post(ownership.Connected{Session: session, Granted: granted, At: sentAt})
}

func (e *events) Disconnected() { (*Service)(e).post(ownership.Disconnected{}) }

func (e *events) Expired() {
	(*Service)(e).Log.Warn().Msg("claim service: session expired")
	(*Service)(e).post(ownership.Expired{})
}

func (e *events) Answered(sentAt float64) { (*Service)(e).post(ownership.Proven{At: sentAt}) }

// ancestors lists a path and those above it, the topmost first.
func ancestors(p string) []string {
	if p == "/" || p == "." {
		return nil
	}
	return append(ancestors(path.Dir(p)), p)
}
