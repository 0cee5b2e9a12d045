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
const rulesReadInterval = 5 * time.Millisecond

// exitOrphaned is the exit code of a process whose test has gone.
const exitCodeParentGone = 3

var (
	currentRules atomic.Pointer[Rules]
	historyFile  *os.File // nil if none is kept
	packetRandom struct {
		sync.Mutex
		*rand.Rand
	}
)

func init() {
	currentRules.Store(&Rules{})
	skewedClock.rate = 1
	packetRandom.Rand = rand.New(rand.NewPCG(1, 1))
	if path := os.Getenv("CAPERSAIL_HISTORY"); path != "" {
		historyFile, _ = os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
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
	path     string
	lastText string // the text of the rules in force, "" before the first
}

// run reads the file again and again, for as long as the process does. It ends the process once its parent
// has ended, since whoever runs the test has gone.
func (r *rulesReader) run(parent int) {
	for range time.Tick(rulesReadInterval) {
		r.read()
		if os.Getppid() != parent {
			os.Exit(exitCodeParentGone)
		}
	}
}

// read puts the file's rules into force, if they are new and complete.
func (r *rulesReader) read() {
	text, err := os.ReadFile(r.path)
	if err != nil || string(text) == r.lastText {
		return
	}
	var next Rules
	if json.Unmarshal(text, &next) != nil {
		return
	}
	if r.lastText == "" {
		packetRandom.Lock()
		packetRandom.Rand = rand.New(rand.NewPCG(next.Seed, 2))
		packetRandom.Unlock()
	}
	r.lastText = string(text)
	setClockRate(next.ClockRate)
	currentRules.Store(&next)
}

// CurrentRules returns the rules in force, which are not to be changed.
func CurrentRules() *Rules { return currentRules.Load() }

// HistoryEnabled reports whether a history is kept.
func HistoryEnabled() bool { return historyFile != nil }

// AppendHistory appends a line to the process's history, if one is kept.
func AppendHistory(line any) {
	if historyFile == nil {
		return
	}
	if text, err := json.Marshal(line); err == nil {
		historyFile.Write(append(text, '\n'))
	}
}
