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

// mostKinds bounds the kinds that a counter tells apart: it does not compile if there are more rules or denials.
const (
	mostKinds       = 32
	_         uint8 = mostKinds - uint8(rules)
	_         uint8 = mostKinds - uint8(denials)
)

// counter counts by kind since the process started. The zero one is ready; it is safe for use by many goroutines.
type counter[Kind ~uint8] struct{ counts [mostKinds]atomic.Uint64 }

// Add counts one.
func (c *counter[Kind]) Add(kind Kind) {
	if kind < mostKinds {
		c.counts[kind].Add(1)
	}
}

// Count is how many there were.
func (c *counter[Kind]) Count(kind Kind) uint64 {
	if kind >= mostKinds {
		return 0
	}
	return c.counts[kind].Load()
}

// Violations counts by rule what was done against it.
type Violations = counter[Rule]

// Denied counts what was not done, by the reason.
type Denied = counter[Denial]
