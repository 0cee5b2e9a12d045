//go:build faults

package faultpoint

import (
	"encoding/json"
	"math/rand/v2"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

const lookEvery = 5 * time.Millisecond

var (
	rules atomic.Pointer[Rules]
	rng   = struct {
		sync.Mutex
		*rand.Rand
	}{}
	clock struct {
		sync.Mutex
		real, shown time.Duration
		rate        float64
	}
	history *os.File
)

func init() {
	rules.Store(&Rules{})
	clock.rate = 1
	rng.Rand = rand.New(rand.NewPCG(1, 1))
	if path := os.Getenv("CAPERSAIL_HISTORY"); path != "" {
		history, _ = os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	}
	path := os.Getenv("CAPERSAIL_FAULTS")
	if path == "" {
		return
	}
	last, parent := "", os.Getppid()
	look := func() {
		text, err := os.ReadFile(path)
		if err != nil || string(text) == last {
			return
		}
		var r Rules
		if json.Unmarshal(text, &r) != nil {
			return
		}
		if last == "" {
			rng.Lock()
			rng.Rand = rand.New(rand.NewPCG(r.Seed, 2))
			rng.Unlock()
		}
		last = string(text)
		setRate(r.Rate)
		rules.Store(&r)
	}
	look()
	go func() {
		for range time.Tick(lookEvery) {
			look()
			if os.Getppid() != parent { // whoever runs the test has gone
				os.Exit(3)
			}
		}
	}()
}

// Now is the machine's monotonic clock in ms, the same in all processes.
func Now() float64 {
	var t unix.Timespec
	if unix.ClockGettime(unix.CLOCK_MONOTONIC, &t) != nil {
		return 0
	}
	return float64(t.Sec)*1000 + float64(t.Nsec)/1e6
}

func monotonic() time.Duration { return time.Duration(Now() * 1e6) }

func setRate(rate float64) {
	if rate <= 0 {
		rate = 1
	}
	clock.Lock()
	defer clock.Unlock()
	now := monotonic()
	if clock.real == 0 {
		clock.real, clock.shown = now, now
	}
	clock.shown += time.Duration(float64(now-clock.real) * clock.rate)
	clock.real, clock.rate = now, rate
}

// Shown is a clock that runs at the rate of the rules.
func Shown() time.Duration {
	clock.Lock()
	defer clock.Unlock()
	now := monotonic()
	if clock.real == 0 {
		clock.real, clock.shown = now, now
	}
	return clock.shown + time.Duration(float64(now-clock.real)*clock.rate)
}

// Rate is the clock's.
func Rate() float64 {
	clock.Lock()
	defer clock.Unlock()
	return clock.rate
}

// Step is by how much the clock of the day is off.
func Step() time.Duration { return time.Duration(rules.Load().StepMs * float64(time.Millisecond)) }

// Reaches tells whether a connection to an address can be made: both ways have to be open.
func Reaches(address string) bool {
	r := rules.Load()
	return !slices.Contains(r.Cut, address) && !slices.Contains(r.CutFrom, address)
}

// Packet draws what becomes of a packet to an address: after which times copies of it are sent on, none if it is lost.
func Packet(address string) (after []time.Duration) {
	r := rules.Load()
	if slices.Contains(r.Cut, address) {
		return nil
	}
	rng.Lock()
	defer rng.Unlock()
	for again := true; again; again = rng.Float64() < r.Twice {
		if rng.Float64() < r.Loss {
			continue
		}
		ms := r.DelayMs * rng.Float64()
		if rng.Float64() < r.Late {
			ms += r.LateMs
		}
		after = append(after, time.Duration(ms*float64(time.Millisecond)))
	}
	return after
}

// Note appends a line to the process's history.
func Note(v any) {
	if history == nil {
		return
	}
	if text, err := json.Marshal(v); err == nil {
		history.Write(append(text, '\n'))
	}
}

// Present are the rules in force.
func Present() *Rules { return rules.Load() }

// On tells whether a history is kept.
func On() bool { return history != nil }
