package decide

import (
	"math"
	"math/rand/v2"
	"time"
)

// timerKind is the purpose of a timer.
type timerKind uint64

const (
	timerRequest   timerKind = iota // a queued request's probes or its backoff are due; id: the request's
	timerLoadCheck                  // the servers that hold own connections are to be checked; id: 0
	timerDiscovery                  // discovery is to be polled; id: firstPollTimer or 0
	timerMigrate                    // probes of migration targets are due; id: the overloaded server
	timerKindCount
)

// token encodes a timer's kind and an id in the timer's token.
func (k timerKind) token(id uint64) uint64 { return id*uint64(timerKindCount) + uint64(k) }

// splitToken decodes a token that timerKind.token has encoded.
func splitToken(token uint64) (kind timerKind, id uint64) {
	return timerKind(token % uint64(timerKindCount)), token / uint64(timerKindCount)
}

// environment is the state shared by all rules while one event is handled.
type environment struct {
	settings   Settings
	rng        *rand.Rand    // the order of its draws is part of what TestGoldenActions checks
	timerPhase float64       // 0 to 1, by the relay's number: spreads the fleet's periodic timers
	now        time.Duration // time of the current event
	startedAt  time.Duration // time of the first event, -1 before it
	actions    []Action      // emitted so far for the current event
}

// newEnvironment expects settings that validSettings has returned.
func newEnvironment(settings Settings, seed uint64) *environment {
	_, phase := math.Modf(float64(settings.RelayIndex) * math.Phi)
	return &environment{
		settings:   settings,
		rng:        rand.New(rand.NewPCG(seed, uint64(settings.RelayIndex))),
		timerPhase: phase,
		startedAt:  -1,
	}
}

// begin starts the handling of an event. now must not be before the time of the previous event.
func (e *environment) begin(now time.Duration, actions []Action) {
	e.now, e.actions = now, actions
	if e.startedAt < 0 {
		e.startedAt = now
	}
}

// emit appends an action to those that Handle returns.
func (e *environment) emit(a Action) { e.actions = append(e.actions, a) }

// setTimer requests a TimerFired with the kind and the id in its token, after at least one tick, the least
// time between two batches of events.
func (e *environment) setTimer(kind timerKind, id uint64, after time.Duration) {
	e.emit(Timer{After: max(after, e.settings.Tick), Token: kind.token(id)})
}

// uptime is the time since the first event.
func (e *environment) uptime() time.Duration { return e.now - e.startedAt }

// class returns the settings of a request's class.
func (e *environment) class(r *request) *ClassInfo { return &e.settings.Classes[r.Class] }
