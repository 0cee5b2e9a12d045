package guard

import "sync/atomic"

// Rule is a rule of the protocol page that is checked as the relay runs.
type Rule uint8

// The rules.
const (
	Drain     Rule = iota // something new was sent to a server after the grace, or by a list that had lapsed
	Duplicate             // two attempts were out at once, or a request ran again that must not
	Late                  // a request had its answer after its time
	Promise               // a request was refused that may have run and must not run twice
	rules
)

var ruleNames = [rules]string{"drain", "duplicate", "late", "promise"}

// String is the rule as logs and figures have it.
func (r Rule) String() string {
	if r >= rules {
		return "unknown"
	}
	return ruleNames[r]
}

// Rules are all rules that are checked.
func Rules() (all []Rule) {
	for r := Drain; r < rules; r++ {
		all = append(all, r)
	}
	return all
}

// DrainGrace is how long after the news something may still go to a server that drains or is gone, in ms.
const DrainGrace = 500.0

// AnswerSlack is how long after a request's time its answer may come, in ms: 20 by the rules and 50 more on sockets.
const AnswerSlack = 70.0

// Violations counts by rule what was done against it. It is safe for use by many goroutines.
type Violations struct{ counts [rules]atomic.Uint64 }

// Add counts one.
func (v *Violations) Add(r Rule) {
	if r < rules {
		v.counts[r].Add(1)
	}
}

// Count is how many there were since the process started.
func (v *Violations) Count(r Rule) uint64 {
	if r >= rules {
		return 0
	}
	return v.counts[r].Load()
}

// Denied counts what was not done, by the reason. It is safe for use by many goroutines.
type Denied struct{ counts [denials]atomic.Uint64 }

// Add counts one.
func (d *Denied) Add(why Denial) {
	if why < denials {
		d.counts[why].Add(1)
	}
}

// Count is how many there were since the process started.
func (d *Denied) Count(why Denial) uint64 {
	if why >= denials {
		return 0
	}
	return d.counts[why].Load()
}
