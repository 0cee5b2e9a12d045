package relay

import (
	"container/heap"
	"context"
	"fmt"
	"runtime/debug"
	"time"

	"github.com/rs/zerolog"

	"capersail/decide"
	"capersail/internal/fleet/probing"
	"capersail/internal/observe/recorder"
)

// Discovery is where the list of servers comes from. Neither method may block. Each is answered by one
// call of Exchange.Members, of the kind Failed if it could not be done; a watch goes on bringing changes.
type Discovery interface {
	Watch()
	Fetch()
}

const (
	sweepInterval = 250.0
	// backstopDelay is how long after a request's deadline the backstop answers it. The rules allow 20 ms
	// and 50 ms more on sockets; the module's own answer takes a tick or two.
	backstopDelay = 20.0
)

// FleetView is what this relay knows of the others. What Hold returns stands until Release: whoever changes it waits, so
// that no decision is made by a share that this relay has said it no longer takes. Neither may block for long.
type FleetView interface {
	LockStatus(now float64) decide.FleetStatus
	UnlockStatus()
}

// EventLoop is the loop that alone owns the Balancer, its timers and the actions it wants.
type EventLoop struct {
	table      *RequestTable
	balancer   *decide.Balancer
	dialer     ServerDialer
	discovery  Discovery
	log        zerolog.Logger
	timers     timers
	actions    []decide.Action
	sweptAt    float64
	tick       float64
	candidates []decide.PooledServer // of the placement under way, for the tap
	// Fleet is nil where the relays do not know each other. It is set before Run.
	FleetView FleetView
	// Shared is nil where this relay looks at servers for itself. It is set before Run, and with Fleet only.
	SharedProbing *SharedProbing
}

// NewEventLoop returns the loop of a relay that has just started.
func NewEventLoop(table *RequestTable, seed uint64, lister Discovery, log zerolog.Logger) *EventLoop {
	return &EventLoop{table: table, balancer: decide.New(table.deployment.Settings, seed), dialer: table.dialer, discovery: lister, log: log,
		tick: Millis(table.deployment.Settings.Tick), candidates: make([]decide.PooledServer, 0, recorder.MaxCandidates+1)}
}

// Run feeds the module until the context ends. It handles what has come in at most once a tick, as the
// module expects it.
func (l *EventLoop) Run(ctx context.Context) {
	wait := time.NewTimer(0)
	defer wait.Stop()
	for last := l.table.Clock.NowMillis(); ; {
		select {
		case <-ctx.Done():
			return
		case <-l.table.ready:
		case <-wait.C:
		}
		if early := last + l.tick - l.table.Clock.NowMillis(); early > 0 {
			time.Sleep(Duration(early))
		}
		last = l.table.Clock.NowMillis()
		wait.Reset(Duration(l.Step()))
	}
}

// Step handles everything that has come in or is due now, and returns how long until the next timer.
func (l *EventLoop) Step() float64 {
	now := l.table.Clock.NowMillis()
	l.table.mu.Lock()
	batch := l.table.inbox
	l.table.inbox = nil
	l.table.mu.Unlock()
	if l.SharedProbing != nil {
		l.SharedProbing.updateParticipants(now)
		defer l.SharedProbing.sendOutbox() // once the fleet is released
	}
	if l.FleetView != nil {
		f := l.FleetView.LockStatus(now)
		f.SharesReadings = l.SharedProbing != nil && l.SharedProbing.scheduler.HasPeers()
		f.SharesPlacements = f.SharesPlacements && f.SharesReadings
		l.handle(now, f)
		defer l.FleetView.UnlockStatus()
	}
	for _, ev := range batch {
		if l.SharedProbing != nil && !l.routeProbingEvent(now, ev) {
			continue
		}
		if r, ok := ev.(decide.Request); ok {
			l.timers.set(timer{dueAt: now + Millis(r.TimeLeft) + backstopDelay, request: r.ID})
		}
		l.handle(now, ev)
	}
	for len(l.timers.entries) > 0 && l.timers.entries[0].dueAt <= now {
		due := heap.Pop(&l.timers).(timer)
		if due.request == 0 {
			l.handle(now, decide.TimerFired{Token: due.token})
		} else if l.table.failOverdue(due.request) {
			l.log.Error().Uint64("request", uint64(due.request)).Msg("no answer by the deadline; failed")
		}
	}
	if now-l.sweptAt >= sweepInterval {
		l.sweptAt = now
		l.table.sweepSilentServers()
		l.table.ejectedCount.Store(int64(l.balancer.EjectedCount()))
	}
	next := sweepInterval
	if l.SharedProbing != nil {
		next = min(next, l.stepSchedulerIfDue(now))
	}
	if len(l.timers.entries) > 0 {
		next = min(next, l.timers.entries[0].dueAt-now)
	}
	return max(next, 0)
}

// handle lets the module act. A panic there must not take every open connection down with it: the
// request it was about gets its answer from the backstop.
func (l *EventLoop) handle(now float64, ev decide.Event) {
	defer func() {
		if p := recover(); p != nil {
			l.log.Error().Str("event", fmt.Sprintf("%T", ev)).Str("panic", fmt.Sprint(p)).Bytes("stack", debug.Stack()).
				Msg("the decision module panicked")
		}
	}()
	l.actions = l.balancer.Handle(Duration(now), ev, l.actions[:0])
	for _, act := range l.actions {
		l.perform(act)
	}
}

func (l *EventLoop) perform(act decide.Action) {
	switch a := act.(type) {
	case decide.Forward:
		if l.table.Recorder != nil {
			l.candidates = l.balancer.ProbePool(l.candidates[:0])
		}
		if l.SharedProbing != nil {
			l.stepScheduler(l.table.Clock.NowMillis(), probing.LocalPlacement{ServerKey: l.serverKey(a.Server), Delta: 1})
		}
		l.table.startAttempt(a.ID, a.Server, Millis(a.Timeout), l.candidates)
	case decide.Reject:
		l.table.answer(a.ID, Answer{Kind: Rejected, RetryAfter: Millis(a.RetryAfter), reason: a.Reason, decidedBy: recorder.Module})
	case decide.Fail:
		l.table.answer(a.ID, Answer{Kind: Failed, reason: a.Reason, decidedBy: recorder.Module})
	case decide.Migrate:
		l.table.migrate(a.ID)
	case decide.CancelAttempt:
		l.table.cancelAttempt(a.ID, a.Attempt)
	case decide.Probe:
		l.probe(a.Server)
	case decide.Timer:
		l.timers.set(timer{dueAt: l.table.Clock.NowMillis() + Millis(a.After), token: a.Token})
	case decide.Subscribe:
		l.discovery.Watch()
	case decide.FetchSnapshot:
		l.discovery.Fetch()
	case decide.Log:
		l.log.Info().Msg(a.Text)
	default: // no kept connections but those of probes, and no peers: nothing to do
		l.log.Warn().Str("action", fmt.Sprintf("%T", act)).Msg("action ignored")
	}
}

func (l *EventLoop) probe(id decide.ServerID) {
	l.table.mu.Lock()
	s := *l.table.endpoints.servers[id]
	l.table.mu.Unlock()
	began := l.table.Clock.NowMillis()
	l.dialer.Probe(s, func(status decide.Status, report decide.LoadReport) {
		l.table.mu.Lock()
		defer l.table.mu.Unlock()
		if l.table.Recorder != nil {
			now := l.table.Clock.NowMillis()
			l.table.recordProbe(now, id, status, now-began, report)
		}
		l.table.post(decide.ProbeResult{Server: id, Status: status, Latency: Duration(l.table.Clock.NowMillis() - began), Report: report})
	})
}
