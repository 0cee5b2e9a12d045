//go:build faults

package faultpoint

import (
	"encoding/json"
	"math/rand/v2"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

// readEvery is how often the file with the rules is read.
const readEvery = 5 * time.Millisecond

// exitOrphaned is the exit code of a process whose test has gone.
const exitOrphaned = 3

var (
	rules   atomic.Pointer[Rules]
	history *os.File // nil if none is kept
	random  struct {
		sync.Mutex
		*rand.Rand
	}
)

func init() {
	rules.Store(&Rules{})
	clock.rate = 1
	random.Rand = rand.New(rand.NewPCG(1, 1))
	if path := os.Getenv("CAPERSAIL_HISTORY"); path != "" {
		history, _ = os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	}
	path := os.Getenv("CAPERSAIL_FAULTS")
	if path == "" {
		return
	}
	reader := &rulesReader{path: path}
	reader.read()
	go reader.run(os.Getppid())
}

// rulesReader follows the file with the rules.
type rulesReader struct {
	path string
	last string // the text of the rules in force, "" before the first
}

// run reads the file again and again, for as long as the process does. It ends the process once its parent
// has ended, since whoever runs the test has gone.
func (r *rulesReader) run(parent int) {
	for range time.Tick(readEvery) {
		r.read()
		if os.Getppid() != parent {
			os.Exit(exitOrphaned)
		}
	}
}

// read puts the file's rules into force, if they are new and complete.
func (r *rulesReader) read() {
	text, err := os.ReadFile(r.path)
	if err != nil || string(text) == r.last {
		return
	}
	var next Rules
	if json.Unmarshal(text, &next) != nil {
		return
	}
	if r.last == "" {
		random.Lock()
		random.Rand = rand.New(rand.NewPCG(next.Seed, 2))
		random.Unlock()
	}
	r.last = string(text)
	setRate(next.ClockRate)
	rules.Store(&next)
}

// CurrentRules returns the rules in force, which are not to be changed.
func CurrentRules() *Rules { return rules.Load() }

// HistoryEnabled reports whether a history is kept.
func HistoryEnabled() bool { return history != nil }

// AppendHistory appends a line to the process's history, if one is kept.
func AppendHistory(line any) {
	if history == nil {
		return
	}
	if text, err := json.Marshal(line); err == nil {
		history.Write(append(text, '\n'))
	}
}
