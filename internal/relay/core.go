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
	sweepEvery = 250.0
	// overdueAfter is how long after a request's deadline the backstop answers it. The rules allow 20 ms
	// and 50 ms more on sockets; the module's own answer takes a tick or two.
	overdueAfter = 20.0
)

// Fleet is what this relay knows of the others. What Hold returns stands until Release: whoever changes it waits, so
// that no decision is made by a share that this relay has said it no longer takes. Neither may block for long.
type Fleet interface {
	Hold(now float64) decide.Fleet
	Release()
}

// Core is the loop that alone owns the Balancer, its timers and the actions it wants.
type Core struct {
	x       *Exchange
	balance *decide.Balancer
	servers Servers
	lister  Discovery
	log     zerolog.Logger
	timers  timers
	acts    []decide.Action
	swept   float64
	tick    float64
	pool    []decide.View // of the placement under way, for the tap
	// Fleet is nil where the relays do not know each other. It is set before Run.
	Fleet Fleet
	// Shared is nil where this relay looks at servers for itself. It is set before Run, and with Fleet only.
	Shared *Shared
}

// NewCore returns the loop of a relay that has just started.
func NewCore(x *Exchange, seed uint64, lister Discovery, log zerolog.Logger) *Core {
	return &Core{x: x, balance: decide.New(x.site.Settings, seed), servers: x.servers, lister: lister, log: log,
		tick: Millis(x.site.Settings.Tick), pool: make([]decide.View, 0, recorder.Peers+1)}
}

// timer is a moment at which the module wants an alarm, or the backstop looks at a request.
type timer struct {
	at      float64
	order   uint64 // those due at once go off in the order they were set
	token   uint64
	overdue decide.RequestID
}

type timers struct {
	list  []timer
	count uint64
}

func (t *timers) Len() int { return len(t.list) }
func (t *timers) Less(i, j int) bool {
	a, b := t.list[i], t.list[j]
	return a.at < b.at || a.at == b.at && a.order < b.order
}
func (t *timers) Swap(i, j int) { t.list[i], t.list[j] = t.list[j], t.list[i] }
func (t *timers) Push(x any)    { t.list = append(t.list, x.(timer)) }
func (t *timers) Pop() any {
	last := t.list[len(t.list)-1]
	t.list = t.list[:len(t.list)-1]
	return last
}

func (t *timers) set(x timer) {
	t.count++
	x.order = t.count
	heap.Push(t, x)
}

// Run feeds the module until the context ends. It handles what has come in at most once a tick, as the
// module expects it.
func (c *Core) Run(ctx context.Context) {
	wait := time.NewTimer(0)
	defer wait.Stop()
	for last := c.x.Clock.Now(); ; {
		select {
		case <-ctx.Done():
			return
		case <-c.x.ready:
		case <-wait.C:
		}
		if early := last + c.tick - c.x.Clock.Now(); early > 0 {
			time.Sleep(Duration(early))
		}
		last = c.x.Clock.Now()
		wait.Reset(Duration(c.Step()))
	}
}

// Step handles everything that has come in or is due now, and returns how long until the next timer.
func (c *Core) Step() float64 {
	now := c.x.Clock.Now()
	c.x.mu.Lock()
	batch := c.x.inbox
	c.x.inbox = nil
	c.x.mu.Unlock()
	if c.Shared != nil {
		c.Shared.updateParticipants(now)
		defer c.Shared.sendOutbox() // once the fleet is released
	}
	if c.Fleet != nil {
		f := c.Fleet.Hold(now)
		f.Shared = c.Shared != nil && c.Shared.scheduler.On()
		f.Summed = f.Summed && f.Shared
		c.handle(now, f)
		defer c.Fleet.Release()
	}
	for _, ev := range batch {
		if c.Shared != nil && !c.takeProbing(now, ev) {
			continue
		}
		if r, ok := ev.(decide.Request); ok {
			c.timers.set(timer{at: now + Millis(r.Left) + overdueAfter, overdue: r.ID})
		}
		c.handle(now, ev)
	}
	for len(c.timers.list) > 0 && c.timers.list[0].at <= now {
		due := heap.Pop(&c.timers).(timer)
		if due.overdue == 0 {
			c.handle(now, decide.Alarm{Token: due.token})
		} else if c.x.overdue(due.overdue) {
			c.log.Error().Uint64("request", uint64(due.overdue)).Msg("no answer by the deadline; failed")
		}
	}
	if now-c.swept >= sweepEvery {
		c.swept = now
		c.x.sweep()
		c.x.shunned.Store(int64(c.balance.Shunned()))
	}
	next := sweepEvery
	if c.Shared != nil {
		next = min(next, c.stepIfDue(now))
	}
	if len(c.timers.list) > 0 {
		next = min(next, c.timers.list[0].at-now)
	}
	return max(next, 0)
}

// handle lets the module act. A panic there must not take every open connection down with it: the
// request it was about gets its answer from the backstop.
func (c *Core) handle(now float64, ev decide.Event) {
	defer func() {
		if p := recover(); p != nil {
			c.log.Error().Str("event", fmt.Sprintf("%T", ev)).Str("panic", fmt.Sprint(p)).Bytes("stack", debug.Stack()).
				Msg("the decision module panicked")
		}
	}()
	c.acts = c.balance.Handle(Duration(now), ev, c.acts[:0])
	for _, act := range c.acts {
		c.do(act)
	}
}

func (c *Core) do(act decide.Action) {
	switch a := act.(type) {
	case decide.Send:
		if c.x.Tap != nil {
			c.pool = c.balance.Pool(c.pool[:0])
		}
		if c.Shared != nil {
			c.stepScheduler(c.x.Clock.Now(), probing.Sent{ServerKey: c.serverKey(a.Backend), N: 1})
		}
		c.x.send(a.ID, a.Backend, Millis(a.Timeout), c.pool)
	case decide.Refuse:
		c.x.finish(a.ID, Answer{Kind: Refused, RetryAfter: Millis(a.RetryAfter), why: a.Why, by: recorder.Module})
	case decide.Fail:
		c.x.finish(a.ID, Answer{Kind: Failed, why: a.Why, by: recorder.Module})
	case decide.Move:
		c.x.move(a.ID)
	case decide.Cancel:
		c.x.cancel(a.ID, a.Attempt)
	case decide.Probe:
		c.probe(a.Backend)
	case decide.Timer:
		c.timers.set(timer{at: c.x.Clock.Now() + Millis(a.After), token: a.Token})
	case decide.Subscribe:
		c.lister.Watch()
	case decide.Fetch:
		c.lister.Fetch()
	case decide.Log:
		c.log.Info().Msg(a.Text)
	default: // no kept connections but those of probes, and no peers: nothing to do
		c.log.Warn().Str("action", fmt.Sprintf("%T", act)).Msg("action ignored")
	}
}

func (c *Core) probe(id decide.Backend) {
	c.x.mu.Lock()
	s := *c.x.roster.servers[id]
	c.x.mu.Unlock()
	began := c.x.Clock.Now()
	c.servers.Probe(s, func(status decide.Status, report decide.Report) {
		c.x.mu.Lock()
		defer c.x.mu.Unlock()
		if c.x.Tap != nil {
			now := c.x.Clock.Now()
			c.x.tapProbe(now, id, status, now-began, report)
		}
		c.x.post(decide.Probed{Backend: id, Status: status, Took: Duration(c.x.Clock.Now() - began), Report: report})
	})
}
