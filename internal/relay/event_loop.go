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

// Discovery is a source of endpoint lists. Its methods must not block. Each call is answered by a call of
// RequestTable.UpdateEndpoints, with the kind WatchFailed if the list could not be obtained. After Watch,
// further calls of UpdateEndpoints deliver changes.
type Discovery interface {
	Watch()
	Fetch()
}

// FleetStatusSource provides what this relay knows about the other relays of the fleet. The status that
// LockStatus returns stays valid until UnlockStatus: changes wait until then, so that no decision uses a
// budget share that this relay has already declared to have given up. Neither method may block for long. now
// is the current instant of the event loop.
type FleetStatusSource interface {
	LockStatus(now time.Duration) decide.FleetStatus
	UnlockStatus()
}

const (
	// sweepInterval is the interval at which the event loop checks for silent servers and for an expired
	// lease of the endpoint list. It is also the longest time that the loop waits for events.
	sweepInterval = 250 * time.Millisecond
	// backstopDelay is how long after a request's deadline the backstop answers the request, if the decision
	// module has not. The protocol allows an answer 20 ms after the deadline, plus 50 ms on real sockets, and
	// the decision module's own answer may take one or two ticks.
	backstopDelay = 20 * time.Millisecond
	// decisionPrecision is the unit to which instants and durations are rounded for the decision module.
	decisionPrecision = time.Microsecond
)

// EventLoop passes queued events and due timers to the decision module and carries out the module's actions.
// It is the only owner of the module and its timers. Run, or Step, is called by a single goroutine.
type EventLoop struct {
	// FleetStatus is nil if this relay is not a member of a fleet. It must be set before Run.
	FleetStatus FleetStatusSource
	// SharedProbing is nil if this relay does not share probing with others. It must be set before Run, and
	// only together with FleetStatus.
	SharedProbing *SharedProbing

	table      *RequestTable
	balancer   *decide.Balancer
	discovery  Discovery
	log        zerolog.Logger
	timers     timerQueue
	tick       time.Duration // minimum time between two steps
	sweptAt    time.Duration
	actions    []decide.Action       // buffer that handle reuses
	candidates []decide.PooledServer // buffer that forward reuses: the candidates of the current placement
}

// NewEventLoop returns the event loop of a relay that has just started. seed is the random seed of the
// decision module.
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

// Run calls Step until the context is canceled: whenever events are queued or a timer is due, but at most
// once per tick, as the decision module expects.
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

// Step handles all queued events and all timers that are due. It returns the time after which the next step
// must take place at the latest.
func (l *EventLoop) Step() time.Duration {
	now := l.table.Clock.Now()
	events := l.table.takeInbox()
	if l.SharedProbing != nil {
		l.SharedProbing.updateParticipants(now)
		defer l.SharedProbing.sendOutbox() // runs after the fleet status has been unlocked
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

// lockFleetStatus returns what this relay knows about the fleet. It stays valid until UnlockStatus.
func (l *EventLoop) lockFleetStatus(now time.Duration) decide.FleetStatus {
	status := l.FleetStatus.LockStatus(now)
	status.SharesReadings = l.SharedProbing != nil && l.SharedProbing.scheduler.HasPeers()
	status.SharesPlacements = status.SharesPlacements && status.SharesReadings
	return status
}

// handleEvents passes the queued events to the decision module, except for those that only concern the probe
// scheduler. It sets the backstop timer of each new request.
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

// fireTimers handles all timers that are due.
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
				Msg("backstop failed a request unanswered after its deadline: report this bug in capersail")
		}
	}
}

// sweepIfDue sweeps the request table once per sweepInterval.
func (l *EventLoop) sweepIfDue(now time.Duration) {
	if now-l.sweptAt < sweepInterval {
		return
	}
	l.sweptAt = now
	l.table.sweep()
	l.table.counters.ejectedServers.Store(int64(l.balancer.EjectedCount()))
}

// untilNextStep steps the probe scheduler if that is due, and returns the time until the next step.
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

// handle passes one event to the decision module and carries out the resulting actions. It recovers from a
// panic, which would otherwise end every open connection of this process. The request that the event was
// about is answered by the backstop.
func (l *EventLoop) handle(now time.Duration, ev decide.Event) {
	defer func() {
		if p := recover(); p != nil {
			l.log.Error().Str("event", fmt.Sprintf("%T", ev)).
				Str("panic", fmt.Sprint(p)).
				Bytes("stack", debug.Stack()).
				Msg("decision module panicked, backstop answers the request: report this bug with the stack")
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
	default: // not expected: there are no idle connections but those of probes, and no messages to peers
		l.log.Warn().Str("action", fmt.Sprintf("%T", action)).
			Msg("ignored an unknown action of the decision module: report this bug in capersail")
	}
}

// forward starts an attempt and notifies the probe scheduler of the placement. The scheduler returns no
// action for a local placement, so no nested call of handle overwrites l.actions while handle iterates over
// it.
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
