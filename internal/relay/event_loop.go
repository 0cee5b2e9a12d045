package relay

import (
	"context"
	"fmt"
	"runtime/debug"
	"time"

	"github.com/rs/zerolog"

	"capersail/decide"
	"capersail/internal/fleet/probing"
	"capersail/internal/observe/recorder"
)

// Discovery is where endpoint lists come from. Neither method may block. Each is answered by one call of
// RequestTable.UpdateEndpoints, of the kind WatchFailed if it could not be done; a watch goes on bringing
// changes.
type Discovery interface {
	Watch()
	Fetch()
}

// FleetStatusSource is what this relay knows of the others. The status that LockStatus returns stands until
// UnlockStatus: whoever changes it waits, so that no decision is made by a share that this relay has said
// it no longer takes. Neither method may block for long. now is the event loop's instant.
type FleetStatusSource interface {
	LockStatus(now time.Duration) decide.FleetStatus
	UnlockStatus()
}

const (
	// sweepInterval is how often the event loop checks for silent servers and an expired lease of the
	// endpoint list, and how long it waits at most.
	sweepInterval = 250 * time.Millisecond
	// backstopDelay is how long after a request's deadline the backstop answers it. The rules allow 20 ms,
	// and 50 ms more on sockets; the decision module's own answer takes a tick or two.
	backstopDelay = 20 * time.Millisecond
	// decisionPrecision is what instants and durations are rounded to for the decision module.
	decisionPrecision = time.Microsecond
)

// EventLoop feeds the decision module with what has come in and is due, and carries out its actions. It
// alone owns the module and its timers. One goroutine calls Run, or Step.
type EventLoop struct {
	// FleetView is nil where the relays do not know each other. It is set before Run.
	FleetStatus FleetStatusSource
	// SharedProbing is nil where this relay probes servers for itself. It is set before Run, and with
	// FleetView only.
	SharedProbing *SharedProbing

	table      *RequestTable
	balancer   *decide.Balancer
	discovery  Discovery
	log        zerolog.Logger
	timers     timerQueue
	tick       time.Duration // least time between two steps
	sweptAt    time.Duration
	actions    []decide.Action       // scratch of handle
	candidates []decide.PooledServer // scratch of perform: of the placement under way
}

// NewEventLoop returns the event loop of a relay that has just started. seed is the decision module's.
func NewEventLoop(table *RequestTable, seed uint64, discovery Discovery, log zerolog.Logger) *EventLoop {
	settings := table.deployment.Settings
	return &EventLoop{
		table:      table,
		balancer:   decide.New(settings, seed),
		discovery:  discovery,
		log:        log,
		tick:       settings.Tick,
		candidates: make([]decide.PooledServer, 0, recorder.MaxCandidates+1),
	}
}

// Run steps until the context ends: when something has come in, at most once a tick, as the decision module
// expects it, and when a timer is due.
func (l *EventLoop) Run(ctx context.Context) {
	due := time.NewTimer(0)
	defer due.Stop()
	for last := l.table.Clock.Now(); ; {
		select {
		case <-ctx.Done():
			return
		case <-l.table.inbox.ready:
		case <-due.C:
		}
		if early := last + l.tick - l.table.Clock.Now(); early > 0 {
			time.Sleep(early)
		}
		last = l.table.Clock.Now()
		due.Reset(l.Step())
	}
}

// Step handles everything that has come in or is due now, and returns how long until the next step at the
// latest.
func (l *EventLoop) Step() time.Duration {
	now := l.table.Clock.Now()
	events := l.table.takeInbox()
	if l.SharedProbing != nil {
		l.SharedProbing.updateParticipants(now)
		defer l.SharedProbing.sendOutbox() // once the fleet's status is unlocked
	}
	if l.FleetStatus != nil {
		l.handle(now, l.lockFleetStatus(now))
		defer l.FleetStatus.UnlockStatus()
	}
	l.handleEvents(now, events)
	l.fireTimers(now)
	l.sweepIfDue(now)
	return l.untilNextStep(now)
}

// lockFleetStatus returns what this relay knows of the others, which stands until UnlockStatus.
func (l *EventLoop) lockFleetStatus(now time.Duration) decide.FleetStatus {
	status := l.FleetStatus.LockStatus(now)
	status.SharesReadings = l.SharedProbing != nil && l.SharedProbing.scheduler.HasPeers()
	status.SharesPlacements = status.SharesPlacements && status.SharesReadings
	return status
}

// handleEvents gives the decision module what has come in, less what is the probe scheduler's, and sets the
// backstop behind each request.
func (l *EventLoop) handleEvents(now time.Duration, events []decide.Event) {
	for _, ev := range events {
		if l.SharedProbing != nil && !l.routeProbingEvent(now, ev) {
			continue
		}
		if r, ok := ev.(decide.Request); ok {
			l.timers.set(timer{dueAt: addSaturating(now, r.TimeLeft+backstopDelay), request: r.ID})
		}
		l.handle(now, ev)
	}
}

// fireTimers handles the timers that are due.
func (l *EventLoop) fireTimers(now time.Duration) {
	for {
		due, ok := l.timers.takeDue(now)
		switch {
		case !ok:
			return
		case due.request == 0:
			l.handle(now, decide.TimerFired{Token: due.token})
		case l.table.failOverdue(due.request):
			l.log.Error().Uint64("request", uint64(due.request)).
				Msg("no answer by the deadline, failed by the backstop: a fault of this program, report it")
		}
	}
}

// sweepIfDue sweeps the request table each sweepInterval.
func (l *EventLoop) sweepIfDue(now time.Duration) {
	if now-l.sweptAt < sweepInterval {
		return
	}
	l.sweptAt = now
	l.table.sweep()
	l.table.counters.ejectedServers.Store(int64(l.balancer.EjectedCount()))
}

// untilNextStep steps the probe scheduler if it is due, and returns how long until the next step.
func (l *EventLoop) untilNextStep(now time.Duration) time.Duration {
	next := sweepInterval
	if l.SharedProbing != nil {
		next = min(next, l.stepSchedulerIfDue(now))
	}
	if at, ok := l.timers.nextAt(); ok {
		next = min(next, at-now)
	}
	return max(next, 0)
}

// handle gives the decision module one event and carries out its actions. A panic there must not take every
// open connection down with it: the request that it was about gets its answer from the backstop.
func (l *EventLoop) handle(now time.Duration, ev decide.Event) {
	defer func() {
		if p := recover(); p != nil {
			l.log.Error().Str("event", fmt.Sprintf("%T", ev)).
				Str("panic", fmt.Sprint(p)).
				Bytes("stack", debug.Stack()).
				Msg("decision module panicked, the backstop answers its request: report it with the stack")
		}
	}()
	l.actions = l.balancer.Handle(now.Round(decisionPrecision), ev, l.actions[:0])
	for _, action := range l.actions {
		l.perform(action)
	}
}

// perform carries out one action of the decision module.
func (l *EventLoop) perform(action decide.Action) {
	switch a := action.(type) {
	case decide.Forward:
		l.forward(a)
	case decide.Reject:
		l.table.answer(a.ID, Answer{
			Kind:       Rejected,
			RetryAfter: a.RetryAfter,
			reason:     a.Reason,
			decidedBy:  recorder.Module,
		})
	case decide.Fail:
		l.table.answer(a.ID, Answer{Kind: Failed, reason: a.Reason, decidedBy: recorder.Module})
	case decide.Migrate:
		l.table.migrate(a.ID)
	case decide.CancelAttempt:
		l.table.cancelAttempt(a.ID, a.Attempt)
	case decide.Probe:
		l.table.probe(a.Server)
	case decide.Timer:
		l.timers.set(timer{dueAt: addSaturating(l.table.Clock.Now(), a.After), token: a.Token})
	case decide.Subscribe:
		l.discovery.Watch()
	case decide.FetchSnapshot:
		l.discovery.Fetch()
	case decide.Log:
		l.log.Info().Msg(a.Text)
	default: // no idle connections but those of probes, and no messages to peers: nothing to do
		l.log.Warn().Str("action", fmt.Sprintf("%T", action)).
			Msg("unknown action of the decision module ignored: a fault of this program, report it")
	}
}

// forward starts an attempt, and notifies the probe scheduler of it. The scheduler answers a placement with
// no action, so l.actions, which perform is going through, is not written over.
func (l *EventLoop) forward(f decide.Forward) {
	if l.table.Recorder != nil {
		l.candidates = l.balancer.ProbePool(l.candidates[:0])
	}
	if l.SharedProbing != nil {
		placed := probing.LocalPlacement{ServerKey: l.table.serverKey(f.Server), Delta: 1}
		l.stepScheduler(l.table.Clock.Now(), placed)
	}
	l.table.startAttempt(f, l.candidates)
}
