package decide

import (
	"math"
	"math/rand/v2"
	"time"
)

// timerKind says what a timer is for.
type timerKind uint64

const (
	timerRequest   timerKind = iota // a queued request's probes or its backoff are due; id: the request's
	timerLoadWatch                  // the servers that hold own connections are to be checked
	timerDiscovery                  // discovery is to be polled; id: firstPollTimer or 0
	timerMigrate                    // probes for a better place are due; id: the server whose excess migrates
	timerKinds
)

// token is a timer's token: its kind and an id.
func (k timerKind) token(id uint64) uint64 { return id*uint64(timerKinds) + uint64(k) }

// splitToken returns what token has put together.
func splitToken(token uint64) (kind timerKind, id uint64) {
	return timerKind(token % uint64(timerKinds)), token / uint64(timerKinds)
}

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
func (e *environment) setTimer(kind timerKind, id uint64, after time.Duration) {
	e.emit(Timer{After: max(after, e.settings.Tick), Token: kind.token(id)})
}

// uptime is how long ago the first event came.
func (e *environment) uptime() time.Duration { return e.now - e.startedAt }

// class returns the settings of a request's class.
func (e *environment) class(r *request) *ClassInfo { return &e.settings.Classes[r.Class] }
