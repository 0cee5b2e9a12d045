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

// rulesReadInterval is the interval at which the rules file is read.
const rulesReadInterval = 5 * time.Millisecond

// exitCodeParentGone is the exit code of a process whose parent, the test, has ended.
const exitCodeParentGone = 3

var (
	currentRules atomic.Pointer[Rules]
	historyFile  *os.File // nil if no history is written
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

// rulesReader reads the rules file repeatedly.
type rulesReader struct {
	path     string
	lastText string // text of the rules in force, "" before the first read
}

// run reads the file repeatedly until the process ends. It exits the process when the parent process has
// ended, so that an aborted test leaves no process behind.
func (r *rulesReader) run(parent int) {
	for range time.Tick(rulesReadInterval) {
		r.read()
		if os.Getppid() != parent {
			os.Exit(exitCodeParentGone)
		}
	}
}

// read applies the file's rules if they have changed and are valid JSON.
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

// CurrentRules returns the rules in force. The caller must not change them.
func CurrentRules() *Rules { return currentRules.Load() }

// HistoryEnabled reports whether the process writes a history.
func HistoryEnabled() bool { return historyFile != nil }

// AppendHistory appends a line to the history file, if the process writes one.
func AppendHistory(line any) {
	if historyFile == nil {
		return
	}
	if text, err := json.Marshal(line); err == nil {
		historyFile.Write(append(text, '\n'))
	}
}
