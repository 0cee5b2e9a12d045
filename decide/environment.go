package decide

import (
	"math"
	"math/rand/v2"
	"time"
)

// Kinds of timer, in the low bits of a token.
const (
	timerRequest   = iota // a queued request's probes or its backoff are due
	timerLoadWatch        // look at the servers that hold our connections
	timerDiscovery
	timerMigrate // a server's excess is to go, and probes for a better place are due
	timerKinds
)

// environment is what every rule works with while one event is handled.
type environment struct {
	settings   Settings
	rng        *rand.Rand    // the order of its draws is part of what TestGoldenActions holds
	timerPhase float64       // 0 to 1, fixed by the relay's number: keeps the fleet's periodic timers apart
	now        time.Duration // of the event at hand
	startedAt  time.Duration // time of the first event, -1 before it
	actions    []Action      // asked for so far
}

// newEnvironment takes settings that validSettings has returned.
func newEnvironment(settings Settings, seed uint64) *environment {
	_, phase := math.Modf(float64(settings.RelayIndex) * math.Phi)
	return &environment{
		settings:   settings,
		rng:        rand.New(rand.NewPCG(seed, uint64(settings.RelayIndex))),
		timerPhase: phase,
		startedAt:  -1,
	}
}

// begin starts on an event at a time that is not before that of the last.
func (e *environment) begin(now time.Duration, actions []Action) {
	e.now, e.actions = now, actions
	if e.startedAt < 0 {
		e.startedAt = now
	}
}

// emit asks for an action.
func (e *environment) emit(a Action) { e.actions = append(e.actions, a) }

// setTimer asks for a TimerFired with the kind and the id in its token, no sooner than the next batch of
// events.
func (e *environment) setTimer(kind, id uint64, after time.Duration) {
	e.emit(Timer{After: max(after, e.settings.Tick), Token: id*timerKinds + kind})
}

// uptime is how long ago the first event came.
func (e *environment) uptime() time.Duration { return e.now - e.startedAt }

// class returns the settings of a request's class.
func (e *environment) class(r *request) *ClassInfo { return &e.settings.Classes[r.Class] }
