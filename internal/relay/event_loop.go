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
func NewEventLoop(x *RequestTable, seed uint64, lister Discovery, log zerolog.Logger) *EventLoop {
	return &EventLoop{table: x, balancer: decide.New(x.deployment.Settings, seed), dialer: x.dialer, discovery: lister, log: log,
		tick: Millis(x.deployment.Settings.Tick), candidates: make([]decide.PooledServer, 0, recorder.MaxCandidates+1)}
}

// Run feeds the module until the context ends. It handles what has come in at most once a tick, as the
// module expects it.
func (c *EventLoop) Run(ctx context.Context) {
	wait := time.NewTimer(0)
	defer wait.Stop()
	for last := c.table.Clock.NowMillis(); ; {
		select {
		case <-ctx.Done():
			return
		case <-c.table.ready:
		case <-wait.C:
		}
		if early := last + c.tick - c.table.Clock.NowMillis(); early > 0 {
			time.Sleep(Duration(early))
		}
		last = c.table.Clock.NowMillis()
		wait.Reset(Duration(c.Step()))
	}
}

// Step handles everything that has come in or is due now, and returns how long until the next timer.
func (c *EventLoop) Step() float64 {
	now := c.table.Clock.NowMillis()
	c.table.mu.Lock()
	batch := c.table.inbox
	c.table.inbox = nil
	c.table.mu.Unlock()
	if c.SharedProbing != nil {
		c.SharedProbing.updateParticipants(now)
		defer c.SharedProbing.sendOutbox() // once the fleet is released
	}
	if c.FleetView != nil {
		f := c.FleetView.LockStatus(now)
		f.SharesReadings = c.SharedProbing != nil && c.SharedProbing.scheduler.HasPeers()
		f.SharesPlacements = f.SharesPlacements && f.SharesReadings
		c.handle(now, f)
		defer c.FleetView.UnlockStatus()
	}
	for _, ev := range batch {
		if c.SharedProbing != nil && !c.routeProbingEvent(now, ev) {
			continue
		}
		if r, ok := ev.(decide.Request); ok {
			c.timers.set(timer{dueAt: now + Millis(r.TimeLeft) + backstopDelay, request: r.ID})
		}
		c.handle(now, ev)
	}
	for len(c.timers.entries) > 0 && c.timers.entries[0].dueAt <= now {
		due := heap.Pop(&c.timers).(timer)
		if due.request == 0 {
			c.handle(now, decide.TimerFired{Token: due.token})
		} else if c.table.failOverdue(due.request) {
			c.log.Error().Uint64("request", uint64(due.request)).Msg("no answer by the deadline; failed")
		}
	}
	if now-c.sweptAt >= sweepInterval {
		c.sweptAt = now
		c.table.sweepSilentServers()
		c.table.ejectedCount.Store(int64(c.balancer.EjectedCount()))
	}
	next := sweepInterval
	if c.SharedProbing != nil {
		next = min(next, c.stepSchedulerIfDue(now))
	}
	if len(c.timers.entries) > 0 {
		next = min(next, c.timers.entries[0].dueAt-now)
	}
	return max(next, 0)
}

// handle lets the module act. A panic there must not take every open connection down with it: the
// request it was about gets its answer from the backstop.
func (c *EventLoop) handle(now float64, ev decide.Event) {
	defer func() {
		if p := recover(); p != nil {
			c.log.Error().Str("event", fmt.Sprintf("%T", ev)).Str("panic", fmt.Sprint(p)).Bytes("stack", debug.Stack()).
				Msg("the decision module panicked")
		}
	}()
	c.actions = c.balancer.Handle(Duration(now), ev, c.actions[:0])
	for _, act := range c.actions {
		c.perform(act)
	}
}

func (c *EventLoop) perform(act decide.Action) {
	switch a := act.(type) {
	case decide.Forward:
		if c.table.Recorder != nil {
			c.candidates = c.balancer.ProbePool(c.candidates[:0])
		}
		if c.SharedProbing != nil {
			c.stepScheduler(c.table.Clock.NowMillis(), probing.LocalPlacement{ServerKey: c.serverKey(a.Server), Delta: 1})
		}
		c.table.startAttempt(a.ID, a.Server, Millis(a.Timeout), c.candidates)
	case decide.Reject:
		c.table.answer(a.ID, Answer{Kind: Rejected, RetryAfter: Millis(a.RetryAfter), reason: a.Reason, decidedBy: recorder.Module})
	case decide.Fail:
		c.table.answer(a.ID, Answer{Kind: Failed, reason: a.Reason, decidedBy: recorder.Module})
	case decide.Migrate:
		c.table.migrate(a.ID)
	case decide.CancelAttempt:
		c.table.cancelAttempt(a.ID, a.Attempt)
	case decide.Probe:
		c.probe(a.Server)
	case decide.Timer:
		c.timers.set(timer{dueAt: c.table.Clock.NowMillis() + Millis(a.After), token: a.Token})
	case decide.Subscribe:
		c.discovery.Watch()
	case decide.FetchSnapshot:
		c.discovery.Fetch()
	case decide.Log:
		c.log.Info().Msg(a.Text)
	default: // no kept connections but those of probes, and no peers: nothing to do
		c.log.Warn().Str("action", fmt.Sprintf("%T", act)).Msg("action ignored")
	}
}

func (c *EventLoop) probe(id decide.ServerID) {
	c.table.mu.Lock()
	s := *c.table.endpoints.servers[id]
	c.table.mu.Unlock()
	began := c.table.Clock.NowMillis()
	c.dialer.Probe(s, func(status decide.Status, report decide.LoadReport) {
		c.table.mu.Lock()
		defer c.table.mu.Unlock()
		if c.table.Recorder != nil {
			now := c.table.Clock.NowMillis()
			c.table.recordProbe(now, id, status, now-began, report)
		}
		c.table.post(decide.ProbeResult{Server: id, Status: status, Latency: Duration(c.table.Clock.NowMillis() - began), Report: report})
	})
}
